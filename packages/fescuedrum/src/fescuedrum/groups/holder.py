"""Lead a change of the expert map under the group's lease.

The holder orders every rank to load, and when all have, asks the arbiter to arm and
decide. It binds nothing itself: it may die or pause at any point, and its successor
asks the arbiter what became of the change. A holder that wakes after its lease lapsed
is refused by its fencing number.
"""

import enum

from fescuedrum.groups.messages import (
    DecisionRequest,
    Inquire,
    Load,
    Loaded,
    Outcome,
    Refused,
    ToArbiter,
    ToRank,
    change_number,
)

# A rank that has not loaded by this much over the expected time ends the change.
LOAD_PATIENCE = 3.0
LEAST_LOAD_SECONDS = 10.0


class HolderPhase(enum.StrEnum):
    """Name how far a holder has come."""

    INQUIRING = "inquiring"
    IDLE = "idle"
    LOADING = "loading"
    DECIDING = "deciding"
    # A higher fencing number was seen: another process holds the lease.
    DEPOSED = "deposed"


class Holder:
    """Lead one group's changes, one after another."""

    __slots__ = (
        "abandoned",
        "base",
        "change",
        "committed",
        "count",
        "deadline",
        "fence",
        "loaded",
        "outcome",
        "phase",
        "ranks",
        "rate",
    )

    def __init__(self, ranks, fence):
        self.ranks = tuple(ranks)
        self.fence = fence
        self.count = 0
        self.change = 0
        self.base = 0
        self.rate = 0.0
        self.loaded = set()
        self.deadline = 0.0
        self.phase = HolderPhase.INQUIRING
        self.outcome = None
        self.committed = 0
        self.abandoned = 0

    def start(self):
        return [ToArbiter(Inquire(self.fence))]

    def propose(self, now, *, base=0, rate=0.0, load_seconds=0.0):
        """Begin a new change of the map of an earlier one: (number, effects)."""
        assert self.phase is HolderPhase.IDLE
        self.count += 1
        self.change = change_number(self.fence, self.count)
        self.base = base
        self.rate = rate
        self.loaded = set()
        patience = max(load_seconds * LOAD_PATIENCE, LEAST_LOAD_SECONDS)
        self.deadline = now + patience
        self.phase = HolderPhase.LOADING
        return self.change, [self.load(rank) for rank in self.ranks]

    def load(self, rank):
        return ToRank(rank, Load(self.change, self.fence, self.base, self.rate))

    def handle(self, message):
        """Take a message; return the effects."""
        match message:
            case Refused(highest_fence) if highest_fence > self.fence:
                self.phase = HolderPhase.DEPOSED
            case Loaded(rank, change) if self.is_expected(change, HolderPhase.LOADING):
                return self.record_loaded(rank)
            case Outcome(change) if self.is_expected(change, HolderPhase.DECIDING):
                self.finish(message)
            case Outcome() if self.phase is HolderPhase.INQUIRING and not message.busy:
                self.outcome = message
                self.phase = HolderPhase.IDLE
        return []

    def is_expected(self, change, phase):
        return self.phase is phase and change == self.change

    def record_loaded(self, rank):
        self.loaded.add(rank)
        if len(self.loaded) < len(self.ranks):
            return []
        self.phase = HolderPhase.DECIDING
        return [ToArbiter(DecisionRequest(self.change, self.fence))]

    def finish(self, outcome):
        self.outcome = outcome
        self.committed += outcome.committed
        self.abandoned += not outcome.committed
        self.phase = HolderPhase.IDLE

    def tick(self, now):
        """Repeat what has not been answered; give up loading that takes too long."""
        match self.phase:
            case HolderPhase.INQUIRING:
                return self.start()
            case HolderPhase.LOADING if now >= self.deadline:
                # Nothing was bound, so the old map is whole without any message.
                self.abandoned += 1
                self.phase = HolderPhase.IDLE
            case HolderPhase.LOADING:
                missing = [rank for rank in self.ranks if rank not in self.loaded]
                return [self.load(rank) for rank in missing]
            case HolderPhase.DECIDING:
                return [ToArbiter(DecisionRequest(self.change, self.fence))]
        return []
