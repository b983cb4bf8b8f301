"""Keep the ranks of model engines' groups even while demand for experts moves."""

import asyncio
import logging

from fescuedrum.decisions.experts import even
from fescuedrum.decisions.experts.worth import build_map_limits, min_improvement
from fescuedrum.events.event import log_event
from fescuedrum.events.groups import (
    GroupBeganAnew,
    GroupHasOtherMap,
    MapChangeBegun,
    MapChangeEnded,
    StreamsSlowedDown,
)
from fescuedrum.groups.switching import (
    HOLDING_RANK,
    MapChange,
    MapSwitch,
    SwitchResult,
    recover_held_group,
    steps_ahead,
)
from fescuedrum_gateway.process.demand import DemandReader
from fescuedrum_gateway.process.groups import GroupFinder

logger = logging.getLogger(__name__)

# Time between reads of counts while the pace of streams would show a move of demand.
# Passes that are slow already when a process begins to lead are taken for the usual
# ones; the next read finds that the map does not suit.
READ_INTERVAL_SECONDS = 2.0
# The same while too few streams pass through this process to tell the pace: a move is
# then seen about as late as by two reads half a second apart.
READ_INTERVAL_WITHOUT_STREAMS_SECONDS = 0.75
# Time after a read in which a slowdown is no new sign: the demand was just measured,
# and the passes that tell of a slowdown span up to 0.2 s.
SLOWDOWN_HOLDOFF_SECONDS = 0.4
# A hold that stands for so long has been left behind: a switch takes a fraction of it.
ABANDONED_HOLD_SECONDS = 0.5
# Length of a calm pass, where no streams pass through this process that tell it.
DEFAULT_PASS_SECONDS = 0.05
# Versions of one process's change, and of the map that voids it, lie in such a block;
# the place in the block keeps apart processes that take the same block.
VERSION_BLOCK_SIZE = 1000
# Work between two pauses for other tasks: one step of mending takes about 1 ms.
STEPS_PER_YIELD = 4


class GroupKeeper:
    """Keep the groups of one service while this process leads.

    pace tells of the service's streams that pass through this process.
    """

    __slots__ = (
        "engines",
        "finder",
        "loop",
        "metrics",
        "pass_timer",
        "profile",
        "random",
        "reader",
    )

    def __init__(self, engines, finder, profile, pass_timer, metrics, random):
        self.engines = engines
        self.finder = finder
        self.profile = profile
        self.pass_timer = pass_timer
        self.metrics = metrics
        self.random = random
        self.reader = DemandReader(engines, profile)
        self.loop = asyncio.get_running_loop()

    def reset(self):
        """Drop what is known: another process leads, and changes maps."""
        self.finder.reset()

    async def check_groups(self):
        """Look at each group once, and change what is worth it."""
        if self.finder.needs_search():
            await self.finder.search(self.profile)
        for group in list(self.finder.groups.values()):
            if not await self.check_group(group):
                self.finder.drop(group)

    async def check_slowdown(self):
        """Measure anew where streams have slowed down since the last look."""
        now = self.loop.time()
        if not self.pass_timer.has_slowed_down(now):
            return
        for group in list(self.finder.groups.values()):
            settled = now - group.sample.read_at >= SLOWDOWN_HOLDOFF_SECONDS
            if settled and group.held_step is None:
                log_event(logger, StreamsSlowedDown(group.name))
                if not await self.remeasure(group):
                    self.finder.drop(group)

    # Watching

    async def check_group(self, group):
        """Look at one group; False when it must be found anew."""
        report = await self.engines.read_report(group.addresses[HOLDING_RANK])
        if report is None:
            # The engine may be silent for a moment; the group is still the same.
            return True
        if report.epoch != group.epoch or not report.is_open:
            log_event(logger, GroupBeganAnew(group.name))
            return False
        if report.held_step is not None:
            return await self.recover_abandoned_hold(group, report)
        group.held_step = None
        if group.has_different_map(report):
            # Plans by the map that was would be refused for ever: they bring ranks
            # more new experts than these take.
            log_event(logger, GroupHasOtherMap(group.name, report.map_version))
            return False
        if report.step == group.last_seen_step:
            # An idle group makes no passes: nothing is in demand, and reads are dear.
            return True
        group.last_seen_step = report.step
        return await self.update_demand(group)

    async def update_demand(self, group):
        """Read counts where it is time to; False when the group must be found anew."""
        if group.sample.demand.mean_shares is None:
            return await self.remeasure(group)
        now = self.loop.time()
        if now - group.sample.read_at < self.read_interval(group, now):
            return True
        known = await self.reader.read(group)
        group.sample.has_unexplained_slowdown = False
        if not known or group.sample.demand.has_shifted:
            # It moved within the interval, so that this is a mixture of old and new.
            return await self.remeasure(group)
        return await self.improve(group)

    def read_interval(self, group, now):
        """Return the time between two reads of counts, in seconds."""
        if (
            self.pass_timer.has_enough_events(now)
            and not group.sample.has_unexplained_slowdown
        ):
            return READ_INTERVAL_SECONDS
        return READ_INTERVAL_WITHOUT_STREAMS_SECONDS

    async def remeasure(self, group):
        """Learn the demand anew and follow it; False when it must be found anew."""
        if not await self.reader.remeasure(group):
            return True
        planned = await self.plan_improvement(group)
        if planned is None:
            # The map suits the demand, so that passes are as long as the load makes
            # them; but demand may have moved while it was measured.
            self.pass_timer.set_baseline(self.loop.time())
            group.sample.has_unexplained_slowdown = True
            return True
        return await self.switch_map(group, planned)

    async def recover_abandoned_hold(self, group, report):
        """Settle a hold that its process has left behind."""
        if group.held_step != report.held_step:
            group.held_step = report.held_step
            group.held_since = self.loop.time()
            return True
        if self.loop.time() - group.held_since < ABANDONED_HOLD_SECONDS:
            return True
        ranks = sorted(group.addresses)
        reports = await asyncio.gather(
            *(self.engines.read_report(group.addresses[rank]) for rank in ranks)
        )
        if any(each is None or each.epoch != group.epoch for each in reports):
            return False
        by_rank = dict(zip(ranks, reports, strict=True))
        holding = by_rank[HOLDING_RANK]
        held = await self.finder.read_map_in_force(
            group.addresses, holding, self.profile
        )
        if held is not None:
            await recover_held_group(
                self.engines, group.addresses, by_rank, to_sorted_lists(held)
            )
        return False

    # Changing

    async def improve(self, group):
        """Switch to a better map if there is one.

        Return False when the group must be found anew.
        """
        planned = await self.plan_improvement(group)
        return planned is None or await self.switch_map(group, planned)

    async def plan_improvement(self, group):
        """Return a map that is worth its copies; None when there is none."""
        loads = group.sample.demand.mean_shares
        min_ratio = min_improvement(self.profile)
        now = even.skew(group.held, loads)
        if now < min_ratio:
            return None
        planned = await self.plan_map(group, loads)
        return planned if now / even.skew(planned, loads) >= min_ratio else None

    async def plan_map(self, group, loads):
        """Return a mended map; other tasks run in between."""
        limits = build_map_limits(self.profile, group.ranks)
        rebalancer = even.MapRebalancer(group.held, loads, limits)
        while rebalancer.run_steps(STEPS_PER_YIELD):
            await asyncio.sleep(0)
        return rebalancer.held

    async def switch_map(self, group, planned):
        """Put a planned map in force; False when the group must be found anew.

        A change is given up where ranks refuse its orders: another process may have
        changed the map, or is about to.
        """
        pass_seconds = (
            self.pass_timer.current_pass_seconds(self.loop.time())
            or DEFAULT_PASS_SECONDS
        )
        change = self.build_change(group, planned, pass_seconds)
        result, step = await self.run_change(group, change, planned)
        if result is not SwitchResult.SWITCHED:
            return False
        group.held = planned
        group.map_version = change.version
        group.map_step = step
        self.pass_timer.ignore_events_until(
            self.loop.time() + change.steps_ahead * pass_seconds
        )
        return True

    async def run_change(self, group, change, planned):
        """Give a change to the ranks and tell of it; return (result, its pass)."""
        loads = group.sample.demand.mean_shares
        begun = MapChangeBegun(
            group=group.name,
            version=change.version,
            copy_seconds=round(change.copy_seconds, 3),
            steps_ahead=change.steps_ahead,
            skew_before=round(even.skew(group.held, loads), 3),
            skew_after=round(even.skew(planned, loads), 3),
        )
        log_event(logger, begun)
        began = self.loop.time()
        switch = MapSwitch(self.engines, group.addresses, group.epoch, change)
        result = await switch.run()
        group.version = switch.highest_version
        group.sample.read_at = self.loop.time()
        self.log_change_ended(begun, result, switch.step, self.loop.time() - began)
        return result, switch.step

    def log_change_ended(self, begun, result, step, seconds):
        """Count and log the end of a change of which begun told."""
        self.metrics.map_changes.labels(result.value).inc()
        ended = MapChangeEnded(
            group=begun.group,
            version=begun.version,
            skew_before=begun.skew_before,
            skew_after=begun.skew_after,
            result=result.value,
            seconds=round(seconds, 3),
            step=step,
        )
        log_event(logger, ended)

    def build_change(self, group, planned, pass_seconds):
        block = group.version // VERSION_BLOCK_SIZE + 1
        place = self.random.randrange(VERSION_BLOCK_SIZE - 1)
        version = block * VERSION_BLOCK_SIZE + place
        seconds = max_copies_per_rank(group.held, planned) * self.profile.copy_seconds
        return MapChange(
            version=version,
            held=to_sorted_lists(planned),
            previous=to_sorted_lists(group.held),
            copy_seconds=seconds,
            steps_ahead=steps_ahead(self.profile.report_lag, pass_seconds),
        )


def build_keeper(service, engines, presences, pass_timer, metrics, random):
    """Return the keeper of a service's groups."""
    finder = GroupFinder(engines, lambda: presences.of_service(service.name))
    profile = service.engine.experts
    return GroupKeeper(engines, finder, profile, pass_timer, metrics, random)


def max_copies_per_rank(before, planned):
    """Return how many experts the rank with most of them has to copy."""
    return max(
        sum(
            len(new[rank] - old[rank]) for new, old in zip(planned, before, strict=True)
        )
        for rank in range(len(before[0]))
    )


def to_sorted_lists(held):
    return [[sorted(experts) for experts in layer] for layer in held]
