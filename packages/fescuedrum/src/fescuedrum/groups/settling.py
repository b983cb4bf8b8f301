"""Let a held pass of a group begin, with the map that is in force.

A process that changes a group's map holds one pass while it arms all ranks. If some
rank can't be armed, or if the process ends or freezes meanwhile, the change is undone
and the pass is released. A pass that stays held stops the group for ever.

Several processes may settle the same pass at the same time: one that froze and resumes,
and those that have led since. So the change is always undone, never completed by
another process. Each process releases the pass only when every rank has accepted a
newer map from it. An order to arm names an older map, so it is refused from then on,
however late it arrives, and the ranks stay unarmed whichever process releases the pass
first.

A process that has armed all ranks releases the pass without asking anybody. Its release
must not take effect while others disarm the ranks: the pass would begin with two maps.
So before it disarms a version that it has not sent itself, a process also holds the
pass at a second rank. If that is refused, the pass has begun.

A rank refuses a newer map that adds too many experts to those that it has. The map in
force adds none, so every rank accepts it. It is read back from the ranks if the process
knows another one.
"""

import asyncio
import enum
import logging

from fescuedrum.events.event import log_event
from fescuedrum.events.groups import HeldGroupSettled, HeldPassNotSettled
from fescuedrum.groups.engines import (
    DisarmMap,
    HoldPass,
    OrderResult,
    PrepareMap,
    RankReport,
    ReleasePass,
)
from fescuedrum.groups.orders import ExpertMap, GroupOrders

logger = logging.getLogger(__name__)

# Rank that holds the group's pass; it must be the same in all processes.
HOLDING_RANK = 0
# Rank at which a process also holds the pass that it settles for another one.
GUARD_RANK = 1
# Pause between rounds of orders that are repeated until they succeed. Restarted ranks
# refuse orders at once, but their reports show the new epoch a fifth of a second later.
# Without a pause, thousands of orders would be sent meanwhile.
RETRY_ROUND_SECONDS = 0.25
# Increase of the version after a rank has refused a newer map. It doubles with each
# round, so that no version that another process has sent is out of reach.
FIRST_VERSION_STEP = 1000
# Time after which the pass is left to the next attempt of any process.
SETTLE_SECONDS = 4.0


class SwitchResult(enum.StrEnum):
    """Enumerate the results of a change."""

    SWITCHED = "switched"
    # The old map is in force at all ranks.
    ABANDONED = "abandoned"
    # The group was restarted and has lost the state of the change.
    EPOCH_ENDED = "epoch-ended"
    # The pass may still be held.
    UNSETTLED = "unsettled"


class PassSettlement:
    """Undo a change of a group's map and release the pass that is held for it.

    own_version is the version that this process has ordered to be armed, or None.
    held_at lists the ranks at which the pass may be held.
    """

    __slots__ = (
        "deadline",
        "expert_map",
        "held_at",
        "highest_version",
        "is_guarded",
        "loop",
        "map_version",
        "orders",
        "own_version",
        "reports",
        "step",
        "version_step",
    )

    def __init__(
        self,
        orders: GroupOrders,
        step: int,
        *,
        expert_map: ExpertMap,
        map_version: int,
        highest_version: int,
        own_version: int | None = None,
    ) -> None:
        self.orders = orders
        self.step = step
        # The map in force as far as known, and its version.
        self.expert_map = expert_map
        self.map_version = map_version
        # Highest version sent so far; ranks refuse a version that is not higher than
        # all earlier ones.
        self.highest_version = highest_version
        self.own_version = own_version
        self.held_at = {HOLDING_RANK}
        # Whether no other process can release the pass alone.
        self.is_guarded = len(orders.addresses) == 1
        self.version_step = FIRST_VERSION_STEP
        # Latest report of each rank; empty until reports are read.
        self.reports: dict[int, RankReport] = {}
        self.loop = asyncio.get_running_loop()
        self.deadline = self.loop.time() + SETTLE_SECONDS

    async def undo(self) -> SwitchResult:
        """Disarm all ranks for good, then release the pass; return the result.

        All ranks have to accept the same replacement. A change that another process has
        begun meanwhile would otherwise be undone at some of them only.
        """
        while True:
            replacement = PrepareMap(self.highest_version, self.expert_map)
            disarmed = await asyncio.gather(
                *(self.disarm(rank, replacement) for rank in self.orders.ranks)
            )
            if all(disarmed):
                return await self.release(SwitchResult.ABANDONED)
            await asyncio.sleep(RETRY_ROUND_SECONDS)
            result = await self.read_state() or self.check_time(disarmed.count(False))
            if result is not None:
                return result
            await self.follow_state()

    async def release(self, result: SwitchResult) -> SwitchResult:
        """Let the held pass begin; return result unless that is not certain.

        The holding rank comes last: other processes look there for a held pass.
        """
        for rank in sorted(self.held_at, reverse=True):
            order = ReleasePass(self.step)
            while await self.orders.send(rank, order) is not OrderResult.ACCEPTED:
                await asyncio.sleep(RETRY_ROUND_SECONDS)
                other_result = await self.read_state() or self.check_time(1)
                if other_result is SwitchResult.ABANDONED:
                    # The pass has begun.
                    return result
                if other_result is not None:
                    return other_result
        return result

    async def guard(self) -> bool:
        """Hold the pass at a second rank too; return whether it is certainly held."""
        if self.is_guarded:
            return True
        # An order without an answer may have been carried out.
        self.held_at.add(GUARD_RANK)
        held = await self.orders.send(GUARD_RANK, HoldPass(self.step))
        if held is OrderResult.REFUSED:
            self.held_at.remove(GUARD_RANK)
        self.is_guarded = held is OrderResult.ACCEPTED
        return self.is_guarded

    # Disarming

    async def disarm(self, rank: int, replacement: PrepareMap) -> bool:
        """Disarm a rank for good; return whether that is certain.

        An unanswered order to arm may still be carried out, even if a repeated one was
        accepted or refused. So the rank is also ordered to prepare a replacement for
        the version that such an order names.
        """
        for version in self.versions_to_disarm(rank):
            disarmed = await self.orders.send(rank, DisarmMap(version))
            if disarmed is not OrderResult.ACCEPTED:
                return False
        return await self.orders.send(rank, replacement) is OrderResult.ACCEPTED

    def versions_to_disarm(self, rank: int) -> set[int]:
        """Return the versions that a rank may be armed with.

        Other processes' versions are left armed unless the pass is also held at the
        second rank. The version in use is left out, as that order is always refused.
        """
        versions = {self.own_version}
        report = self.reports.get(rank)
        if report is not None:
            if self.is_guarded:
                versions |= {report.armed_version, report.prepared_version}
            versions.discard(report.map_version)
        return {version for version in versions if version is not None}

    # State of the group

    async def read_state(self) -> SwitchResult | None:
        """Read the reports of all ranks; return the result if nothing is left to do."""
        self.reports = await self.orders.read_reports()
        epochs = {report.epoch for report in self.reports.values()}
        if epochs - {self.orders.epoch}:
            return SwitchResult.EPOCH_ENDED
        if any(report.step >= self.step for report in self.reports.values()):
            # Another process has released the pass, and orders to arm for a pass that
            # has begun are refused.
            return SwitchResult.ABANDONED
        return None

    def check_time(self, ranks: int) -> SwitchResult | None:
        """Return UNSETTLED, and log it, if the time for settling is over."""
        if self.loop.time() < self.deadline:
            return None
        log_event(logger, HeldPassNotSettled(self.step, ranks))
        return SwitchResult.UNSETTLED

    async def follow_state(self) -> None:
        """Prepare the next round after some ranks have refused this one."""
        reports = self.reports.values()
        newest = max(map(newest_version, reports), default=0)
        self.highest_version = max(self.highest_version, newest) + self.version_step
        self.version_step *= 2
        in_force = {report.map_version for report in reports}
        if in_force and in_force != {self.map_version}:
            version = max(in_force)
            expert_map = await self.orders.read_map(version)
            if expert_map is not None:
                self.expert_map, self.map_version = expert_map, version
        armed = {report.armed_version for report in reports}
        if armed - {None, self.own_version}:
            await self.guard()


async def settle_held_group(
    orders: GroupOrders, reports: dict[int, RankReport], expert_map: ExpertMap
) -> SwitchResult:
    """Release a pass that another process has left held.

    A process that ends or freezes between holding and releasing a pass leaves the group
    stopped. reports are those of all ranks, and expert_map is the map in force.
    """
    holding_ranks = [
        rank for rank, report in reports.items() if report.held_step is not None
    ]
    step = min(reports[rank].held_step for rank in holding_ranks)
    log_event(logger, HeldGroupSettled(step))
    settlement = PassSettlement(
        orders,
        step,
        expert_map=expert_map,
        map_version=reports[HOLDING_RANK].map_version,
        highest_version=max(map(newest_version, reports.values())) + 1,
    )
    settlement.reports = reports
    if await settlement.guard():
        return await settlement.undo()
    # The pass has begun, or it is not certain that it is held at the second rank.
    settlement.held_at.discard(HOLDING_RANK)
    return await settlement.release(SwitchResult.UNSETTLED)


def newest_version(report: RankReport) -> int:
    """Return the highest version in a rank's report."""
    versions = (report.map_version, report.prepared_version, report.armed_version)
    return max(version for version in versions if version is not None)
