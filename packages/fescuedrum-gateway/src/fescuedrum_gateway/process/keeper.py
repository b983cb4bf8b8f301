"""Keep the expert maps of a service's groups balanced as demand shifts."""

import asyncio
import logging

from fescuedrum.decisions.experts import even
from fescuedrum.decisions.experts.worth import build_map_limits, min_improvement
from fescuedrum.events.event import log_event
from fescuedrum.events.groups import (
    GroupBeganAnew,
    GroupHasOtherMap,
    GroupStandsStill,
    GroupStateOutdated,
    MapChangeBegun,
    MapChangeEnded,
    StreamsSlowedDown,
)
from fescuedrum.groups.orders import GroupOrders
from fescuedrum.groups.settling import HOLDING_RANK, SwitchResult, settle_held_group
from fescuedrum.groups.switching import MapChange, MapSwitch, steps_ahead
from fescuedrum_gateway.process.demand import DemandReader
from fescuedrum_gateway.process.groups import STAND_STILL_SECONDS, GroupFinder

logger = logging.getLogger(__name__)

# Time between reads of counts while the timing of streams would show a shift of demand.
# Passes that are already slow when a process becomes the leader are used as the
# baseline; the next read detects that the map does not suit the demand.
READ_INTERVAL_SECONDS = 2.0
# Time between reads while too few streams pass through this process to measure passes;
# a shift is then detected about as late as with two reads half a second apart.
READ_INTERVAL_WITHOUT_STREAMS_SECONDS = 0.75
# Time after a read in which slowdowns are ignored: demand was just measured, and the
# passes that show a slowdown span up to 0.2 s.
SLOWDOWN_HOLDOFF_SECONDS = 0.4
# Time after which a held pass counts as abandoned by its process; a switch takes a
# fraction of it.
ABANDONED_HOLD_SECONDS = 0.5
# Longest time between two searches of a group that stands still; it grows meanwhile.
MAX_SEARCH_INTERVAL_SECONDS = 60.0
# Longest time since a group's last report at which its map may be changed. Planning and
# measuring take half a second; a process that was suspended exceeds it.
MAX_REPORT_AGE_SECONDS = 2.0
# Length of a pass at low load, used if no streams pass through this process.
DEFAULT_PASS_SECONDS = 0.05
# Size of a block of versions. A block contains the version of one change and the one
# that replaces it; a random offset distinguishes processes that use the same block. A
# rank that two processes arm with the same version could switch for either of them.
VERSION_BLOCK_SIZE = 100_000
# Rebalancing steps between yields to other tasks; a step takes about 1 ms.
STEPS_PER_YIELD = 4


class GroupKeeper:
    """Keep the maps of one service's groups balanced while this process is the leader.

    timer_of(group's name) returns the PassTimer that measures the group's passes from
    its streams through this process.
    """

    __slots__ = (
        "engines",
        "finder",
        "loop",
        "metrics",
        "profile",
        "random",
        "reader",
        "timer_of",
    )

    def __init__(self, engines, finder, profile, timer_of, metrics, random):
        self.engines = engines
        self.finder = finder
        self.profile = profile
        self.timer_of = timer_of
        self.metrics = metrics
        self.random = random
        self.reader = DemandReader(engines, profile)
        self.loop = asyncio.get_running_loop()

    def reset(self):
        """Forget all groups, because another process may lead and change their maps."""
        self.finder.reset()

    async def check_groups(self):
        """Check each group once, and change its map if that is worthwhile."""
        if self.finder.needs_search():
            await self.finder.search(self.profile)
        for group in list(self.finder.groups.values()):
            if not await self.check_group(group):
                self.finder.drop(group)

    async def check_slowdown(self):
        """Measure the demand of the groups again whose streams have slowed down."""
        now = self.loop.time()
        slow = [
            group
            for group in self.finder.groups.values()
            if self.timer_of(group.name).has_slowed_down(now)
        ]
        for group in slow:
            is_due = now - group.sample.read_at >= SLOWDOWN_HOLDOFF_SECONDS
            if is_due and group.held_step is None:
                log_event(logger, StreamsSlowedDown(group.name))
                if not await self.remeasure(group):
                    self.finder.drop(group)

    # Monitoring

    async def check_group(self, group):
        """Check one group; return False if it must be searched again."""
        report = await self.engines.read_report(group.addresses[HOLDING_RANK])
        if report is None:
            # The engine may fail to answer for a moment; the group is still the same.
            return True
        now = group.reported_at = self.loop.time()
        if report.epoch != group.epoch or not report.is_open:
            log_event(logger, GroupBeganAnew(group.name))
            return False
        if report.held_step is not None:
            return await self.recover_abandoned_hold(group, report)
        group.held_step = None
        if group.has_different_map(report):
            # Plans based on the previous map would always be refused, because they
            # add more new experts to ranks than these accept.
            log_event(logger, GroupHasOtherMap(group.name, report.map_version))
            return False
        if report.step == group.last_seen_step:
            # An idle group makes no passes; it has no demand, and reads are expensive.
            return await self.check_stand_still(group)
        group.last_seen_step = report.step
        group.last_pass_at = now
        group.next_search_at = now + STAND_STILL_SECONDS
        return await self.update_demand(group)

    async def check_stand_still(self, group):
        """Look from time to time for a pass held at any rank if a group stands still.

        The holding rank shows most holds, but a process that ends while it settles a
        hold may leave one at another rank, and an order to hold may be carried out
        late. Return False if the group must be searched again.
        """
        now = self.loop.time()
        if now < group.next_search_at:
            return True
        still_for = now - group.last_pass_at
        group.next_search_at = now + min(still_for, MAX_SEARCH_INTERVAL_SECONDS)
        orders = GroupOrders(self.engines, group.addresses, group.epoch)
        reports = await orders.read_reports()
        held = sum(report.held_step is not None for report in reports.values())
        log_event(logger, GroupStandsStill(group.name, group.last_seen_step, held))
        return await self.settle_hold(group, reports) if held else True

    async def update_demand(self, group):
        """Read counts if due, and improve the map if that is worthwhile.

        Return False if the group must be searched again.
        """
        if group.sample.demand.mean_shares is None:
            return await self.remeasure(group)
        now = self.loop.time()
        if now - group.sample.read_at < self.read_interval(group, now):
            return True
        is_updated = await self.reader.read(group)
        group.sample.has_unexplained_slowdown = False
        if not is_updated or group.sample.demand.has_shifted:
            # Demand shifted within the interval, so the counts mix old and new demand.
            return await self.remeasure(group)
        return await self.improve(group)

    def read_interval(self, group, now):
        """Return the time between two reads of counts, in seconds."""
        if (
            self.timer_of(group.name).has_enough_events(now)
            and not group.sample.has_unexplained_slowdown
        ):
            return READ_INTERVAL_SECONDS
        return READ_INTERVAL_WITHOUT_STREAMS_SECONDS

    async def remeasure(self, group):
        """Measure the demand again and improve the map if that is worthwhile.

        Return False if the group must be searched again.
        """
        if not await self.reader.remeasure(group):
            return True
        planned = await self.plan_improvement(group)
        if planned is None:
            # The map suits the demand, so the length of passes is due to load. But
            # demand may have shifted while it was measured.
            self.timer_of(group.name).set_baseline(self.loop.time())
            group.sample.has_unexplained_slowdown = True
            return True
        return await self.switch_map(group, planned)

    async def recover_abandoned_hold(self, group, report):
        """Recover a group whose pass another process has held and not released.

        Return False if the group must be searched again.
        """
        if group.held_step != report.held_step:
            group.held_step = report.held_step
            group.held_since = self.loop.time()
            return True
        if self.loop.time() - group.held_since < ABANDONED_HOLD_SECONDS:
            return True
        orders = GroupOrders(self.engines, group.addresses, group.epoch)
        return await self.settle_hold(group, await orders.read_reports())

    async def settle_hold(self, group, reports):
        """Release the pass that some ranks hold; the group must be searched again.

        reports are those of the ranks that responded. Return False.
        """
        epochs = {report.epoch for report in reports.values()}
        if len(reports) < group.ranks or epochs != {group.epoch}:
            return False
        if all(report.held_step is None for report in reports.values()):
            return False
        expert_map = await self.finder.read_map_in_force(
            group.addresses, reports[HOLDING_RANK], self.profile
        )
        if expert_map is not None:
            orders = GroupOrders(self.engines, group.addresses, group.epoch)
            await settle_held_group(orders, reports, to_sorted_lists(expert_map))
        return False

    # Changing

    async def improve(self, group):
        """Switch to a better map if there is one.

        Return False if the group must be searched again.
        """
        planned = await self.plan_improvement(group)
        return planned is None or await self.switch_map(group, planned)

    async def plan_improvement(self, group):
        """Return a map that is worth its copies, or None if there is none."""
        loads = group.sample.demand.mean_shares
        min_ratio = min_improvement(self.profile)
        current_skew = even.skew(group.expert_map, loads)
        if current_skew < min_ratio:
            return None
        planned = await self.plan_map(group, loads)
        return (
            planned if current_skew / even.skew(planned, loads) >= min_ratio else None
        )

    async def plan_map(self, group, loads):
        """Return a rebalanced map; yields to other tasks between steps."""
        limits = build_map_limits(self.profile, group.ranks)
        rebalancer = even.MapRebalancer(group.expert_map, loads, limits)
        while rebalancer.run_steps(STEPS_PER_YIELD):
            await asyncio.sleep(0)
        return rebalancer.held

    async def switch_map(self, group, planned):
        """Put a planned map in force; return False if the group must be searched again.

        The change is abandoned if ranks refuse its orders, because another process may
        have changed the map or be changing it.
        """
        age = self.loop.time() - group.reported_at
        if age > MAX_REPORT_AGE_SECONDS:
            log_event(logger, GroupStateOutdated(group.name, round(age, 3)))
            return False
        pass_seconds = (
            self.timer_of(group.name).current_pass_seconds(self.loop.time())
            or DEFAULT_PASS_SECONDS
        )
        change = self.build_change(group, planned, pass_seconds)
        result, step = await self.run_change(group, change, planned)
        if result is not SwitchResult.SWITCHED:
            return False
        group.expert_map = planned
        group.map_version = change.version
        group.map_step = step
        self.timer_of(group.name).ignore_events_until(
            self.loop.time() + change.steps_ahead * pass_seconds
        )
        return True

    async def run_change(self, group, change, planned):
        """Carry out and log a change; return (result, pass of the switch)."""
        loads = group.sample.demand.mean_shares
        begun = MapChangeBegun(
            group=group.name,
            version=change.version,
            copy_seconds=round(change.copy_seconds, 3),
            steps_ahead=change.steps_ahead,
            skew_before=round(even.skew(group.expert_map, loads), 3),
            skew_after=round(even.skew(planned, loads), 3),
        )
        log_event(logger, begun)
        began = self.loop.time()
        switch = MapSwitch(self.engines, group.addresses, group.epoch, change)
        result = await switch.run()
        group.highest_version = switch.highest_version
        group.sample.read_at = self.loop.time()
        self.log_change_ended(begun, result, switch.step, self.loop.time() - began)
        return result, switch.step

    def log_change_ended(self, begun, result, step, seconds):
        """Count and log the end of the change whose begin was logged as begun."""
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
        """Return the MapChange from a group's map to a planned one."""
        block = group.highest_version // VERSION_BLOCK_SIZE + 1
        offset = self.random.randrange(VERSION_BLOCK_SIZE - 1)
        version = block * VERSION_BLOCK_SIZE + offset
        seconds = (
            max_copies_per_rank(group.expert_map, planned) * self.profile.copy_seconds
        )
        return MapChange(
            version=version,
            held=to_sorted_lists(planned),
            previous=to_sorted_lists(group.expert_map),
            copy_seconds=seconds,
            steps_ahead=steps_ahead(self.profile.report_lag, pass_seconds),
            previous_version=group.map_version,
            previous_step=group.map_step,
        )


def build_keeper(service, engines, presences, timer_of, metrics, random):
    """Return the GroupKeeper of a service."""
    finder = GroupFinder(engines, lambda: presences.of_service(service.name))
    profile = service.engine.experts
    return GroupKeeper(engines, finder, profile, timer_of, metrics, random)


def max_copies_per_rank(before, planned):
    """Return the highest number of experts that a rank has to copy."""
    return max(
        sum(
            len(new[rank] - old[rank]) for new, old in zip(planned, before, strict=True)
        )
        for rank in range(len(before[0]))
    )


def to_sorted_lists(expert_map):
    """Return a map of sets of experts as a map of sorted lists."""
    return [[sorted(experts) for experts in layer] for layer in expert_map]
