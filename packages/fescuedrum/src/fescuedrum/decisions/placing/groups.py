"""Know which endpoints form a group of ranks, and order the groups of a service.

Load pattern: the engines of a service run in several groups that advance in lock-step,
each at its own speed. If the service is treated as one group, a slow group gets as many
requests as a fast one, and refusals of a group that is down make requests fail that
another group could have run.

Groups matter only while at least two of a service are known. Until then, each endpoint
belongs to the group "" of its service. So does an endpoint of which no group is known.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import mean

from fescuedrum.decisions.placing.presence import ListedEndpoint

# A group whose endpoints are all gone stays known for this time: its engines restart
# under new names and refuse requests until the group is whole again.
EMPTY_GROUP_SECONDS = 30.0
# Endpoints in one message about a group, so that it fits into a packet.
SLICE_SIZE = 40
# Time from a slow group's last streams until one request is tried there. Each gateway
# tries for itself, so that in a large fleet each does so less often.
SHORTEST_TRIAL_SECONDS = 4.0
LONGEST_TRIAL_SECONDS = 15.0
TRIAL_SECONDS_PER_GATEWAY = 0.5


@dataclass(slots=True, frozen=True)
class GroupSlice:
    """Name some or all of the endpoints of a group."""

    service: str
    group: str
    epoch: int
    endpoints: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Member:
    """Hold the group of one endpoint."""

    service: str
    group: str
    epoch: int


@dataclass(slots=True)
class KnownGroup:
    """Hold the names of a group's endpoints, and since when it has none."""

    endpoints: set[str] = field(default_factory=set)
    emptied_at: float = float("inf")


class GroupMembership:
    """Hold the groups of endpoints by name; times are loop time in seconds."""

    __slots__ = ("by_endpoint", "by_service", "version")

    def __init__(self) -> None:
        self.by_endpoint: dict[str, Member] = {}
        # KnownGroup by service and group.
        self.by_service: dict[str, dict[str, KnownGroup]] = {}
        # Changes with each change of the membership.
        self.version = 0

    def assign(self, endpoint: str, member: Member, now: float) -> bool:
        """Note an endpoint's group; return False if it is known, or a newer one is."""
        known = self.by_endpoint.get(endpoint)
        if known == member or (known is not None and member.epoch < known.epoch):
            return False
        self.forget(endpoint, now)
        self.by_endpoint[endpoint] = member
        groups = self.by_service.setdefault(member.service, {})
        group = groups.setdefault(member.group, KnownGroup())
        group.endpoints.add(endpoint)
        group.emptied_at = float("inf")
        self.version += 1
        return True

    def forget(self, endpoint: str, now: float) -> None:
        """Drop an endpoint that is gone or has restarted."""
        member = self.by_endpoint.pop(endpoint, None)
        if member is None:
            return
        groups = self.by_service[member.service]
        group = groups[member.group]
        group.endpoints.discard(endpoint)
        if not group.endpoints:
            group.emptied_at = now
            # The only group may return under another name and is still the only one.
            if len(groups) == 1:
                del groups[member.group]
        self.version += 1

    def expire(self, now: float) -> list[tuple[str, str]]:
        """Drop groups that have had no endpoint for long; return (service, group)."""
        expired = [
            (service, name)
            for service, groups in self.by_service.items()
            for name, group in groups.items()
            if now - group.emptied_at >= EMPTY_GROUP_SECONDS
        ]
        for service, name in expired:
            del self.by_service[service][name]
            self.version += 1
        return expired

    def is_split(self, service: str) -> bool:
        """Return whether at least two groups of a service are known."""
        return len(self.by_service.get(service, ())) >= 2

    def names(self, service: str) -> list[str]:
        """Return the names of the known groups of a service, in order."""
        return sorted(self.by_service.get(service, ()))

    def split_services(self) -> list[str]:
        """Return the services of which at least two groups are known."""
        return [each for each in self.by_service if self.is_split(each)]

    def group_of(self, service: str, endpoint: str) -> str:
        """Return an endpoint's group; "" if unknown or the only one of its service."""
        if not self.is_split(service):
            return ""
        member = self.by_endpoint.get(endpoint)
        return "" if member is None else member.group

    def split(
        self, endpoints: Iterable[ListedEndpoint]
    ) -> dict[str, list[ListedEndpoint]]:
        """Return the endpoints of a service with several groups by their group."""
        by_endpoint, groups = self.by_endpoint, {}
        for each in endpoints:
            member = by_endpoint.get(each.name)
            name = "" if member is None else member.group
            groups.setdefault(name, []).append(each)
        return groups

    def slices(self) -> list[GroupSlice]:
        """Return the membership of all services with several groups, in slices."""
        slices = []
        for service in sorted(self.split_services()):
            for name in self.names(service):
                # Endpoints of one group differ in epoch while it restarts.
                by_epoch = {}
                for endpoint in sorted(self.by_service[service][name].endpoints):
                    epoch = self.by_endpoint[endpoint].epoch
                    by_epoch.setdefault(epoch, []).append(endpoint)
                for epoch, endpoints in sorted(by_epoch.items()):
                    slices += [
                        GroupSlice(
                            service,
                            name,
                            epoch,
                            tuple(endpoints[start : start + SLICE_SIZE]),
                        )
                        for start in range(0, len(endpoints), SLICE_SIZE)
                    ]
        return slices


class GroupPace:
    """Remember whether a group's passes took longer than the pause allowed.

    A group that gets no requests because it is slow shows no passes. Without this
    memory it would count as fast again as soon as its last streams have ended.
    """

    __slots__ = ("is_slow", "last_seen_at")

    def __init__(self) -> None:
        self.is_slow = False
        # When passes were last seen, or a request was sent to see them.
        self.last_seen_at = float("-inf")

    def observe(self, pass_ratio: float, now: float) -> None:
        """Note the ratio of pass length to the pause allowed; 0 if unknown."""
        if pass_ratio > 0:
            self.is_slow = pass_ratio > 1
            self.last_seen_at = now

    def is_avoided(self, gateways: int, now: float) -> bool:
        """Return whether requests should go elsewhere; False once for a trial."""
        return self.is_slow and now - self.last_seen_at < trial_seconds(gateways)

    def chosen(self, gateways: int, now: float) -> None:
        """Note that a request is sent to the group; a trial ends with it."""
        if self.is_slow and not self.is_avoided(gateways, now):
            self.last_seen_at = now


def trial_seconds(gateways: int) -> float:
    """Return the time until a slow group is tried by one of this many gateways."""
    seconds = TRIAL_SECONDS_PER_GATEWAY * gateways
    return min(max(seconds, SHORTEST_TRIAL_SECONDS), LONGEST_TRIAL_SECONDS)


class Standing(enum.IntEnum):
    """Order in which the groups of a service get a request."""

    # This request is to find out whether a group that is out answers.
    PROBED = 0
    HEALTHY = 1
    # An endpoint of the group refused this very request, or broke its answer.
    TRIED = 2
    # Passes take longer than callers allow.
    SLOW = 3
    # The group answers again, and this request is among the later ones to return.
    RETURNING = 4
    OUT = 5


@dataclass(slots=True, frozen=True)
class GroupCondition:
    """Describe one group for the choice of a request's group."""

    name: str
    standing: Standing
    # None if unknown.
    pass_seconds: float | None = None
    # Requests at the group's endpoints for each of their slots.
    load: float = 0.0
    # Whether changes of its load are reported promptly.
    is_load_fresh: bool = True


def tiers(conditions: Iterable[GroupCondition]) -> list[list[GroupCondition]]:
    """Return the groups that may get a request by standing, without those out."""
    by_standing = {}
    for each in conditions:
        if each.standing is not Standing.OUT:
            by_standing.setdefault(each.standing, []).append(each)
    return [by_standing[standing] for standing in sorted(by_standing)]


def expected_pass_seconds(tier: list[GroupCondition]) -> dict[str, float]:
    """Return the length of pass to expect of each group, which grows with its load.

    Where no group's length is known, groups are compared by load alone.
    """
    known = [each.pass_seconds for each in tier if each.pass_seconds is not None]
    usual = mean(known) if known else 1.0
    return {
        each.name: (usual if each.pass_seconds is None else each.pass_seconds)
        * (1.0 + each.load)
        for each in tier
    }
