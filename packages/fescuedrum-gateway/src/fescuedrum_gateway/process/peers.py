"""Exchange beacons with other gateways: loads, rate limits and table versions.

Gateways in one mesh send each other changes promptly
(fescuedrum.decisions.duties.meshes).
"""

import asyncio
import collections
import ipaddress
import logging
from collections.abc import Callable

from fescuedrum.decisions.duties import leading, meshes
from fescuedrum.decisions.duties.following import must_read_store
from fescuedrum.decisions.placing.placement import Load
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import (
    DatagramNotUnderstood,
    DatagramRefused,
    GatewayAddressNotUnderstood,
    GatewayHeard,
)
from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire.datagrams import decode, encode
from fescuedrum.wire.gen.gateways.ttypes import Beacon
from fescuedrum_gateway.process.peer_gateway import PeerGateway

logger = logging.getLogger(__name__)

# Characters of an address in a line of the log.
LONGEST_ADDRESS = 80

# Names of the two tables that gateways copy, as used between gateways.
OPERATORS = "operators"
ENDPOINTS = "endpoints"
# Time between beacons in a small mesh; a change is also sent in between.
BEACON_SECONDS = 0.4
# Changes within this time are sent in one beacon. A gateway chooses an endpoint some
# five times a second, so few choices elsewhere are made before a change has arrived.
CHANGE_BATCH_SECONDS = 0.01
# Time between two beacons to all gateways on what can't wait for the regular ones.
URGENT_SECONDS = 0.1
# Number of beacon intervals without a beacon after which a gateway counts as silent.
MISSED_BEACONS_ALLOWED = 2.5
# Loads reported by a gateway are ignored after it has been silent for this time.
LOAD_EXPIRY_SECONDS = 1.5
# A gateway can't lead after this time of silence, in which two beacons are missed.
LEADER_EXPIRY_SECONDS = 1.0
# A gateway no longer counts as sharing bounds and budgets after this time of silence.
PEER_EXPIRY_SECONDS = 60.0
# Time between two beacons to a silent gateway, which ask it to answer.
PROBE_SECONDS = 2.0
# A datagram with this many addresses still fits into one packet.
MAXIMUM_KNOWN_HOSTS = 40


class Peers(asyncio.DatagramProtocol):
    """Own the datagram socket and the state of other gateways by their address."""

    __slots__ = (
        "build_beacon",
        "change_limiter",
        "change_timer",
        "changed_zones",
        "hosts",
        "incarnation",
        "is_one_mesh",
        "loop",
        "mesh_sent_at",
        "newcomers",
        "on_beacon",
        "others_sent_at",
        "own_zone_count",
        "sequence",
        "settings",
        "transport",
        "urgent_at",
        "urgent_timer",
    )

    def __init__(self, settings, incarnation):
        self.settings = settings
        self.incarnation = incarnation
        self.loop = asyncio.get_running_loop()
        self.hosts = {}
        # How many of them are known to be in this gateway's availability zone.
        self.own_zone_count = 0
        # How often a gateway was heard that had been silent or has restarted.
        self.newcomers = 0
        # Whether all gateways form one mesh and send each other changes promptly.
        self.is_one_mesh = True
        self.sequence = 0
        self.mesh_sent_at = float("-inf")
        self.others_sent_at = float("-inf")
        self.transport = None
        self.change_limiter = meshes.build_change_limiter()
        # Zones whose gateways don't know of a change yet, and the timer to tell them.
        self.changed_zones = set()
        self.change_timer = None
        # When all gateways were told what can't wait, and the timer to repeat it.
        self.urgent_at = float("-inf")
        self.urgent_timer = None
        # Callbacks: build_beacon() to send one, on_beacon(peer) after one was received.
        self.build_beacon = lambda: Beacon()
        self.on_beacon = lambda peer: None

    async def open(self):
        """Open the datagram socket."""
        address = (self.settings.host, self.settings.peer_port)
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, exc):
        # A host without a listener refuses datagrams. It gets further beacons later.
        log_event(logger, DatagramRefused(repr(exc)))

    def close(self):
        """Cancel the beacon that is due and close the socket."""
        for timer in (self.change_timer, self.urgent_timer):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    # The mesh

    @property
    def mesh_size(self) -> int:
        """Return how many other gateways are in the mesh of this one."""
        return len(self.hosts) if self.is_one_mesh else self.own_zone_count

    def is_in_mesh(self, peer: PeerGateway) -> bool:
        """Return whether a gateway is in the mesh of this one."""
        return self.is_one_mesh or peer.zone == self.settings.zone

    @property
    def mesh_interval(self) -> float:
        return meshes.heartbeat_interval(BEACON_SECONDS, self.mesh_size, in_mesh=True)

    @property
    def count_delay(self) -> float:
        """Return the seconds after which the mesh knows of this gateway's requests."""
        return meshes.change_interval(self.mesh_size) + CHANGE_BATCH_SECONDS

    @property
    def others_interval(self) -> float:
        """Return the seconds between beacons to gateways outside the mesh."""
        others = len(self.hosts) - self.mesh_size
        return meshes.heartbeat_interval(BEACON_SECONDS, others, in_mesh=False)

    # State of other gateways

    def add_host(self, host):
        """Add an address where a gateway may be, and send it a first beacon."""
        if host != self.settings.host and host not in self.hosts:
            self.hosts[host] = PeerGateway(host, known_at=self.loop.time())
            self.is_one_mesh = meshes.is_fresh(len(self.hosts))
            self.send_beacon(self.hosts[host], wants_answer=True)

    def learn_host(self, host: str) -> None:
        """Add an address that a row or another gateway names, if it is an IP address.

        Sending to a text that is no address could end the datagram socket.
        """
        if host in self.hosts:
            return
        try:
            ipaddress.ip_address(host)
        except ValueError:
            log_event(logger, GatewayAddressNotUnderstood(host[:LONGEST_ADDRESS]))
            return
        self.add_host(host)

    def is_heard(self, peer: PeerGateway, seconds: float) -> bool:
        """Return whether a gateway was heard in so many seconds, or a few beacons."""
        return self.build_heard_check(seconds)(peer)

    def build_heard_check(self, seconds: float) -> Callable[[PeerGateway], bool]:
        """Return the function is_heard(peer) for a time, as of now."""
        now = self.loop.time()
        mesh_since = now - max(seconds, MISSED_BEACONS_ALLOWED * self.mesh_interval)
        others_since = now - max(seconds, MISSED_BEACONS_ALLOWED * self.others_interval)

        def is_heard(peer: PeerGateway) -> bool:
            since = mesh_since if self.is_in_mesh(peer) else others_since
            return peer.last_heard_at >= since

        return is_heard

    def heard_within(self, seconds: float) -> list[PeerGateway]:
        return list(filter(self.build_heard_check(seconds), self.hosts.values()))

    def count_sharing_gateways(self) -> int:
        """Return how many gateways may share a bound, this one included."""
        return 1 + len(self.sharing_zones())

    def sharing_zones(self) -> dict[str, str]:
        """Return the zones of the other gateways that may share a bound, by address.

        A gateway that was cut off still sends requests, so it counts until it expires.
        So does one whose address was learned and that has not been heard yet, as this
        gateway may just have started. A leaving one counts as long as it is heard.
        """
        since = self.loop.time() - PEER_EXPIRY_SECONDS
        is_heard = self.build_heard_check(LOAD_EXPIRY_SECONDS)
        return {
            each.host: each.zone
            for each in self.hosts.values()
            if max(each.last_heard_at, each.known_at) >= since
            and not (each.leaving and not is_heard(each))
        }

    def is_leader(self):
        """Return whether this gateway leads among those that are heard and stay."""
        own = leading.Candidate(self.settings.host, self.settings.link_megabits)
        others = (
            leading.Candidate(each.host, each.link_megabits)
            for each in self.heard_within(LEADER_EXPIRY_SECONDS)
            if not each.leaving
        )
        return leading.is_leader(own, others)

    def loads(self):
        """Return the total Load of the other gateways at each endpoint, by its name."""
        totals = collections.defaultdict(Load)
        for peer in self.heard_within(LOAD_EXPIRY_SECONDS):
            for endpoint, load in peer.loads.items():
                totals[endpoint].requests += load.requests
                totals[endpoint].unread_tokens += load.unread_tokens
                totals[endpoint].tokens += load.tokens
        return totals

    def store_answers_elsewhere(self):
        return any(
            each.store_answers for each in self.heard_within(LOAD_EXPIRY_SECONDS)
        )

    def must_follow_store(self):
        """Return whether too few other gateways follow the store without this one."""
        heard = self.heard_within(LOAD_EXPIRY_SECONDS)
        answered = (
            each.host for each in heard if each.store_answers and not each.leaving
        )
        return must_read_store(self.settings.host, answered)

    def peers_ahead_of(self, table, version):
        """Return the gateways whose copy of a table is newer than a version."""
        return [
            each
            for each in self.heard_within(LOAD_EXPIRY_SECONDS)
            if each.versions.get(table, -1) > version
        ]

    # Sending

    async def run(self):
        """Send beacons to all gateways for ever, more often within the mesh."""
        while True:
            now = self.loop.time()
            if now >= self.others_sent_at + self.others_interval:
                self.send_to_others()
            if now >= self.mesh_sent_at + self.mesh_interval:
                self.send_to_mesh()
            due = min(
                self.others_sent_at + self.others_interval,
                self.mesh_sent_at + self.mesh_interval,
            )
            await asyncio.sleep(max(due - self.loop.time(), CHANGE_BATCH_SECONDS))

    def announce_change(self, zone: str = "") -> None:
        """Schedule a beacon to a zone's gateways after a change at its endpoints.

        Changes until the beacon is sent go out with it. Without a zone it is sent to
        this gateway's zone; if all gateways form one mesh, it is sent to all of them.
        """
        self.changed_zones.add(zone or self.settings.zone)
        if self.change_timer is not None or self.transport is None:
            return
        now = self.loop.time()
        due = max(self.change_limiter.due(now), now + CHANGE_BATCH_SECONDS)
        self.change_timer = self.loop.call_at(due, self.send_due_changes)

    def broadcast_now(self):
        """Send a beacon to all gateways at once, without regard to the pace.

        This is for rare and urgent changes: a table that most others learn from this
        gateway, as a configuration has to be in force in seconds; and its own leave, as
        nobody manages the groups of ranks until the next gateway hears of it.
        """
        if self.transport is not None:
            self.send_to_others()
            self.send_to_mesh()

    def announce_urgently(self) -> None:
        """Send a beacon to all gateways at once, and again in case it is lost.

        What is announced within URGENT_SECONDS of a beacon goes with its repetition.
        """
        if self.urgent_timer is not None or self.transport is None:
            return
        if self.loop.time() >= self.urgent_at + URGENT_SECONDS:
            self.send_urgently()
        due = self.urgent_at + URGENT_SECONDS
        self.urgent_timer = self.loop.call_at(due, self.repeat_urgently)

    def repeat_urgently(self) -> None:
        """Send the second beacon of an urgent announcement."""
        self.urgent_timer = None
        self.send_urgently()

    def send_urgently(self) -> None:
        self.urgent_at = self.loop.time()
        self.broadcast_now()

    def send_due_changes(self) -> None:
        """Send the changes that are due, unless a regular beacon has sent them."""
        self.change_timer = None
        zones, self.changed_zones = self.changed_zones, set()
        if zones and (self.is_one_mesh or self.settings.zone in zones):
            self.send_to_mesh()
        others = [
            each
            for each in self.hosts.values()
            if each.zone in zones and not self.is_in_mesh(each)
        ]
        if others:
            self.change_limiter.spend(self.send_beacons(others), self.loop.time())

    def send_to_mesh(self) -> None:
        self.mesh_sent_at = self.loop.time()
        self.changed_zones.discard(self.settings.zone)
        mesh = [each for each in self.hosts.values() if self.is_in_mesh(each)]
        self.change_limiter.spend(self.send_beacons(mesh), self.mesh_sent_at)

    def send_to_others(self) -> None:
        """Send a beacon to the gateways outside the mesh."""
        self.others_sent_at = self.loop.time()
        self.send_beacons(
            [each for each in self.hosts.values() if not self.is_in_mesh(each)]
        )

    def send_beacons(self, peers: list[PeerGateway]) -> int:
        """Send a beacon to those of the gateways that are heard; return their number.

        Silent ones are asked now and then for an answer, as they may be back.
        """
        payload = self.encode_beacon(wants_answer=False, include_hosts=False)
        is_heard = self.build_heard_check(LOAD_EXPIRY_SECONDS)
        now, sent = self.loop.time(), 0
        for peer in peers:
            if is_heard(peer):
                self.transport.sendto(payload, (peer.host, self.settings.peer_port))
                sent += 1
            elif now - peer.probed_at >= PROBE_SECONDS:
                self.send_beacon(peer, wants_answer=True)
        return sent

    def send_beacon(self, peer, *, wants_answer):
        """Send a gateway a beacon with the addresses of the gateways heard."""
        if self.transport is None:
            return
        peer.probed_at = self.loop.time()
        payload = self.encode_beacon(wants_answer=wants_answer, include_hosts=True)
        self.transport.sendto(payload, (peer.host, self.settings.peer_port))

    def encode_beacon(self, *, wants_answer: bool, include_hosts: bool) -> bytes:
        """Return the bytes of a beacon with the next sequence number."""
        beacon = self.build_beacon()
        self.sequence += 1
        beacon.instance = self.settings.name
        beacon.incarnation = self.incarnation
        beacon.zone = self.settings.zone
        beacon.sequence = self.sequence
        beacon.link_megabits = self.settings.link_megabits
        beacon.wants_answer = wants_answer or None
        if include_hosts:
            known = self.heard_within(PEER_EXPIRY_SECONDS)
            beacon.known_hosts = [each.host for each in known][:MAXIMUM_KNOWN_HOSTS]
        return encode(beacon)

    # Receiving

    def datagram_received(self, data, addr):
        """Apply a beacon, note the addresses in it, and answer if it asks for that."""
        try:
            beacon = decode(Beacon, data)
        except ProtocolError as error:
            log_event(logger, DatagramNotUnderstood(addr[0], str(error)))
            return
        host = beacon.host or addr[0]
        if host == self.settings.host:
            return
        for other in beacon.known_hosts or ():
            self.learn_host(other)
        self.learn_host(host)
        if host not in self.hosts:
            return
        self.apply_beacon(self.hosts[host], beacon)
        if beacon.wants_answer:
            self.send_beacon(self.hosts[host], wants_answer=False)

    def apply_beacon(self, peer, beacon):
        """Update a gateway's state from its beacon, unless a newer one was applied."""
        same_incarnation = beacon.incarnation == peer.incarnation
        if same_incarnation and (beacon.sequence or 0) <= peer.sequence:
            # Datagrams can arrive out of order; an older one would restore old loads.
            return
        is_heard = self.is_heard(peer, LOAD_EXPIRY_SECONDS)
        if not is_heard:
            log_event(logger, GatewayHeard(beacon.instance, peer.host))
        self.newcomers += not (is_heard and same_incarnation)
        self.update_zone(peer, beacon.zone or "")
        peer.update(beacon, self.loop.time())
        self.update_versions(peer, beacon)
        self.on_beacon(peer)

    def update_zone(self, peer: PeerGateway, zone: str) -> None:
        """Update a gateway's zone, which may change when an address is used again."""
        own = self.settings.zone
        self.own_zone_count += (zone == own) - (peer.zone == own)
        peer.zone = zone

    def update_versions(self, peer, beacon):
        """Update the versions of a gateway's tables; leave out what it has not read."""
        versions = {
            OPERATORS: beacon.operators_version,
            ENDPOINTS: beacon.endpoints_version,
        }
        peer.versions = {
            table: version for table, version in versions.items() if version is not None
        }
