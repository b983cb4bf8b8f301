"""Change a group's expert map so that all ranks use the same map in every pass.

Each rank is armed by a separate order, and any of these orders may be lost, refused or
carried out seconds later. A pass that began while only some ranks were armed would run
with two maps. So the pass of the switch is first held at one rank, and it is released
only when all ranks have confirmed that they are armed, or when none is armed any more
(fescuedrum.groups.settling). Holding also prevents two processes from changing the same
group at the same time, because a rank holds only one pass.

A process may freeze between any two orders and resume after others have changed the
map. It looks at a fresh report before it holds a pass, and abandons its change if
another map is in force or prepared by then.

Every order contains the group's epoch, so no order has an effect after a restart.
"""

import asyncio
import logging
import math
from dataclasses import dataclass

from fescuedrum.events.event import log_event
from fescuedrum.events.groups import MapChangeAbandoned, MapChangeOutdated
from fescuedrum.groups.engines import (
    ArmMap,
    EngineClient,
    HoldPass,
    OrderResult,
    PrepareMap,
    RankReport,
)
from fescuedrum.groups.orders import ExpertMap, GroupOrders
from fescuedrum.groups.settling import (
    GUARD_RANK,
    HOLDING_RANK,
    PassSettlement,
    SwitchResult,
)

logger = logging.getLogger(__name__)

# Passes between the last known one and the switch, if their length is unknown: a report
# lags by a fifth of a second, which is four passes at low load.
MAX_STEPS_AHEAD = 6
# Lower limit, because the pass that is under way can't be held.
MIN_STEPS_AHEAD = 2
# Attempts to hold a pass if the pass has already begun.
HOLD_ATTEMPTS = 4
# Pause before arming a rank again that is still copying.
ARM_RETRY_SECONDS = 0.05
# Time that a rank gets for its copies in addition to the computed time.
COPY_SLACK_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class MapChange:
    """Hold a new map and the previous one, each as lists of experts[layer][rank]."""

    version: int
    held: ExpertMap
    previous: ExpertMap
    copy_seconds: float
    # Passes between the last known one and the first one with the new map.
    steps_ahead: int = MAX_STEPS_AHEAD
    # Version of the previous map, and the first pass with it.
    previous_version: int = 0
    previous_step: int = 0

    def is_outdated(self, report: RankReport) -> bool:
        """Return whether a report shows a change that another process has made since.

        Reports lag, so one from before previous_step may show an earlier map.
        """
        return (
            report.held_step is not None
            or (report.prepared_version or 0) > self.version
            or (
                report.step >= self.previous_step
                and report.map_version != self.previous_version
            )
        )


def steps_ahead(report_lag: float, pass_seconds: float | None) -> int:
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

    __slots__ = ("change", "highest_version", "loop", "orders", "step")

    def __init__(
        self,
        engines: EngineClient,
        addresses: dict[int, tuple[str, int]],
        epoch: int,
        change: MapChange,
    ) -> None:
        self.orders = GroupOrders(engines, addresses, epoch)
        self.change = change
        self.loop = asyncio.get_running_loop()
        self.step = 0
        # Highest version sent so far.
        self.highest_version = change.version + 1

    async def run(self) -> SwitchResult:
        """Prepare the map, hold a pass, arm all ranks and release the pass."""
        prepared = await self.orders.send_to_all(
            PrepareMap(self.change.version, self.change.held)
        )
        if not all_accepted(prepared):
            return SwitchResult.ABANDONED
        await asyncio.sleep(self.change.copy_seconds)
        match await self.hold_pass():
            case OrderResult.REFUSED:
                return SwitchResult.ABANDONED
            case OrderResult.UNANSWERED:
                # The order may have been or may yet be carried out, and the group would
                # stop at the held pass. Another process may hold the same pass.
                return await self.undo()
        armed = await self.arm_all()
        if all_accepted(armed):
            return await self.settlement().release(SwitchResult.SWITCHED)
        results = list(armed.values())
        event = MapChangeAbandoned(
            step=self.step,
            refused=results.count(OrderResult.REFUSED),
            unanswered=results.count(OrderResult.UNANSWERED),
        )
        log_event(logger, event)
        return await self.undo()

    async def undo(self) -> SwitchResult:
        """Disarm all ranks and release the pass."""
        settlement = self.settlement()
        result = await settlement.undo()
        self.highest_version = settlement.highest_version
        return result

    def settlement(self) -> PassSettlement:
        """Return the settlement of the pass that is held for this change."""
        return PassSettlement(
            self.orders,
            self.step,
            expert_map=self.change.previous,
            map_version=self.change.previous_version,
            highest_version=self.highest_version,
            own_version=self.change.version,
        )

    async def hold_pass(self) -> OrderResult:
        """Hold a pass that has not begun; REFUSED means that none is held."""
        for _ in range(HOLD_ATTEMPTS):
            report = await self.read_state()
            if report is None:
                return OrderResult.REFUSED
            if self.change.is_outdated(report):
                event = MapChangeOutdated(self.change.version, report.map_version)
                log_event(logger, event)
                return OrderResult.REFUSED
            self.step = max(report.step, self.step) + self.change.steps_ahead
            held = await self.orders.send(HOLDING_RANK, HoldPass(self.step))
            if held is not OrderResult.REFUSED:
                return held
        return OrderResult.REFUSED

    async def read_state(self) -> RankReport | None:
        """Return the holding rank's report, or None if the group can't be changed.

        A process that settles a pass for another one holds it at a second rank.
        """
        report, guard = await asyncio.gather(
            self.orders.read_report(HOLDING_RANK),
            self.orders.read_report(min(GUARD_RANK, max(self.orders.ranks))),
        )
        if report is None or guard is None or report.epoch != self.orders.epoch:
            return None
        return report if guard.held_step is None else None

    async def arm_all(self) -> dict[int, OrderResult]:
        """Arm all ranks and return the results by rank."""
        ranks = self.orders.ranks
        results = await asyncio.gather(*(self.arm(rank) for rank in ranks))
        return dict(zip(ranks, results, strict=True))

    async def arm(self, rank: int) -> OrderResult:
        """Arm one rank, allowing COPY_SLACK_SECONDS for copies that are not ready."""
        deadline = self.loop.time() + COPY_SLACK_SECONDS
        order = ArmMap(self.change.version, self.step)
        while True:
            result = await self.orders.send(rank, order)
            if result is not OrderResult.REFUSED or self.loop.time() >= deadline:
                return result
            await asyncio.sleep(ARM_RETRY_SECONDS)


def all_accepted(results: dict[int, OrderResult]) -> bool:
    """Return whether all orders were accepted, given the results by rank."""
    return all(result is OrderResult.ACCEPTED for result in results.values())
