"""Hold what the last beacon of another gateway said."""

from dataclasses import dataclass, field

from fescuedrum.decisions.admitting.suspects import EndpointEnd, SuspectReport
from fescuedrum.decisions.placing.group_breakers import GroupReport
from fescuedrum.decisions.placing.groups import GroupSlice
from fescuedrum.decisions.placing.placement import Load
from fescuedrum.decisions.placing.ratelimits import RateReport
from fescuedrum.wire.gen.gateways.ttypes import Beacon
from fescuedrum_gateway.process.beacons.demand import (
    decode_demand,
    decode_organisations,
)
from fescuedrum_gateway.process.beacons.groups import decode_members, decode_states
from fescuedrum_gateway.process.beacons.limits import decode_limits
from fescuedrum_gateway.process.beacons.loads import decode_loads
from fescuedrum_gateway.process.beacons.quarantine import (
    decode_ended,
    decode_sound,
    decode_suspects,
)


@dataclass(slots=True)
class PeerGateway:
    """Hold the state of another gateway from its last beacon, in loop time."""

    host: str
    # Its availability zone; empty before its first beacon.
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
    # Rate limits that endpoints named to it, with the names of the endpoints.
    rate_reports: list[tuple[str, RateReport]] = field(default_factory=list)
    # Membership of groups, and the groups that it found out or back, by service.
    group_members: list[GroupSlice] = field(default_factory=list)
    group_states: list[tuple[str, str, GroupReport]] = field(default_factory=list)
    # By service: new requests per second by rank, and running ones by organisation.
    demand: dict[str, dict[int, float]] = field(default_factory=dict)
    organisations: dict[str, dict[str, int]] = field(default_factory=dict)
    # Endpoints that ended, traits of requests that may be the cause, and (trait, time
    # of an answer) of those that are not.
    ended: list[EndpointEnd] = field(default_factory=list)
    suspects: list[SuspectReport] = field(default_factory=list)
    sound_parts: list[tuple[str, float]] = field(default_factory=list)

    def update(self, beacon: Beacon, now: float) -> None:
        """Replace what the last beacon said, except for zone and versions."""
        self.last_heard_at = now
        self.incarnation = beacon.incarnation
        self.sequence = beacon.sequence or 0
        self.leaving = bool(beacon.leaving)
        self.store_answers = bool(beacon.store_answers)
        self.link_megabits = beacon.link_megabits or 0.0
        self.loads = decode_loads(beacon.loads or ())
        self.rate_reports = decode_limits(beacon.limits or (), now)
        self.group_members = decode_members(beacon.group_members or ())
        self.group_states = decode_states(beacon.group_states or (), now)
        self.demand = decode_demand(beacon.demand or ())
        self.organisations = decode_organisations(beacon.organisations or ())
        self.ended = decode_ended(beacon.ended or (), now)
        self.suspects = decode_suspects(beacon.suspects or (), now)
        self.sound_parts = decode_sound(beacon.sound_parts or (), now)
