"""Tell other gateways what is at the endpoints, and learn from them."""

import asyncio
import collections
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from fescuedrum.decisions import leading, meshes
from fescuedrum.decisions.following import must_read_store
from fescuedrum.decisions.placement import Load
from fescuedrum.decisions.ratelimits import (
    Limited,
    RateLimits,
    RateReport,
    Unlimited,
    is_rate,
)
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import (
    DatagramNotUnderstood,
    DatagramRefused,
    GatewayHeard,
)
from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire.datagrams import decode, encode
from fescuedrum.wire.gen.gateways.ttypes import Beacon, EndpointLimit, EndpointLoad

logger = logging.getLogger(__name__)

# The two tables that gateways copy, by the names that they use among themselves.
OPERATORS = "operators"
ENDPOINTS = "endpoints"
# Longest time between beacons in a mesh; what they tell is also sent when it changes.
BEACON_SECONDS = 0.4
# Changes within this time go out together: a request is chosen for some five times a
# second at a gateway, and a choice elsewhere that is later than this has seen it.
CHANGE_SECONDS = 0.01
# A gateway is silent when this many beacons did not come.
MISSED_BEACONS = 2.5
# Loads of a gateway that was silent for so long no longer hold.
LOAD_EXPIRY_SECONDS = 1.5
# A gateway silent for so long no longer leads: two beacons did not come.
LEAD_SECONDS = 1.0
# A gateway silent for so long is asked less often, and no longer shares the budgets.
PEER_EXPIRY_SECONDS = 60.0
# How often hosts that never answered are asked.
PROBE_SECONDS = 2.0
# A datagram with so many addresses still fits one packet.
MAXIMUM_KNOWN_HOSTS = 40


@dataclass(slots=True)
class PeerGateway:
    """Hold what another gateway told last; times are loop time in seconds."""

    host: str
    # Its availability zone; empty until it is heard.
    zone: str = ""
    # When its address was learned.
    known_at: float = float("-inf")
    last_heard_at: float = float("-inf")
    probed_at: float = float("-inf")
    incarnation: int = 0
    sequence: int = -1
    leaving: bool = False
    store_answers: bool = False
    link_megabits: float = 0.0
    versions: dict[str, int] = field(default_factory=dict)
    loads: dict[str, Load] = field(default_factory=dict)
    # What endpoints told it of their rates, by name of endpoint.
    rate_reports: list[tuple[str, RateReport]] = field(default_factory=list)


class Peers(asyncio.DatagramProtocol):
    """Own the socket for datagrams and what other gateways said."""

    __slots__ = (
        "build_beacon",
        "due_zones",
        "hosts",
        "in_zone",
        "incarnation",
        "is_one_mesh",
        "loop",
        "on_beacon",
        "pace",
        "pending",
        "sequence",
        "settings",
        "told_mesh_at",
        "told_others_at",
        "transport",
    )

    def __init__(self, settings, incarnation):
        self.settings = settings
        self.incarnation = incarnation
        self.loop = asyncio.get_running_loop()
        self.hosts = {}
        # How many of them are known to be in the own availability zone.
        self.in_zone = 0
        # Whether all gateways tell each other of changes.
        self.is_one_mesh = True
        self.sequence = 0
        self.told_mesh_at = float("-inf")
        self.told_others_at = float("-inf")
        self.transport = None
        self.pace = meshes.build_change_limiter()
        # Zones whose gateways are still to be told of a change, and the timer for it.
        self.due_zones = set()
        self.pending = None
        # build_beacon() fills a beacon; on_beacon(peer) is told of each one that came.
        self.build_beacon = lambda: Beacon()
        self.on_beacon = lambda peer: None

    async def open(self):
        """Bind the socket for datagrams."""
        address = (self.settings.host, self.settings.peer_port)
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, exc):
        # A host without a listener says so; it is asked again later.
        log_event(logger, DatagramRefused(repr(exc)))

    def close(self):
        """Send nothing from now on; a beacon that is due would find no socket."""
        if self.pending is not None:
            self.pending.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    # The mesh

    @property
    def mesh_size(self) -> int:
        """Return how many others are told of changes promptly."""
        return len(self.hosts) if self.is_one_mesh else self.in_zone

    def is_in_mesh(self, peer: PeerGateway) -> bool:
        return self.is_one_mesh or peer.zone == self.settings.zone

    @property
    def mesh_interval(self) -> float:
        return meshes.heartbeat_interval(BEACON_SECONDS, self.mesh_size, in_mesh=True)

    @property
    def others_interval(self) -> float:
        """Return the time between beacons to gateways outside the mesh."""
        others = len(self.hosts) - self.mesh_size
        return meshes.heartbeat_interval(BEACON_SECONDS, others, in_mesh=False)

    # What is known

    def add_host(self, host):
        """Take note of an address at which a gateway may be."""
        if host != self.settings.host and host not in self.hosts:
            self.hosts[host] = PeerGateway(host, known_at=self.loop.time())
            self.is_one_mesh = meshes.is_fresh(len(self.hosts))
            self.send_to(self.hosts[host], wants_answer=True)

    def is_heard(self, peer: PeerGateway, seconds: float) -> bool:
        """Tell whether a gateway was heard so lately; longer if beacons are paced."""
        return self.hearing(seconds)(peer)

    def hearing(self, seconds: float) -> Callable[[PeerGateway], bool]:
        """Return what tells for each of many gateways whether it is heard."""
        now = self.loop.time()
        mesh_since = now - max(seconds, MISSED_BEACONS * self.mesh_interval)
        others_since = now - max(seconds, MISSED_BEACONS * self.others_interval)

        def is_heard(peer: PeerGateway) -> bool:
            since = mesh_since if self.is_in_mesh(peer) else others_since
            return peer.last_heard_at >= since

        return is_heard

    def heard_within(self, seconds: float) -> list[PeerGateway]:
        return list(filter(self.hearing(seconds), self.hosts.values()))

    def count_sharing_gateways(self) -> int:
        """Return how many gateways may share a bound, this one included."""
        return 1 + len(self.sharing_zones())

    def sharing_zones(self) -> dict[str, str]:
        """Return the zones of the others that may share a bound, by their address.

        Gateways that were cut off still send: they count until they are forgotten. So
        do those of which this one has only been told, as it has just started, and those
        that leave, as long as they run.
        """
        since = self.loop.time() - PEER_EXPIRY_SECONDS
        is_heard = self.hearing(LOAD_EXPIRY_SECONDS)
        return {
            each.host: each.zone
            for each in self.hosts.values()
            if max(each.last_heard_at, each.known_at) >= since
            and not (each.leaving and not is_heard(each))
        }

    def is_leader(self):
        """Tell whether this gateway is the first of those that are heard and stay."""
        own = leading.Candidate(self.settings.host, self.settings.link_megabits)
        others = (
            leading.Candidate(each.host, each.link_megabits)
            for each in self.heard_within(LEAD_SECONDS)
            if not each.leaving
        )
        return leading.is_leader(own, others)

    def loads(self):
        """Sum up what the other gateways have at each endpoint, by its name."""
        totals = collections.defaultdict(Load)
        for peer in self.heard_within(LOAD_EXPIRY_SECONDS):
            for endpoint, load in peer.loads.items():
                totals[endpoint].requests += load.requests
                totals[endpoint].unread_tokens += load.unread_tokens
        return totals

    def store_answers_elsewhere(self):
        return any(
            each.store_answers for each in self.heard_within(LOAD_EXPIRY_SECONDS)
        )

    def must_follow_store(self):
        """Tell whether too few others follow the store for this gateway to rest."""
        heard = self.heard_within(LOAD_EXPIRY_SECONDS)
        answered = (
            each.host for each in heard if each.store_answers and not each.leaving
        )
        return must_read_store(self.settings.host, answered)

    def peers_ahead_of(self, table, version):
        """Return the gateways whose copy of a table is newer than version."""
        return [
            each
            for each in self.heard_within(LOAD_EXPIRY_SECONDS)
            if each.versions.get(table, -1) > version
        ]

    # Sending

    async def run(self):
        """Send beacons to all gateways, to those of the mesh more often."""
        while True:
            now = self.loop.time()
            if now >= self.told_others_at + self.others_interval:
                self.tell_others()
            if now >= self.told_mesh_at + self.mesh_interval:
                self.tell_mesh()
            due = min(
                self.told_others_at + self.others_interval,
                self.told_mesh_at + self.mesh_interval,
            )
            await asyncio.sleep(max(due - self.loop.time(), CHANGE_SECONDS))

    def announce_change(self, zone: str = "") -> None:
        """Tell the gateways of a zone soon of a change at its endpoints.

        It goes out together with what else changes till then. Where there is only one
        mesh, all are told; without a zone, the own one.
        """
        self.due_zones.add(zone or self.settings.zone)
        if self.pending is not None or self.transport is None:
            return
        now = self.loop.time()
        due = max(self.pace.due(now), now + CHANGE_SECONDS)
        self.pending = self.loop.call_at(due, self.tell_due)

    def broadcast_now(self):
        """Send at once what has changed, whatever the pace.

        For what is seldom and can't wait: a table that most others learn from here, as
        a configuration has to be in force in seconds; and a leave, as groups are kept
        by nobody until the next gateway hears of it.
        """
        if self.transport is not None:
            self.tell_others()
            self.tell_mesh()

    def tell_due(self) -> None:
        """Tell the gateways of a due change, if no heartbeat has told them."""
        self.pending = None
        zones, self.due_zones = self.due_zones, set()
        if zones and (self.is_one_mesh or self.settings.zone in zones):
            self.tell_mesh()
        others = [
            each
            for each in self.hosts.values()
            if each.zone in zones and not self.is_in_mesh(each)
        ]
        if others:
            self.pace.spend(self.send_beacons(others), self.loop.time())

    def tell_mesh(self) -> None:
        self.told_mesh_at = self.loop.time()
        self.due_zones.discard(self.settings.zone)
        mesh = [each for each in self.hosts.values() if self.is_in_mesh(each)]
        self.pace.spend(self.send_beacons(mesh), self.told_mesh_at)

    def tell_others(self) -> None:
        self.told_others_at = self.loop.time()
        self.send_beacons(
            [each for each in self.hosts.values() if not self.is_in_mesh(each)]
        )

    def send_beacons(self, peers: list[PeerGateway]) -> int:
        """Send a beacon to those that are heard; return to how many.

        The others are asked now and then, as they may be back.
        """
        payload = self.build(wants_answer=False, tells_hosts=False)
        is_heard = self.hearing(LOAD_EXPIRY_SECONDS)
        now, told = self.loop.time(), 0
        for peer in peers:
            if is_heard(peer):
                self.transport.sendto(payload, (peer.host, self.settings.peer_port))
                told += 1
            elif now - peer.probed_at >= PROBE_SECONDS:
                self.send_to(peer, wants_answer=True)
        return told

    def send_to(self, peer, *, wants_answer):
        if self.transport is None:
            return
        peer.probed_at = self.loop.time()
        payload = self.build(wants_answer=wants_answer, tells_hosts=True)
        self.transport.sendto(payload, (peer.host, self.settings.peer_port))

    def build(self, *, wants_answer: bool, tells_hosts: bool) -> bytes:
        beacon = self.build_beacon()
        self.sequence += 1
        beacon.instance = self.settings.name
        beacon.incarnation = self.incarnation
        beacon.zone = self.settings.zone
        beacon.sequence = self.sequence
        beacon.link_megabits = self.settings.link_megabits
        beacon.wants_answer = wants_answer or None
        if tells_hosts:
            known = self.heard_within(PEER_EXPIRY_SECONDS)
            beacon.known_hosts = [each.host for each in known][:MAXIMUM_KNOWN_HOSTS]
        return encode(beacon)

    # Hearing

    def datagram_received(self, data, addr):
        try:
            beacon = decode(Beacon, data)
        except ProtocolError as error:
            log_event(logger, DatagramNotUnderstood(addr[0], str(error)))
            return
        host = beacon.host or addr[0]
        if host == self.settings.host:
            return
        for other in beacon.known_hosts or ():
            self.add_host(other)
        self.add_host(host)
        self.take(self.hosts[host], beacon)
        if beacon.wants_answer:
            self.send_to(self.hosts[host], wants_answer=False)

    def take(self, peer, beacon):
        same_life = beacon.incarnation == peer.incarnation
        if same_life and (beacon.sequence or 0) <= peer.sequence:
            # Datagrams overtake each other; an older one would bring old loads back.
            return
        if not self.is_heard(peer, LOAD_EXPIRY_SECONDS):
            log_event(logger, GatewayHeard(beacon.instance, peer.host))
        self.note_zone(peer, beacon.zone or "")
        peer.last_heard_at = self.loop.time()
        peer.incarnation = beacon.incarnation
        peer.sequence = beacon.sequence or 0
        peer.leaving = bool(beacon.leaving)
        peer.store_answers = bool(beacon.store_answers)
        peer.link_megabits = beacon.link_megabits or 0.0
        peer.loads = {
            each.endpoint: Load(each.requests or 0, each.unread_tokens or 0)
            for each in beacon.loads or ()
        }
        peer.rate_reports = decode_limits(beacon.limits or (), self.loop.time())
        self.take_versions(peer, beacon)
        self.on_beacon(peer)

    def note_zone(self, peer: PeerGateway, zone: str) -> None:
        """Take note of a gateway's zone; an address may come back in another."""
        own = self.settings.zone
        self.in_zone += (zone == own) - (peer.zone == own)
        peer.zone = zone

    def take_versions(self, peer, beacon):
        told = {
            OPERATORS: beacon.operators_version,
            ENDPOINTS: beacon.endpoints_version,
        }
        peer.versions = {
            table: version for table, version in told.items() if version is not None
        }


def encode_loads(pairs):
    """Return own loads as they go into a beacon."""
    return [
        EndpointLoad(
            endpoint=name,
            requests=load.requests,
            unread_tokens=load.unread_tokens or None,
        )
        for name, load in pairs
    ]


def encode_limits(rate_limits: RateLimits, now: float) -> list[EndpointLimit]:
    """Return what endpoints told of their rates as it goes into a beacon."""
    limits = []
    for endpoint, report in rate_limits.reports(now):
        limit = EndpointLimit(endpoint=endpoint, age=now - report.stated_at)
        if isinstance(report.rate, Limited):
            limit.per_second = report.rate.per_second
        limits.append(limit)
    return limits


def decode_limits(
    limits: Iterable[EndpointLimit], now: float
) -> list[tuple[str, RateReport]]:
    """Return what a beacon tells of endpoints' rates, without what can't be true."""
    reports = []
    for limit in limits:
        age, per_second = limit.age or 0.0, limit.per_second
        # A report from the future would outlive all that the endpoint says itself.
        if not (is_rate(age) and (per_second is None or is_rate(per_second))):
            continue
        rate = Unlimited() if per_second is None else Limited(per_second)
        reports.append((limit.endpoint or "", RateReport(rate, now - age)))
    return reports
