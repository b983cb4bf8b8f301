"""Choose among the groups of ranks of a service for each request."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from fescuedrum.decisions.experts.pace import PassTimer
from fescuedrum.decisions.placing.groups import (
    GroupCondition,
    Standing,
    expected_pass_seconds,
    tiers,
)
from fescuedrum.decisions.placing.placement import Chosen, RefusalCause, Refused
from fescuedrum_gateway.process.group_directory import (
    GroupDirectory,
    GroupPart,
    GroupState,
)

# Spread of the comparison of groups. Counts of other zones are up to a second old, and
# without it all gateways would choose the same group until new counts arrive.
FRESH_SPREAD = 0.1
OUTDATED_SPREAD = 0.4


@dataclass(slots=True, frozen=True)
class GroupRequest:
    """Hold what the choice of a group depends on."""

    service: str
    # Names of the endpoints that the request was sent to before.
    tried: set[str]
    is_caller_retry: bool
    # Reserves a retry, so that a refused probe is sent again; False if none is left.
    reserve_retry: Callable[[], bool] = lambda: True


# Places a request at one of a group's endpoints: place(group, part).
Place = Callable[[str, GroupPart], Chosen | Refused]


class GroupChooser:
    """Choose a group, and an endpoint in it, while several groups are known."""

    __slots__ = ("groups", "on_probe", "pass_ratio")

    def __init__(
        self, groups: GroupDirectory, pass_ratio: Callable[[str, str], float]
    ) -> None:
        self.groups = groups
        # Returns the ratio of a group's pass length to the pause allowed; 0 if unknown.
        self.pass_ratio = pass_ratio
        # Called with the service of a request that is sent as a probe.
        self.on_probe: Callable[[str], None] = lambda service: None

    def choose(
        self, request: GroupRequest, parts: dict[str, GroupPart], place: Place
    ) -> Chosen | Refused:
        """Return Chosen with an endpoint of the best group, or Refused."""
        conditions = self.conditions(request, parts)
        refusal = None
        for tier in tiers(conditions):
            placed = {each.name: place(each.name, parts[each.name]) for each in tier}
            name = self.find_soonest(tier, placed)
            if name is not None:
                self.note_choice(request.service, name, tier[0].standing)
                is_probe = tier[0].standing is Standing.PROBED
                return replace(placed[name], is_probe=is_probe)
            refusal = refusal or placed[tier[0].name]
            if tier[0].standing is Standing.PROBED:
                self.postpone_probes(request.service, tier)
        if refusal is not None:
            return refusal
        if self.groups.refuses_everywhere(request.service):
            return Refused(RefusalCause.GROUPS_OUT)
        return Refused(RefusalCause.ALL_RESTING)

    def conditions(
        self, request: GroupRequest, parts: dict[str, GroupPart]
    ) -> list[GroupCondition]:
        """Return the condition of each group for a request."""
        groups, service = self.groups, request.service
        now = groups.loop.time()
        tried = {groups.membership.group_of(service, each) for each in request.tried}
        is_all_out = all(groups.states[service, name].breaker.is_out for name in parts)
        is_last_try = bool(request.tried or request.is_caller_retry)

        def may_probe() -> bool:
            return is_all_out or (not is_last_try and request.reserve_retry())

        return [
            GroupCondition(
                name,
                self.find_standing(service, name, name in tried, may_probe),
                groups.timer(service, name).current_pass_seconds(now),
                part.load,
                part.is_load_fresh,
            )
            for name, part in parts.items()
        ]

    def find_standing(
        self, service: str, name: str, is_tried: bool, may_probe: Callable[[], bool]
    ) -> Standing:
        """Return the standing of a group for a request.

        may_probe is called only when a probe is due.
        """
        now = self.groups.loop.time()
        state = self.groups.states[service, name]
        state.pace.observe(self.pass_ratio(service, name), now)
        if state.breaker.is_out:
            is_probe = self.is_probe_due(service, state) and may_probe()
            return Standing.PROBED if is_probe else Standing.OUT
        if not state.breaker.has_returned(now, self.groups.random):
            return Standing.RETURNING
        if state.pace.is_avoided(1 + len(self.groups.peers.hosts), now):
            return Standing.SLOW
        return Standing.TRIED if is_tried else Standing.HEALTHY

    def is_probe_due(self, service: str, state: GroupState) -> bool:
        """Return whether a request should be sent to a group that is out."""
        now, breaker = self.groups.loop.time(), state.breaker
        if now < breaker.probe_due_at:
            return False
        interval = self.groups.probe_interval(service)
        return breaker.is_probe_due(now, interval, self.groups.random)

    def find_soonest(
        self, tier: list[GroupCondition], placed: dict[str, Chosen | Refused]
    ) -> str | None:
        """Return the group in which the request would end soonest, if any has room."""
        seconds, random = expected_pass_seconds(tier), self.groups.random

        def sort_key(name: str) -> tuple[bool, float]:
            chosen = placed[name]
            must_wait = chosen.load.requests >= chosen.endpoint.slots
            spread = FRESH_SPREAD if is_fresh[name] else OUTDATED_SPREAD
            return must_wait, seconds[name] * random.uniform(1 - spread, 1 + spread)

        is_fresh = {each.name: each.is_load_fresh for each in tier}
        open_groups = [name for name in is_fresh if isinstance(placed[name], Chosen)]
        return min(open_groups, key=sort_key, default=None)

    def postpone_probes(self, service: str, tier: list[GroupCondition]) -> None:
        """Postpone probes that no endpoint can get, as each has reserved a retry."""
        now, interval = self.groups.loop.time(), self.groups.probe_interval(service)
        for each in tier:
            self.groups.states[service, each.name].breaker.postpone_probe(now, interval)

    def note_choice(self, service: str, name: str, standing: Standing) -> None:
        """Note that a request is sent to a group."""
        now = self.groups.loop.time()
        state = self.groups.states[service, name]
        state.pace.chosen(1 + len(self.groups.peers.hosts), now)
        if standing is Standing.PROBED:
            state.breaker.probe_sent(now, self.groups.probe_interval(service))
            self.on_probe(service)

    def lasting_pass_seconds(self, service: str) -> float | None:
        """Return the shortest length of pass that lasts in a group that is not out.

        Return None if that of any such group is unknown.
        """
        now = self.groups.loop.time()
        lengths = [each.lasting_pass_seconds(now) for each in self.timers(service)]
        return None if None in lengths else min(lengths, default=None)

    def high_pass_seconds(self, service: str) -> float | None:
        """Return the length that few of the fastest open group's passes exceed.

        Return None if no group's is known.
        """
        now = self.groups.loop.time()
        lengths = [each.high_pass_seconds(now) for each in self.timers(service)]
        return min((each for each in lengths if each is not None), default=None)

    def timers(self, service: str) -> list[PassTimer]:
        """Return the timers of the groups of a service that are not out."""
        groups, membership = self.groups, self.groups.membership
        if not membership.is_split(service):
            return [groups.pass_timers.of(service)]
        return [
            groups.timer(service, name)
            for name in membership.names(service)
            if not groups.states[service, name].breaker.is_out
        ]
