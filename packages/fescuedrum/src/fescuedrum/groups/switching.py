"""Change a group's expert map so that all ranks use the same map in every pass.

Each rank is armed by a separate order, and any of these orders may be lost, refused or
carried out seconds later. A pass that began while only some ranks were armed would run
with two maps. So the pass of the switch is first held at one rank, and it is released
only when all ranks have confirmed that they are armed, or when none is armed any more.
Holding also prevents two processes from changing the same group at the same time,
because a rank holds only one pass.

An order without an answer may still be carried out late. A late order to arm is refused
once its pass has begun. To invalidate it before the pass is released, the rank is
ordered to prepare a newer map, which replaces the one that the late order names. Every
order contains the group's epoch, so no order has an effect after a restart.
"""

import asyncio
import enum
import logging
import math
from dataclasses import dataclass

from fescuedrum.events.event import log_event
from fescuedrum.events.groups import HeldGroupSettled, MapChangeAbandoned
from fescuedrum.groups.engines import (
    ArmMap,
    DisarmMap,
    HoldPass,
    OrderResult,
    PrepareMap,
    ReleasePass,
)

logger = logging.getLogger(__name__)

# Rank that holds the group's pass; it must be the same in all processes.
HOLDING_RANK = 0
# Passes between the last known one and the switch, if their length is unknown: a report
# lags by a fifth of a second, which is four passes at low load.
MAX_STEPS_AHEAD = 6
# Lower limit, because the pass that is under way can't be held.
MIN_STEPS_AHEAD = 2
# Attempts for an order that gets no answer. If a third of the orders are lost, one in a
# hundred changes of a dozen ranks fails because of that.
ORDER_ATTEMPTS = 8
# Attempts to hold a pass if the pass has already begun.
HOLD_ATTEMPTS = 4
# Pause before an order is repeated.
RETRY_SECONDS = 0.02
# Pause between rounds of orders that are repeated until they succeed. Restarted ranks
# refuse orders at once, but their reports show the new epoch a fifth of a second later.
# Without a pause, thousands of orders would be sent meanwhile.
RETRY_ROUND_SECONDS = 0.25
# Increase of the version after a rank has refused a replacement map.
VERSION_RETRY_STEP = 1000
# Pause before arming a rank again that is still copying.
ARM_RETRY_SECONDS = 0.05
# Time that a rank gets for its copies in addition to the computed time.
COPY_SLACK_SECONDS = 0.5


class SwitchResult(enum.StrEnum):
    """Enumerate the results of a change."""

    SWITCHED = "switched"
    # The old map is in force at all ranks.
    ABANDONED = "abandoned"
    # The group was restarted and has lost the state of the change.
    EPOCH_ENDED = "epoch-ended"


@dataclass(slots=True, frozen=True)
class MapChange:
    """Hold a new map and the previous one, each as lists of experts[layer][rank]."""

    version: int
    held: list[list[list[int]]]
    previous: list[list[list[int]]]
    copy_seconds: float
    # Passes between the last known one and the first one with the new map.
    steps_ahead: int = MAX_STEPS_AHEAD


def steps_ahead(report_lag, pass_seconds):
    """Return how many passes after the last reported one to hold.

    Both arguments are in seconds; pass_seconds is None if unknown. Each additional pass
    runs with the old map, while passes are long. If the number is too low, holding a
    pass that has already begun is refused, which costs only another order.
    """
    if pass_seconds is None:
        return MAX_STEPS_AHEAD
    begun = math.ceil(report_lag / pass_seconds)
    return min(max(begun + 1, MIN_STEPS_AHEAD), MAX_STEPS_AHEAD)


class MapSwitch:
    """Carry out one map change of one group; addresses are keyed by rank."""

    __slots__ = (
        "addresses",
        "change",
        "engines",
        "epoch",
        "highest_version",
        "loop",
        "step",
    )

    def __init__(self, engines, addresses, epoch, change):
        self.engines = engines
        self.addresses = addresses
        self.epoch = epoch
        self.change = change
        self.loop = asyncio.get_running_loop()
        self.step = 0
        # Highest version sent so far; ranks refuse a version that is not higher than
        # all earlier ones.
        self.highest_version = change.version + 1

    async def run(self):
        """Prepare the map, hold a pass, arm all ranks and release the pass.

        Return the SwitchResult.
        """
        prepared = await self.send_order_to_all(
            PrepareMap(self.change.version, self.change.held)
        )
        if not all_accepted(prepared):
            return SwitchResult.ABANDONED
        await asyncio.sleep(self.change.copy_seconds)
        if not await self.hold_pass():
            return SwitchResult.ABANDONED
        armed = await self.arm_all()
        if all_accepted(armed):
            return await self.release_pass(SwitchResult.SWITCHED)
        return await self.abandon(armed)

    # Orders

    async def send_order(self, rank, order):
        """Send an order up to ORDER_ATTEMPTS times until it is answered."""
        for attempt in range(ORDER_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_SECONDS)
            result = await self.engines.send_order(
                self.addresses[rank], self.epoch, order
            )
            if result is not OrderResult.UNANSWERED:
                return result
        return OrderResult.UNANSWERED

    async def send_order_to_all(self, order):
        """Send an order to all ranks and return the results by rank."""
        ranks = sorted(self.addresses)
        results = await asyncio.gather(
            *(self.send_order(rank, order) for rank in ranks)
        )
        return dict(zip(ranks, results, strict=True))

    # Holding

    async def hold_pass(self):
        """Hold a pass that has not begun; return whether it is certainly held."""
        for _ in range(HOLD_ATTEMPTS):
            report = await self.engines.read_report(self.addresses[HOLDING_RANK])
            if report is None or report.epoch != self.epoch:
                return False
            self.step = max(report.step, self.step) + self.change.steps_ahead
            match await self.send_order(HOLDING_RANK, HoldPass(self.step)):
                case OrderResult.ACCEPTED:
                    return True
                case OrderResult.UNANSWERED:
                    # The order may have been or may yet be carried out, and the group
                    # would stop at the held pass.
                    await self.release_pass(SwitchResult.ABANDONED)
                    return False
        return False

    async def release_pass(self, result):
        """Let the held pass begin; return result, or EPOCH_ENDED after a restart.

        The group can't continue without the release, so it is repeated indefinitely.
        """
        while True:
            released = await self.send_order(HOLDING_RANK, ReleasePass(self.step))
            if released is OrderResult.ACCEPTED:
                return result
            if await self.has_epoch_ended():
                return SwitchResult.EPOCH_ENDED
            await asyncio.sleep(RETRY_ROUND_SECONDS)

    async def has_epoch_ended(self):
        """Return whether any rank reports another epoch."""
        reports = await asyncio.gather(
            *(self.engines.read_report(each) for each in self.addresses.values())
        )
        return any(each is not None and each.epoch != self.epoch for each in reports)

    # Arming

    async def arm_all(self):
        """Arm all ranks and return the results by rank."""
        ranks = sorted(self.addresses)
        results = await asyncio.gather(*(self.arm(rank) for rank in ranks))
        return dict(zip(ranks, results, strict=True))

    async def arm(self, rank):
        """Arm one rank, allowing COPY_SLACK_SECONDS for copies that are not ready."""
        deadline = self.loop.time() + COPY_SLACK_SECONDS
        order = ArmMap(self.change.version, self.step)
        while True:
            result = await self.send_order(rank, order)
            if result is not OrderResult.REFUSED or self.loop.time() >= deadline:
                return result
            await asyncio.sleep(ARM_RETRY_SECONDS)

    async def abandon(self, armed):
        """Disarm all ranks, then release the pass; return the SwitchResult."""
        results = list(armed.values())
        event = MapChangeAbandoned(
            step=self.step,
            refused=results.count(OrderResult.REFUSED),
            unanswered=results.count(OrderResult.UNANSWERED),
        )
        log_event(logger, event)
        waiting = sorted(self.addresses)
        while True:
            done = await asyncio.gather(*(self.disarm(rank) for rank in waiting))
            waiting = [
                rank for rank, is_done in zip(waiting, done, strict=True) if not is_done
            ]
            if not waiting:
                return await self.release_pass(SwitchResult.ABANDONED)
            if await self.has_epoch_ended():
                return SwitchResult.EPOCH_ENDED
            # Ranks refuse the version if another process has sent them a higher one.
            self.highest_version += VERSION_RETRY_STEP
            await asyncio.sleep(RETRY_ROUND_SECONDS)

    def version_to_disarm(self, rank):
        """Return the version that a rank may be armed with, or None."""
        return self.change.version

    async def disarm(self, rank):
        """Disarm a rank for good; return whether that is certain.

        An unanswered order to arm may still be carried out, even if a repeated one was
        accepted or refused. So the rank is also ordered to prepare a replacement for
        the version that such an order names.
        """
        version = self.version_to_disarm(rank)
        if version is not None:
            disarmed = await self.send_order(rank, DisarmMap(version))
            if disarmed is not OrderResult.ACCEPTED:
                return False
        replacement = PrepareMap(self.highest_version, self.change.previous)
        return await self.send_order(rank, replacement) is OrderResult.ACCEPTED


class AbandonedSwitch(MapSwitch):
    """Take over a change that another process has left unfinished."""

    __slots__ = ("reports",)

    def __init__(self, engines, addresses, reports, held):
        newest = max(newest_version(report) for report in reports.values())
        holding_report = reports[HOLDING_RANK]
        change = MapChange(newest, held, held, 0.0)
        super().__init__(engines, addresses, holding_report.epoch, change)
        self.step = holding_report.held_step
        self.reports = reports

    def version_to_disarm(self, rank):
        """Return the armed or prepared version of a rank, or None.

        The version in use can't be disarmed. That order would always be refused, and
        the group would never continue.
        """
        report = self.reports[rank]
        return report.armed_version or report.prepared_version


async def recover_held_group(engines, addresses, reports, held):
    """Release a pass that another process has left held; return the SwitchResult.

    A process that ends between holding and releasing a pass leaves the group stopped.
    If all ranks are armed, the switch is complete and the pass may begin. Otherwise all
    ranks are disarmed, and orders to arm that are still in transit are invalidated.
    held is the map in force.
    """
    holding_report = reports[HOLDING_RANK]
    log_event(logger, HeldGroupSettled(holding_report.held_step))
    switch = AbandonedSwitch(engines, addresses, reports, held)
    if all(report.armed_version is not None for report in reports.values()):
        return await switch.release_pass(SwitchResult.SWITCHED)
    return await switch.abandon({})


def newest_version(report):
    """Return the highest version in a rank's report."""
    versions = (report.map_version, report.prepared_version, report.armed_version)
    return max(version for version in versions if version is not None)


def all_accepted(results):
    """Return whether all orders were accepted, given the results by rank."""
    return all(result is OrderResult.ACCEPTED for result in results.values())
