"""Find the groups of a service's engines and the maps that they use."""

import asyncio
import logging
from dataclasses import dataclass, field

from fescuedrum.decisions.experts import even
from fescuedrum.events.event import log_event
from fescuedrum.events.groups import GroupFound, GroupNotWhole
from fescuedrum.groups.settling import newest_version
from fescuedrum_gateway.process.demand import DemandSample

logger = logging.getLogger(__name__)

# Time between searches while groups are missing or incomplete. A group of a dozen ranks
# forms within a second of the return of its last rank.
SEARCH_INTERVAL_SECONDS = 0.3
# Time without a pass after which all ranks are asked whether they hold one.
STAND_STILL_SECONDS = 1.0


@dataclass(slots=True)
class Group:
    """Hold the state of one complete group, its map and its demand."""

    name: str
    epoch: int
    addresses: dict[int, tuple[str, int]]
    # Map in force, as sets of experts in expert_map[layer][rank].
    expert_map: list[list[set[int]]]
    # Its version, and the first pass that uses it.
    map_version: int
    map_step: int
    # Highest version that was sent to any rank.
    highest_version: int
    # Pass of the latest report, and the loop times of that report and of the pass.
    last_seen_step: int
    reported_at: float
    last_pass_at: float
    # Loop time from which on all ranks are searched for a held pass.
    next_search_at: float
    sample: DemandSample = field(default_factory=DemandSample)
    # Pass that is held, and the loop time since when it is.
    held_step: int | None = None
    held_since: float = 0.0

    @property
    def ranks(self):
        return len(self.addresses)

    def has_different_map(self, report):
        """Return whether a report shows that another process has changed the map.

        Reports lag, so a report from before map_step may still show the previous map.
        """
        return report.step >= self.map_step and report.map_version != self.map_version


class GroupFinder:
    """Find and hold the groups of one service; endpoints() lists its endpoints."""

    __slots__ = (
        "endpoints",
        "engines",
        "groups",
        "last_search_at",
        "loop",
        "on_members",
    )

    def __init__(self, engines, endpoints):
        self.engines = engines
        self.endpoints = endpoints
        self.loop = asyncio.get_running_loop()
        self.groups = {}
        self.last_search_at = float("-inf")
        # Called after a search with the addresses of ranks by (group, epoch), also of
        # those whose group isn't open.
        self.on_members = lambda members: None

    def reset(self):
        """Drop all groups, so that the next search is due at once."""
        self.groups.clear()
        self.last_search_at = float("-inf")

    def drop(self, group):
        """Drop a group that has changed, so that the next search is due at once."""
        self.groups.pop(group.name, None)
        self.last_search_at = float("-inf")

    def needs_search(self):
        """Return whether endpoints without a group should be searched now."""
        known = sum(group.ranks for group in self.groups.values())
        if known and known == len(self.endpoints()):
            return False
        return self.loop.time() - self.last_search_at >= SEARCH_INTERVAL_SECONDS

    async def search(self, profile):
        """Read from all endpoints which groups they belong to, and add new groups."""
        self.last_search_at = self.loop.time()
        addresses = [(each.host, each.port) for each in self.endpoints()]
        reports = await asyncio.gather(
            *(self.engines.read_report(address) for address in addresses)
        )
        self.on_members(members_by_group(addresses, reports))
        found = {}
        for address, report in zip(addresses, reports, strict=True):
            if report is not None and report.is_open:
                members = found.setdefault((report.group, report.epoch), {})
                members[report.rank] = (address, report)
        for (name, epoch), members in found.items():
            known = self.groups.get(name)
            if known is None or known.epoch != epoch:
                await self.add_group(name, epoch, members, profile)

    async def add_group(self, name, epoch, members, profile):
        """Add a group if all of its ranks were found and its map can be read."""
        _, first = next(iter(members.values()))
        if set(members) != set(range(first.ranks)):
            log_event(logger, GroupNotWhole(name, len(members), first.ranks))
            return
        addresses = {rank: address for rank, (address, _) in members.items()}
        expert_map = await self.read_map_in_force(addresses, first, profile)
        if expert_map is None:
            return
        highest_version = max(newest_version(report) for _, report in members.values())
        self.groups[name] = Group(
            name=name,
            epoch=epoch,
            addresses=addresses,
            expert_map=expert_map,
            map_version=first.map_version,
            map_step=first.step,
            highest_version=highest_version,
            last_seen_step=first.step,
            reported_at=self.loop.time(),
            last_pass_at=self.loop.time(),
            next_search_at=self.loop.time() + STAND_STILL_SECONDS,
        )
        log_event(logger, GroupFound(name, epoch, len(members), first.map_version))

    async def read_map_in_force(self, addresses, report, profile):
        """Return the map in force, or None if it can't be read from all ranks."""
        if report.map_version == 0:
            return even.initial_map(profile.experts, report.ranks, profile.layers)
        ranks = range(report.ranks)
        maps = await asyncio.gather(
            *(self.engines.read_map(addresses[rank]) for rank in ranks)
        )
        if any(each is None or each.version != report.map_version for each in maps):
            return None
        if not all(is_part_of_map(each.held, profile) for each in maps):
            return None
        return [
            [set(maps[rank].held[layer]) for rank in ranks]
            for layer in range(profile.layers)
        ]


def is_part_of_map(held, profile):
    """Return whether a rank's experts are some of those of a profile, by layer."""
    return len(held) == profile.layers and all(
        expert < profile.experts for layer in held for expert in layer
    )


def members_by_group(addresses, reports):
    """Return the addresses of ranks by the (group, epoch) that they report."""
    members = {}
    for address, report in zip(addresses, reports, strict=True):
        if report is not None:
            members.setdefault((report.group, report.epoch), []).append(address)
    return members
