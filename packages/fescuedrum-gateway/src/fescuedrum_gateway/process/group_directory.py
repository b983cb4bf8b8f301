"""Track the groups of ranks of all services, and which of them are out."""

import asyncio
import collections
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from fescuedrum.decisions.experts.pace import PassTimer, PassTimers
from fescuedrum.decisions.placing.group_breakers import (
    CONFIRMATION_SECONDS,
    GroupBreaker,
    GroupReport,
    is_reporting_gateway,
    probe_interval,
)
from fescuedrum.decisions.placing.groups import (
    GroupMembership,
    GroupPace,
    GroupSlice,
    Member,
)
from fescuedrum.decisions.placing.placement import EndpointHistory, Load
from fescuedrum.decisions.placing.presence import EndpointPresence, ListedEndpoint
from fescuedrum.events.event import log_event
from fescuedrum.events.groups import GroupBack, GroupMembersKnown, GroupOut
from fescuedrum_gateway.process.peers import LOAD_EXPIRY_SECONDS, Peers

logger = logging.getLogger(__name__)

# Longest time between beacons to other zones at which all gateways share the probes;
# beyond it those of each zone do.
PROBE_REPORT_SECONDS = CONFIRMATION_SECONDS / 2
# Largest number that a beacon can hold.
LARGEST_EPOCH = 2**63 - 1


@dataclass(slots=True, eq=False)
class GroupState:
    """Hold what this gateway knows of one group."""

    breaker: GroupBreaker = field(default_factory=GroupBreaker)
    pace: GroupPace = field(default_factory=GroupPace)


@dataclass(slots=True)
class GroupPart:
    """Hold those endpoints of a group that are usable for one request."""

    # How many are usable, and those of them that the request may be sent to.
    usable: int
    awake: list[ListedEndpoint]
    # Requests for each slot, and whether changes of that are reported promptly.
    load: float = 0.0
    is_load_fresh: bool = True

    def measure(
        self,
        histories: dict[str, EndpointHistory],
        loads: dict[str, Load],
        is_in_mesh: Callable[[ListedEndpoint], bool],
    ) -> None:
        """Sum the load where it is known promptly, or else everywhere."""
        mesh = [each for each in self.awake if is_in_mesh(each)]
        self.is_load_fresh = bool(mesh)
        requests = slots = 0
        for each in mesh or self.awake:
            requests += histories[each.name].own.requests + loads[each.name].requests
            slots += each.slots
        self.load = requests / max(slots, 1)


class GroupDirectory:
    """Hold the membership and the state of the groups at one gateway."""

    __slots__ = (
        "host",
        "loop",
        "membership",
        "pass_timers",
        "peers",
        "presences",
        "random",
        "states",
    )

    def __init__(
        self,
        host: str,
        presences: EndpointPresence,
        peers: Peers,
        pass_timers: PassTimers,
        random: Random,
    ) -> None:
        self.host = host
        self.presences = presences
        self.peers = peers
        self.pass_timers = pass_timers
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.membership = GroupMembership()
        # By service and group.
        self.states = collections.defaultdict(GroupState)

    # Membership

    def group_of(self, endpoint: ListedEndpoint) -> str:
        """Return an endpoint's group; "" while fewer than two are known."""
        return self.membership.group_of(endpoint.service, endpoint.name)

    def split(
        self, usable: list[ListedEndpoint], awake: list[ListedEndpoint]
    ) -> dict[str, GroupPart]:
        """Return the groups that have endpoints to which a request may be sent."""
        by_group = self.membership.split(awake)
        counts = by_group
        if len(usable) != len(awake):
            counts = self.membership.split(usable)
        return {
            name: GroupPart(len(counts[name]), endpoints)
            for name, endpoints in by_group.items()
        }

    def timer(self, service: str, group: str) -> PassTimer:
        """Return the timer of a group, or of the service while it is the only one."""
        is_split = self.membership.is_split(service)
        return self.pass_timers.of(service, group if is_split else "")

    def learn(self, slices: Iterable[GroupSlice]) -> None:
        """Note the groups of listed endpoints."""
        now = self.loop.time()
        for each in slices:
            member = Member(each.service, each.group, each.epoch)
            changed = [
                self.membership.assign(name, member, now)
                for name in each.endpoints
                if self.is_listed(name, each.service)
            ]
            if any(changed):
                groups = self.membership.by_service[each.service]
                known = len(groups[each.group].endpoints)
                event = GroupMembersKnown(each.service, each.group, known, len(groups))
                log_event(logger, event)

    def is_listed(self, name: str, service: str) -> bool:
        """Return whether an endpoint of a service is listed under a name."""
        presence = self.presences.by_name.get(name)
        return presence is not None and presence.endpoint.service == service

    def learn_addresses(
        self, service: str, found: dict[tuple[str, int], list[tuple[str, int]]]
    ) -> None:
        """Note the addresses of ranks by group and epoch, as the leader finds them."""
        names = {
            (each.host, each.port): each.name
            for each in self.presences.of_service(service)
        }
        self.learn(
            GroupSlice(
                service, group, epoch, tuple(names[at] for at in ranks if at in names)
            )
            for (group, epoch), ranks in found.items()
            if group and 0 <= epoch <= LARGEST_EPOCH
        )

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint that is gone or has restarted."""
        self.membership.forget(endpoint, self.loop.time())

    def expire(self) -> None:
        """Drop the groups that are gone, and what is known of them."""
        for service, group in self.membership.expire(self.loop.time()):
            self.states.pop((service, group), None)
            if self.membership.is_split(service):
                self.pass_timers.forget(service, group)
                continue
            for name in self.membership.names(service):
                self.pass_timers.keep_only(service, name)
                self.states.pop((service, name), None)

    # Observations

    def refused(self, endpoint: ListedEndpoint) -> None:
        """Record that an endpoint refused a request."""
        service, group = endpoint.service, self.group_of(endpoint)
        now = self.loop.time()
        breaker = self.states[service, group].breaker
        if not self.membership.is_split(service):
            breaker.refusals.refused(endpoint.name, now)
        elif breaker.refused(
            endpoint.name,
            self.count_members(service, group),
            now,
            self.timer(service, group).current_pass_seconds(now),
        ):
            self.log_out(service, group, "refused")
            self.announce(everywhere=self.reports_everywhere(service, group))

    def count_members(self, service: str, group: str) -> int:
        """Return how many endpoints a group has."""
        if group:
            return len(self.membership.by_service[service][group].endpoints)
        return sum(not self.group_of(each) for each in self.presences.ready(service))

    def opened(self, endpoint: ListedEndpoint) -> None:
        """Record that an endpoint began an answer, which may still show no event."""
        breaker = self.states[endpoint.service, self.group_of(endpoint)].breaker
        if not (self.membership.is_split(endpoint.service) and breaker.is_out):
            breaker.refusals.answered()

    def ran(self, endpoint: ListedEndpoint, sent_at: float) -> None:
        """Record that an endpoint has run a request that was sent at a time."""
        service, group = endpoint.service, self.group_of(endpoint)
        if not self.membership.is_split(service):
            return
        if self.states[service, group].breaker.answered(sent_at, self.loop.time()):
            self.log_back(service, group, self.host)
            self.announce(everywhere=True)

    def passed(self, endpoint: ListedEndpoint, seconds: float) -> None:
        """Record an event of a stream that came after a pass of so many seconds."""
        service, group = endpoint.service, self.group_of(endpoint)
        now = self.loop.time()
        self.timer(service, group).observe(seconds, now)
        if self.membership.is_split(service):
            self.states[service, group].breaker.record_event(now)

    def accept(self, service: str, group: str, report: GroupReport, host: str) -> None:
        """Apply what another gateway found of a group, unless events disprove it."""
        now = self.loop.time()
        breaker = self.states[service, group].breaker
        pass_seconds = self.timer(service, group).current_pass_seconds(now)
        if breaker.accept(report, now, pass_seconds):
            if report.down:
                self.log_out(service, group, "reported")
            else:
                self.log_back(service, group, host)
        elif breaker.contradicts(report):
            self.announce(everywhere=True)

    def refuses_everywhere(self, service: str) -> bool:
        """Return whether all groups of a service are out, or its only one refuses."""
        if not self.membership.is_split(service):
            refusals = self.states[service, ""].breaker.refusals
            return refusals.is_service_wide(self.loop.time())
        groups = {self.group_of(each) for each in self.presences.ready(service)}
        states = [self.states[service, each] for each in groups]
        return bool(states) and all(each.breaker.is_out for each in states)

    def without_those_out(
        self, service: str, endpoints: list[ListedEndpoint]
    ) -> list[ListedEndpoint]:
        """Return the endpoints of a service whose groups get requests."""
        if not self.membership.is_split(service):
            return endpoints
        out = {
            name
            for name in ("", *self.membership.names(service))
            if self.states[service, name].breaker.is_out
        }
        if not out:
            return endpoints
        return [each for each in endpoints if self.group_of(each) not in out]

    def reports_everywhere(self, service: str, group: str) -> bool:
        """Return whether this gateway tells all zones that it found a group down."""
        others = self.sharing_probes()
        return is_reporting_gateway(self.host, others, service, group)

    def sharing_probes(self) -> set[str]:
        """Return the addresses of the gateways that share probes with this one."""
        peers = self.peers
        is_prompt = peers.others_interval <= PROBE_REPORT_SECONDS
        return {
            each.host
            for each in peers.heard_within(LOAD_EXPIRY_SECONDS)
            if not each.leaving and (is_prompt or peers.is_in_mesh(each))
        }

    def probe_interval(self, service: str) -> float:
        """Return the seconds between two probes of this gateway at a group."""
        are_all_out = self.refuses_everywhere(service)
        return probe_interval(1 + len(self.sharing_probes()), are_all_out=are_all_out)

    def announce(self, *, everywhere: bool) -> None:
        """Send what was found to this gateway's zone, or to all zones."""
        hosts = self.peers.hosts.values() if everywhere else ()
        for zone in {"", *(each.zone for each in hosts)}:
            self.peers.announce_change(zone)

    def log_out(self, service: str, group: str, reason: str) -> None:
        """Log that a group gets no more requests."""
        refusals = self.states[service, group].breaker.refusals.count(self.loop.time())
        log_event(logger, GroupOut(service, group, reason, refusals))

    def log_back(self, service: str, group: str, host: str) -> None:
        """Log that a group gets requests again."""
        breaker = self.states[service, group].breaker
        seconds = round(breaker.closed_at - breaker.out_since, 3)
        log_event(logger, GroupBack(service, group, seconds, host))
