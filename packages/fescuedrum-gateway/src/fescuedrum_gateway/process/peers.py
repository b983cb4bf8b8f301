"""Tell other gateways what is at the endpoints, and learn from them."""

import asyncio
import collections
import logging
from dataclasses import dataclass, field

from fescuedrum.decisions import leading
from fescuedrum.decisions.following import must_read
from fescuedrum.decisions.pacing import beat_interval
from fescuedrum.decisions.placement import Load
from fescuedrum.events.event import tell
from fescuedrum.events.processes import (
    DatagramNotUnderstood,
    DatagramRefused,
    GatewayHeard,
)
from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire.datagrams import decode, encode
from fescuedrum.wire.gen.gateways.ttypes import Beacon, EndpointLoad

logger = logging.getLogger(__name__)

# The two tables that gateways copy, by the names that they use among themselves.
OPERATORS = "operators"
ENDPOINTS = "endpoints"
# Longest time between beacons; what they tell is also sent when it changes.
BEACON_SECONDS = 0.4
# Changes within this time go out together: a request is chosen for some five times a
# second at a gateway, and a choice elsewhere that is later than this has seen it.
CHANGE_SECONDS = 0.01
# A gateway is silent when this many beacons did not come.
MISSED_BEACONS = 2.5
# Loads of a gateway that was silent for so long no longer hold.
LOAD_SECONDS = 1.5
# A gateway silent for so long no longer leads: two beacons did not come.
LEAD_SECONDS = 1.0
# A gateway silent for so long is asked less often, and no longer shares the budgets.
FORGOTTEN_SECONDS = 60.0
# How often hosts that never answered are asked.
PROBE_SECONDS = 2.0
# A datagram with so many addresses still fits one packet.
MAXIMUM_KNOWN_HOSTS = 40


@dataclass(slots=True)
class PeerGateway:
    """Hold what another gateway told last; times are loop time in seconds."""

    host: str
    # When its address was learned.
    known_at: float = float("-inf")
    heard_at: float = float("-inf")
    probed_at: float = float("-inf")
    incarnation: int = 0
    sequence: int = -1
    leaving: bool = False
    store_answers: bool = False
    link_megabits: float = 0.0
    versions: dict[str, int] = field(default_factory=dict)
    loads: dict[str, Load] = field(default_factory=dict)


class Peers(asyncio.DatagramProtocol):
    """Own the socket for datagrams and what other gateways said."""

    __slots__ = (
        "describe",
        "heard",
        "hosts",
        "incarnation",
        "loop",
        "pending",
        "sent_at",
        "sequence",
        "settings",
        "transport",
    )

    def __init__(self, settings, incarnation):
        self.settings = settings
        self.incarnation = incarnation
        self.loop = asyncio.get_running_loop()
        self.hosts = {}
        self.sequence = 0
        self.sent_at = float("-inf")
        self.transport = None
        self.pending = None
        # describe() fills a beacon; heard(peer) is told of each one that came.
        self.describe = lambda: Beacon()
        self.heard = lambda peer: None

    async def open(self):
        """Bind the socket for datagrams."""
        address = (self.settings.host, self.settings.peer_port)
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, exc):
        # A host without a listener says so; it is asked again later.
        tell(logger, DatagramRefused(repr(exc)))

    def close(self):
        """Send nothing from now on; a beacon that is due would find no socket."""
        if self.pending is not None:
            self.pending.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    @property
    def beacon_interval(self):
        return beat_interval(BEACON_SECONDS, len(self.hosts))

    @property
    def change_interval(self):
        """Return the shortest time between two beacons that tell of changes."""
        return beat_interval(CHANGE_SECONDS, len(self.hosts))

    # What is known

    def add_host(self, host):
        """Take note of an address at which a gateway may be."""
        if host != self.settings.host and host not in self.hosts:
            self.hosts[host] = PeerGateway(host, known_at=self.loop.time())
            self.send_to(self.hosts[host], wants_answer=True)

    def is_heard(self, peer, seconds):
        """Tell whether a gateway was heard so lately; longer if beacons are paced."""
        silence = max(seconds, MISSED_BEACONS * self.beacon_interval)
        return self.loop.time() - peer.heard_at <= silence

    def heard_within(self, seconds):
        return [each for each in self.hosts.values() if self.is_heard(each, seconds)]

    def count_entries(self) -> int:
        """Return how many gateways may share a bound, this one included."""
        return 1 + len(self.sharing_hosts())

    def sharing_hosts(self) -> list[str]:
        """Return the addresses of the others that may share a bound.

        Gateways that were cut off still send: they count until they are forgotten. So
        do those of which this one has only been told, as it has just started, and those
        that leave, as long as they run.
        """
        since = self.loop.time() - FORGOTTEN_SECONDS
        return [
            each.host
            for each in self.hosts.values()
            if max(each.heard_at, each.known_at) >= since
            and not (each.leaving and not self.is_heard(each, LOAD_SECONDS))
        ]

    def is_first(self):
        """Tell whether this gateway is the first of those that are heard and stay."""
        own = leading.Candidate(self.settings.host, self.settings.link_megabits)
        others = (
            leading.Candidate(each.host, each.link_megabits)
            for each in self.heard_within(LEAD_SECONDS)
            if not each.leaving
        )
        return leading.is_first(own, others)

    def loads(self):
        """Sum up what the other gateways have at each endpoint, by its name."""
        totals = collections.defaultdict(Load)
        for peer in self.heard_within(LOAD_SECONDS):
            for endpoint, load in peer.loads.items():
                totals[endpoint].requests += load.requests
                totals[endpoint].unread_tokens += load.unread_tokens
        return totals

    def store_answers_elsewhere(self):
        return any(each.store_answers for each in self.heard_within(LOAD_SECONDS))

    def must_follow_store(self):
        """Tell whether too few others follow the store for this gateway to rest."""
        heard = self.heard_within(LOAD_SECONDS)
        answered = (
            each.host for each in heard if each.store_answers and not each.leaving
        )
        return must_read(self.settings.host, answered)

    def ahead_of(self, table, version):
        """Return the gateways whose copy of a table is newer than version."""
        return [
            each
            for each in self.heard_within(LOAD_SECONDS)
            if each.versions.get(table, -1) > version
        ]

    # Sending

    async def run(self):
        """Send a beacon at least every BEACON_SECONDS."""
        while True:
            self.send_all()
            await asyncio.sleep(self.beacon_interval)

    def changed(self):
        """Send soon what has changed, together with what else changes till then.

        Beacons go to all gateways: without a pace their number would grow with the
        square of the fleet. Where they are many, loads are told less often.
        """
        if self.pending is not None or self.transport is None:
            return
        now = self.loop.time()
        paced = self.sent_at + self.change_interval
        self.pending = self.loop.call_at(
            max(paced, now + CHANGE_SECONDS), self.send_all
        )

    def tell_now(self):
        """Send at once what has changed, whatever the pace.

        For what is seldom and can't wait: a table that most others learn from here, as
        a configuration has to be in force in seconds; and a leave, as groups are kept
        by nobody until the next gateway hears of it.
        """
        if self.transport is not None:
            self.send_all()

    def send_all(self):
        if self.pending is not None:
            self.pending.cancel()
            self.pending = None
        now = self.sent_at = self.loop.time()
        payload = self.build(wants_answer=False, tells_hosts=False)
        for peer in self.hosts.values():
            if self.is_heard(peer, LOAD_SECONDS):
                self.transport.sendto(payload, (peer.host, self.settings.peer_port))
            elif now - peer.probed_at >= PROBE_SECONDS:
                self.send_to(peer, wants_answer=True)

    def send_to(self, peer, *, wants_answer):
        if self.transport is None:
            return
        peer.probed_at = self.loop.time()
        payload = self.build(wants_answer=wants_answer, tells_hosts=True)
        self.transport.sendto(payload, (peer.host, self.settings.peer_port))

    def build(self, *, wants_answer: bool, tells_hosts: bool) -> bytes:
        beacon = self.describe()
        self.sequence += 1
        beacon.instance = self.settings.name
        beacon.incarnation = self.incarnation
        beacon.host = self.settings.host
        beacon.sequence = self.sequence
        beacon.link_megabits = self.settings.link_megabits
        beacon.wants_answer = wants_answer or None
        known = self.heard_within(FORGOTTEN_SECONDS) if tells_hosts else ()
        beacon.known_hosts = [each.host for each in known][:MAXIMUM_KNOWN_HOSTS]
        return encode(beacon)

    # Hearing

    def datagram_received(self, data, addr):
        try:
            beacon = decode(Beacon, data)
        except ProtocolError as error:
            tell(logger, DatagramNotUnderstood(addr[0], str(error)))
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
        if self.loop.time() - peer.heard_at > LOAD_SECONDS:
            tell(logger, GatewayHeard(beacon.instance, peer.host))
        peer.heard_at = self.loop.time()
        peer.incarnation = beacon.incarnation
        peer.sequence = beacon.sequence or 0
        peer.leaving = bool(beacon.leaving)
        peer.store_answers = bool(beacon.store_answers)
        peer.link_megabits = beacon.link_megabits or 0.0
        peer.loads = {
            each.endpoint: Load(each.requests or 0, each.unread_tokens or 0)
            for each in beacon.loads or ()
        }
        self.take_versions(peer, beacon)
        self.heard(peer)

    def take_versions(self, peer, beacon):
        told = {
            OPERATORS: beacon.operators_version,
            ENDPOINTS: beacon.endpoints_version,
        }
        peer.versions = {
            table: version for table, version in told.items() if version is not None
        }


def loads_of(pairs):
    """Return own loads as they go into a beacon."""
    return [
        EndpointLoad(
            endpoint=name, requests=load.requests, unread_tokens=load.unread_tokens
        )
        for name, load in pairs
    ]
