"""Simulate a group of engines that advance in lock-step and may lose orders."""

import asyncio
import random
from dataclasses import dataclass, field

from fescuedrum.groups.engines import (
    ArmMap,
    DisarmMap,
    HoldPass,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankMap,
    RankReport,
    ReleasePass,
)

PASS_SECONDS = 0.05
REPORT_LAG_SECONDS = 0.2
# Range of the delay of an order that is carried out late.
LATE_ORDER_DELAY_SECONDS = (0.0, 6.0)


@dataclass(slots=True)
class StandInRank:
    """Hold the state of one rank."""

    map_version: int = 0
    held: list = field(default_factory=list)
    prepared: PrepareMap | None = None
    highest_version: int = 0
    armed: ArmMap | None = None
    held_step: int | None = None


class StandInGroup:
    """Implement EngineClient for one group; an address is (host, rank).

    mixed_passes lists the passes that began with different maps at the ranks.
    """

    def __init__(
        self,
        held,
        *,
        seed=1,
        late=0.0,
        lost=0.0,
        spare=None,
        pass_seconds=PASS_SECONDS,
    ):
        self.random = random.Random(seed)
        self.ranks = [
            StandInRank(held=[layer[rank] for layer in held])
            for rank in range(len(held[0]))
        ]
        self.pass_seconds = pass_seconds
        self.step = 0
        self.epoch = 1
        # Shares of orders that are carried out late or never; neither gets a response.
        self.late = late
        self.lost = lost
        # Most new experts of a rank in a layer of an order; None for no limit.
        self.spare = spare
        self.mixed_passes = []
        self.passes_held = 0
        self.history = []
        # Expert counts of each rank; tests increase them.
        self.counts = [[0] for _ in self.ranks]
        self.tasks = []

    @property
    def addresses(self):
        return {rank: ("engine", rank) for rank in range(len(self.ranks))}

    async def run(self):
        """Begin a pass every pass_seconds unless one is held."""
        while True:
            await asyncio.sleep(self.pass_seconds)
            self.history.append((asyncio.get_running_loop().time(), self.snapshot()))
            if any(rank.held_step == self.step + 1 for rank in self.ranks):
                self.passes_held += 1
                continue
            self.begin_pass()

    def begin_pass(self):
        """Begin the next pass, and apply the maps that are armed for it."""
        self.step += 1
        for number, rank in enumerate(self.ranks):
            if rank.armed is not None and rank.armed.step == self.step:
                rank.map_version = rank.armed.version
                rank.held = [layer[number] for layer in rank.prepared.held]
                rank.armed = rank.prepared = None
        if len({rank.map_version for rank in self.ranks}) > 1:
            self.mixed_passes.append(self.step)

    def map_in_force(self):
        """Return the map in force as lists of experts[layer][rank]."""
        return [
            list(layer)
            for layer in zip(*(rank.held for rank in self.ranks), strict=True)
        ]

    def restart(self):
        """Begin a new epoch with ranks that have no state."""
        self.epoch += 1
        self.ranks = [StandInRank() for _ in self.ranks]

    # Engines

    def snapshot(self):
        """Return the current report of each rank."""
        return [self.report(number) for number in range(len(self.ranks))]

    def report(self, number):
        """Return the current report of a rank."""
        rank = self.ranks[number]
        return RankReport(
            group="g",
            epoch=self.epoch,
            rank=number,
            ranks=len(self.ranks),
            is_open=True,
            step=self.step,
            map_version=rank.map_version,
            prepared_version=None if rank.prepared is None else rank.prepared.version,
            armed_version=None if rank.armed is None else rank.armed.version,
            held_step=rank.held_step,
        )

    async def read_report(self, address):
        """Return the report of a rank of REPORT_LAG_SECONDS ago."""
        now = asyncio.get_running_loop().time()
        past = [seen for at, seen in self.history if at <= now - REPORT_LAG_SECONDS]
        return (past[-1] if past else self.snapshot())[address[1]]

    async def read_counts(self, address):
        return RankCounts(self.epoch, self.step, list(self.counts[address[1]]))

    async def read_map(self, address):
        rank = self.ranks[address[1]]
        return RankMap(self.epoch, rank.map_version, rank.held)

    async def send_order(self, address, epoch, order):
        """Carry out an order, or lose or delay it at random."""
        await asyncio.sleep(self.random.uniform(0.001, 0.004))
        fate = self.random.random()
        if fate < self.late:
            delay = self.random.uniform(*LATE_ORDER_DELAY_SECONDS)
            self.tasks.append(
                asyncio.create_task(
                    self.carry_out_late(delay, address[1], epoch, order)
                )
            )
            await asyncio.sleep(0.25)
            return OrderResult.UNANSWERED
        if fate < self.late + self.lost:
            await asyncio.sleep(0.25)
            return OrderResult.UNANSWERED
        return self.take(address[1], epoch, order)

    async def carry_out_late(self, delay, number, epoch, order):
        """Carry out an order after a delay."""
        await asyncio.sleep(delay)
        self.take(number, epoch, order)

    def take(self, number, epoch, order):
        """Carry out an order, unless it is of another epoch."""
        if epoch != self.epoch:
            return OrderResult.REFUSED
        taken = self.apply(self.ranks[number], order)
        return OrderResult.ACCEPTED if taken else OrderResult.REFUSED

    def apply(self, rank, order):
        """Carry out an order at a rank; return whether it is accepted."""
        match order:
            case PrepareMap(version) if rank.prepared == order:
                return True
            case PrepareMap(version):
                if rank.armed is not None or version <= rank.highest_version:
                    return False
                if (
                    self.spare is not None
                    and self.most_new_experts(rank, order) > self.spare
                ):
                    return False
                rank.prepared = order
                rank.highest_version = version
            case ArmMap(version, step):
                prepared = rank.prepared is not None and rank.prepared.version
                if prepared != version or step <= self.step:
                    return rank.armed == order
                rank.armed = order
            case DisarmMap(version):
                if rank.map_version == version:
                    return False
                if rank.armed is not None and rank.armed.version == version:
                    rank.armed = None
            case HoldPass(step):
                if step <= self.step or rank.held_step not in (None, step):
                    return False
                rank.held_step = step
            case ReleasePass(step):
                if rank.held_step == step:
                    rank.held_step = None
        return True

    def most_new_experts(self, rank, order):
        """Return the largest number of new experts of a rank in any layer of a map."""
        number = self.ranks.index(rank)
        return max(
            len(set(layer[number]) - set(held))
            for layer, held in zip(order.held, rank.held, strict=True)
        )
