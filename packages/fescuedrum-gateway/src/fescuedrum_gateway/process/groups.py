"""Keep the ranks of model engines' groups even while demand for experts moves."""

import asyncio
import logging
from dataclasses import dataclass

from fescuedrum.decisions.experts import even
from fescuedrum.decisions.experts.demand import Demand
from fescuedrum.groups.switching import (
    HOLDING_RANK,
    MapChange,
    Switch,
    SwitchResult,
    newest_version,
    settle,
)

logger = logging.getLogger(__name__)

# Time between looks at a group: one that begins anew has its first map again, which is
# three times as slow as a good one.
WATCH_SECONDS = 0.25
# Looks between reads of counts: demand may change every few seconds, and a read of an
# engine's counts from afar is dear.
LOOKS_PER_READ = 2
# Time between looks for groups while one is missing or not whole. A group of a dozen
# ranks forms within a second of its last rank's return.
SEARCH_SECONDS = 0.3
# A change must make passes shorter by this factor: copies slow the group for half a
# second, and counts of half a second miss the true demand by a tenth.
LEAST_IMPROVEMENT = 1.5
# New experts for a rank, in each layer, in one change: the copies of more take longer
# than the demand that they are meant for may last.
SPARE = 1
# A hold that stands for so long has been left behind: a switch takes a fraction of it.
LEFT_SECONDS = 0.5
# Versions of one process's change, and of the map that voids it, lie in such a block;
# the place in the block keeps apart processes that take the same block.
VERSION_BLOCK = 1000
# Work between two pauses for other tasks: one step of mending takes about 1 ms.
STEPS_PER_TURN = 4


@dataclass(slots=True)
class Group:
    """Hold one whole group and what is known of its demand."""

    name: str
    epoch: int
    addresses: dict[int, tuple[str, int]]
    # held[layer][rank]: the map in force, as sets.
    held: list[list[set[int]]]
    version: int
    demand: Demand
    held_step: int | None = None
    held_since: float = 0.0
    looks: int = 0
    # Pass of the newest report.
    seen_step: int = -1
    # Rank whose counts are read: requests are spread over ranks, so each is a sample.
    sampled: int = 0


class GroupKeeper:
    """Keep the groups of one service while this process leads."""

    __slots__ = (
        "engines",
        "gateway",
        "groups",
        "loop",
        "random",
        "service",
        "sought_at",
    )

    def __init__(self, gateway, engines, service):
        self.gateway = gateway
        self.engines = engines
        # Name of the service.
        self.service = service
        self.random = gateway.random
        self.loop = asyncio.get_running_loop()
        self.groups = {}
        self.sought_at = float("-inf")

    @property
    def experts(self):
        described = self.gateway.configuration.table.services.get(self.service)
        engine = described.engine if described is not None else None
        return engine.experts if engine is not None else None

    def forget(self):
        """Drop what is known: another process leads, and changes maps."""
        self.groups.clear()
        self.sought_at = float("-inf")

    async def step(self):
        """Look at each group once, and change what is worth it."""
        if self.experts is None:
            return
        if self.must_search():
            await self.search()
        for group in list(self.groups.values()):
            if not await self.look(group):
                self.groups.pop(group.name, None)
                self.sought_at = float("-inf")

    # Finding groups

    def endpoints(self):
        presences = self.gateway.directory.presences.by_name.values()
        return [
            each.endpoint for each in presences if each.endpoint.service == self.service
        ]

    def must_search(self):
        known = sum(len(group.addresses) for group in self.groups.values())
        if known == len(self.endpoints()) and known:
            return False
        return self.loop.time() - self.sought_at >= SEARCH_SECONDS

    async def search(self):
        """Ask all endpoints to which groups they belong."""
        self.sought_at = self.loop.time()
        addresses = [(each.host, each.port) for each in self.endpoints()]
        reports = await asyncio.gather(
            *(self.engines.read_report(address) for address in addresses)
        )
        found = {}
        for address, report in zip(addresses, reports, strict=True):
            if report is not None and report.is_open:
                members = found.setdefault((report.group, report.epoch), {})
                members[report.rank] = (address, report)
        for (name, epoch), members in found.items():
            known = self.groups.get(name)
            if known is None or known.epoch != epoch:
                await self.take_group(name, epoch, members)

    async def take_group(self, name, epoch, members):
        """Take a group all of whose ranks were found."""
        _, first = next(iter(members.values()))
        if set(members) != set(range(first.ranks)):
            extra = {"group": name, "ranks": len(members), "of": first.ranks}
            logger.info("group not whole", extra=extra)
            return
        addresses = {rank: address for rank, (address, _) in members.items()}
        held = await self.read_held(addresses, first)
        if held is None:
            return
        reports = {rank: report for rank, (_, report) in members.items()}
        version = max(newest_version(report) for report in reports.values())
        group = Group(name, epoch, addresses, held, version, Demand())
        self.groups[name] = group
        extra = {"group": name, "epoch": epoch, "ranks": len(members)}
        logger.info("group found", extra={**extra, "map": first.map_version})

    async def read_held(self, addresses, report):
        """Return the map in force; None when a rank does not tell."""
        profile = self.experts
        if report.map_version == 0:
            return even.initial_map(profile.experts, report.ranks, profile.layers)
        ranks = range(report.ranks)
        maps = await asyncio.gather(
            *(self.engines.read_map(addresses[rank]) for rank in ranks)
        )
        if any(each is None or each.version != report.map_version for each in maps):
            return None
        return [
            [set(maps[rank].held[layer]) for rank in ranks]
            for layer in range(profile.layers)
        ]

    # Watching

    async def look(self, group):
        """Look at one group; False when it must be found anew."""
        report = await self.engines.read_report(group.addresses[HOLDING_RANK])
        if report is None:
            # The engine may be silent for a moment; the group is still the same.
            return True
        if report.epoch != group.epoch or not report.is_open:
            logger.info("group began anew", extra={"group": group.name})
            return False
        if report.held_step is not None:
            return await self.watch_hold(group, report)
        group.held_step = None
        if report.step == group.seen_step:
            # An idle group makes no passes: nothing is in demand, and reads are dear.
            return True
        group.seen_step = report.step
        if group.demand.last is None:
            await self.restart_demand(group)
            return True
        group.looks += 1
        if group.looks % LOOKS_PER_READ:
            return True
        counts = await self.read_counts(group)
        if counts is not None and group.demand.observe(counts, self.experts.layers):
            return await self.improve(group, group.demand.mean)
        await self.sample_next(group)
        return True

    async def read_counts(self, group):
        """Return the sampled rank's counts; None when it gives no usable answer."""
        counts = await self.engines.read_counts(group.addresses[group.sampled])
        if counts is None or counts.epoch != group.epoch:
            return None
        return counts.counts

    async def sample_next(self, group):
        """Go on with the counts of the next rank.

        A rank whose zone is out of service gets no requests, and its counts stand
        still. Demand would seem never to move, and the map would stay as it is.
        """
        group.sampled = (group.sampled + 1) % len(group.addresses)
        await self.restart_demand(group)

    async def watch_hold(self, group, report):
        """Settle a hold that its process has left behind."""
        if group.held_step != report.held_step:
            group.held_step = report.held_step
            group.held_since = self.loop.time()
            return True
        if self.loop.time() - group.held_since < LEFT_SECONDS:
            return True
        ranks = sorted(group.addresses)
        reports = await asyncio.gather(
            *(self.engines.read_report(group.addresses[rank]) for rank in ranks)
        )
        if any(each is None or each.epoch != group.epoch for each in reports):
            return False
        by_rank = dict(zip(ranks, reports, strict=True))
        held = await self.read_held(group.addresses, by_rank[HOLDING_RANK])
        if held is not None:
            await settle(self.engines, group.addresses, by_rank, as_lists(held))
        return False

    # Changing

    async def improve(self, group, loads):
        """Switch to a better map if one is worth its copies; False on a new epoch."""
        now = even.skew(group.held, loads)
        if now < LEAST_IMPROVEMENT:
            return True
        planned = await self.plan(group, loads)
        then = even.skew(planned, loads)
        if now / then < LEAST_IMPROVEMENT:
            return True
        change = self.build_change(group, planned)
        extra = {
            "group": group.name,
            "version": change.version,
            "skew_before": round(now, 3),
            "skew_after": round(then, 3),
            "copy_seconds": round(change.copy_seconds, 3),
        }
        logger.info("map change begun", extra=extra)
        began = self.loop.time()
        switch = Switch(self.engines, group.addresses, group.epoch, change)
        result = await switch.run()
        seconds = round(self.loop.time() - began, 3)
        extra = {**extra, "result": result.value, "seconds": seconds}
        self.gateway.metrics.map_changes.labels(result.value).inc()
        logger.info("map change ended", extra={**extra, "step": switch.step})
        group.version = switch.void_version
        if result is SwitchResult.SWITCHED:
            group.held = planned
        if result is SwitchResult.EPOCH_ENDED:
            return False
        await self.restart_demand(group)
        return True

    async def restart_demand(self, group):
        """Read counts to begin from; the next look reads those that tell the demand.

        What was in demand before the group was down, or while experts were copied, has
        mostly moved on since.
        """
        group.demand.restart()
        group.looks = LOOKS_PER_READ - 1
        counts = await self.read_counts(group)
        if counts is not None:
            group.demand.observe(counts, self.experts.layers)

    async def plan(self, group, loads):
        """Return a mended map; other tasks run in between."""
        profile = self.experts
        limits = even.MapLimits(profile.places, min(SPARE, profile.spare))
        planned = []
        for held, layer_loads in zip(group.held, loads, strict=True):
            mender = even.LayerMender(held, layer_loads, limits)
            while mender.run_some(STEPS_PER_TURN):
                await asyncio.sleep(0)
            planned.append(mender.held)
        return planned

    def build_change(self, group, planned):
        block = group.version // VERSION_BLOCK + 1
        place = self.random.randrange(VERSION_BLOCK - 1)
        version = block * VERSION_BLOCK + place
        before = group.held
        ranks = range(len(group.addresses))
        copies = max(
            sum(
                len(new[rank] - old[rank])
                for new, old in zip(planned, before, strict=True)
            )
            for rank in ranks
        )
        seconds = copies * self.experts.copy_seconds
        return MapChange(version, as_lists(planned), as_lists(before), seconds)


def as_lists(held):
    return [[sorted(experts) for experts in layer] for layer in held]


class GroupDuty:
    """Keep all groups while this process is the one that leads."""

    __slots__ = ("engines", "gateway", "keepers", "leads")

    def __init__(self, gateway, engines):
        self.gateway = gateway
        self.engines = engines
        self.keepers = {}
        self.leads = False

    async def run(self):
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            self.judge_lead()
            if self.leads:
                for keeper in self.current_keepers():
                    await keeper.step()

    def judge_lead(self):
        leads = self.gateway.ready and self.gateway.peers.is_first()
        if leads != self.leads:
            self.leads = leads
            logger.info("group duty", extra={"leads": leads})
            for keeper in self.keepers.values():
                keeper.forget()

    def current_keepers(self):
        for service in self.gateway.configuration.table.document.services:
            if service.engine is not None and service.engine.experts is not None:
                if service.name not in self.keepers:
                    self.keepers[service.name] = GroupKeeper(
                        self.gateway, self.engines, service.name
                    )
                yield self.keepers[service.name]
