"""Change a group's expert map so that every pass has one map on all ranks.

Each rank is armed by an order of its own, and any of these may be lost, refused, or
carried out seconds later. A pass that began with some ranks armed would run on two
maps. So the pass of the switch is first held at one rank, and released only when every
rank has said that it is armed, or when none is any longer. Holding also keeps two
processes from changing one group at once: a rank holds one pass at a time.

An order that got no answer may still be carried out late. A late arming is refused
once its pass has begun. Until then it is made void before the pass is released: the
rank is given a newer map to prepare, which takes the place of the one that the late
order names. Every order names the group's epoch, so none outlives a restart.
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

# Rank whose hold guards the group; all processes must take the same one.
HOLDING_RANK = 0
# Passes between the last one known and the one of the switch, where their length is
# not known: a report of a fifth of a second ago is four calm passes old.
MAX_STEPS_AHEAD = 6
# The same at the least: the pass that is under way can't be held.
MIN_STEPS_AHEAD = 2
# Tries of an order that gets no answer: when a third are lost, one change of a dozen
# ranks in a hundred then fails for it.
ORDER_ATTEMPTS = 8
# Tries of a hold whose pass had begun already.
HOLD_ATTEMPTS = 4
# Pause before an order is tried again.
RETRY_SECONDS = 0.02
# Pause between rounds of orders that must succeed sooner or later. Ranks that began
# anew refuse at once, and their reports show it a fifth of a second later; without a
# pause thousands of orders are given in that time.
RETRY_ROUND_SECONDS = 0.25
# How much higher the version of a map is that is given after a refused one.
VOID_VERSION_STEP = 1000
# Pause before a rank that still copies is armed again.
ARM_RETRY_SECONDS = 0.05
# Beyond the computed time of the copies, a rank gets this long to finish them.
COPY_SLACK_SECONDS = 0.5


class SwitchResult(enum.StrEnum):
    """Say what became of a change."""

    SWITCHED = "switched"
    # The old map is in force at all ranks.
    ABANDONED = "abandoned"
    # The group began anew: nothing of before holds.
    EPOCH_ENDED = "epoch-ended"


@dataclass(slots=True, frozen=True)
class MapChange:
    """Hold a new map and what it replaces, as held[layer][rank]."""

    version: int
    held: list[list[list[int]]]
    previous: list[list[list[int]]]
    copy_seconds: float
    # Passes between the last one known and the first one with the new map.
    steps_ahead: int = MAX_STEPS_AHEAD


def steps_ahead(report_lag, pass_seconds):
    """Return how many passes to hold ahead of the last one that a report tells of.

    Both are in seconds; pass_seconds is None when unknown. Each pass more is one more
    with the old map, and passes are long just then. One fewer than have begun only
    costs another order: the hold of a pass that has begun is refused.
    """
    if pass_seconds is None:
        return MAX_STEPS_AHEAD
    begun = math.ceil(report_lag / pass_seconds)
    return min(max(begun + 1, MIN_STEPS_AHEAD), MAX_STEPS_AHEAD)


class MapSwitch:
    """Carry out one change of one group; addresses are by rank."""

    __slots__ = (
        "addresses",
        "change",
        "engines",
        "epoch",
        "loop",
        "step",
        "void_version",
    )

    def __init__(self, engines, addresses, epoch, change):
        self.engines = engines
        self.addresses = addresses
        self.epoch = epoch
        self.change = change
        self.loop = asyncio.get_running_loop()
        self.step = 0
        # Highest version given so far; ranks refuse one that isn't higher than all.
        self.void_version = change.version + 1

    async def run(self):
        """Prepare, hold, arm and release; return the SwitchResult."""
        prepared = await self.give_all(
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
        """Give an order until it is answered, or TRIES times."""
        for attempt in range(ORDER_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_SECONDS)
            result = await self.engines.send_order(
                self.addresses[rank], self.epoch, order
            )
            if result is not OrderResult.UNANSWERED:
                return result
        return OrderResult.UNANSWERED

    async def give_all(self, order):
        """Give an order to all ranks; return the results by rank."""
        ranks = sorted(self.addresses)
        results = await asyncio.gather(
            *(self.send_order(rank, order) for rank in ranks)
        )
        return dict(zip(ranks, results, strict=True))

    # Holding

    async def hold_pass(self):
        """Hold a pass that is still to come; tell whether that is certain."""
        for _ in range(HOLD_ATTEMPTS):
            report = await self.engines.read_report(self.addresses[HOLDING_RANK])
            if report is None or report.epoch != self.epoch:
                return False
            self.step = max(report.step, self.step) + self.change.steps_ahead
            match await self.send_order(HOLDING_RANK, HoldPass(self.step)):
                case OrderResult.ACCEPTED:
                    return True
                case OrderResult.UNANSWERED:
                    # It may hold, or will: let it go lest the group stands still.
                    await self.release_pass(SwitchResult.ABANDONED)
                    return False
        return False

    async def release_pass(self, result):
        """Let the held pass begin; return result, or that the epoch ended.

        The group stands still until then, so this is tried for as long as it takes.
        """
        while True:
            given = await self.send_order(HOLDING_RANK, ReleasePass(self.step))
            if given is OrderResult.ACCEPTED:
                return result
            if await self.has_epoch_ended():
                return SwitchResult.EPOCH_ENDED
            await asyncio.sleep(RETRY_ROUND_SECONDS)

    async def has_epoch_ended(self):
        """Tell whether any rank says that the group began anew."""
        reports = await asyncio.gather(
            *(self.engines.read_report(each) for each in self.addresses.values())
        )
        return any(each is not None and each.epoch != self.epoch for each in reports)

    # Arming

    async def arm_all(self):
        ranks = sorted(self.addresses)
        results = await asyncio.gather(*(self.arm(rank) for rank in ranks))
        return dict(zip(ranks, results, strict=True))

    async def arm(self, rank):
        """Arm one rank; its copies may need a little longer than computed."""
        latest = self.loop.time() + COPY_SLACK_SECONDS
        order = ArmMap(self.change.version, self.step)
        while True:
            result = await self.send_order(rank, order)
            if result is not OrderResult.REFUSED or self.loop.time() >= latest:
                return result
            await asyncio.sleep(ARM_RETRY_SECONDS)

    async def abandon(self, armed):
        """Take all armings back before the pass may begin."""
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
            # A rank that was given a higher version by another process refuses ours.
            self.void_version += VOID_VERSION_STEP
            await asyncio.sleep(RETRY_ROUND_SECONDS)

    def version_to_disarm(self, rank):
        """Return the version that a rank may be armed with; None for none."""
        return self.change.version

    async def disarm(self, rank):
        """Make sure that a rank isn't armed and won't be; tell whether it is so.

        An arming that got no answer may come yet, also where a second one was answered
        or refused: every rank is made to forget the version that it names.
        """
        version = self.version_to_disarm(rank)
        if version is not None:
            disarmed = await self.send_order(rank, DisarmMap(version))
            if disarmed is not OrderResult.ACCEPTED:
                return False
        void = PrepareMap(self.void_version, self.change.previous)
        return await self.send_order(rank, void) is OrderResult.ACCEPTED


class AbandonedSwitch(MapSwitch):
    """Take over a change that another process has left halfway."""

    __slots__ = ("reports",)

    def __init__(self, engines, addresses, reports, held):
        newest = max(newest_version(report) for report in reports.values())
        first = reports[HOLDING_RANK]
        change = MapChange(newest, held, held, 0.0)
        super().__init__(engines, addresses, first.epoch, change)
        self.step = first.held_step
        self.reports = reports

    def version_to_disarm(self, rank):
        """Return what the rank has prepared.

        The version in use can't be disarmed: the order would be refused for ever, and
        the group stand still as long.
        """
        report = self.reports[rank]
        return report.armed_version or report.prepared_version


async def recover_held_group(engines, addresses, reports, held):
    """Release a group that was left held; tell whether it goes on.

    A process that dies between holding and releasing leaves the group standing. Where
    every rank is armed the switch is certain and the pass may begin. Else all armings
    are taken back, and what orders under way could still arm is made void. held is the
    map in force.
    """
    first = reports[HOLDING_RANK]
    log_event(logger, HeldGroupSettled(first.held_step))
    switch = AbandonedSwitch(engines, addresses, reports, held)
    if all(report.armed_version is not None for report in reports.values()):
        return await switch.release_pass(SwitchResult.SWITCHED)
    return await switch.abandon({})


def newest_version(report):
    """Return the highest version that a rank tells of."""
    told = (report.map_version, report.prepared_version, report.armed_version)
    return max(version for version in told if version is not None)


def all_accepted(results):
    return all(result is OrderResult.ACCEPTED for result in results.values())
