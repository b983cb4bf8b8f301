"""Manage changes of the expert map as the holder of the group's lease.

The holder orders every rank to load the weights, and when all have loaded them, it asks
the arbiter to arm the ranks and to decide. The holder itself commits nothing, so it may
end or pause at any point, and its successor asks the arbiter for the outcome. A holder
that resumes after its lease has expired is refused by its fencing number.
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

# A change is abandoned if ranks have not loaded within this multiple of the expected
# time, but not earlier than after the minimum.
LOAD_TIMEOUT_FACTOR = 3.0
MIN_LOAD_TIMEOUT_SECONDS = 10.0


class HolderPhase(enum.StrEnum):
    """Enumerate the phases of a holder."""

    INQUIRING = "inquiring"
    IDLE = "idle"
    LOADING = "loading"
    DECIDING = "deciding"
    # A higher fencing number was seen, so another process holds the lease.
    DEPOSED = "deposed"


class Holder:
    """Manage one group's changes, one after another."""

    __slots__ = (
        "abandoned",
        "base",
        "change",
        "committed",
        "deadline",
        "fence",
        "loaded",
        "outcome",
        "phase",
        "proposed_changes",
        "ranks",
        "rate",
    )

    def __init__(self, ranks, fence):
        self.ranks = tuple(ranks)
        self.fence = fence
        self.proposed_changes = 0
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
        """Return the effect that asks the arbiter for the latest outcome."""
        return [ToArbiter(Inquire(self.fence))]

    def propose(self, now, *, base=0, rate=0.0, load_seconds=0.0):
        """Begin a change based on the map of an earlier one; return (number, effects).

        rate is in bytes per second, and load_seconds the expected time for loading.
        """
        assert self.phase is HolderPhase.IDLE
        self.proposed_changes += 1
        self.change = change_number(self.fence, self.proposed_changes)
        self.base = base
        self.rate = rate
        self.loaded = set()
        timeout = max(load_seconds * LOAD_TIMEOUT_FACTOR, MIN_LOAD_TIMEOUT_SECONDS)
        self.deadline = now + timeout
        self.phase = HolderPhase.LOADING
        return self.change, [self.load_message(rank) for rank in self.ranks]

    def load_message(self, rank):
        """Return the effect that orders a rank to load the current change."""
        return ToRank(rank, Load(self.change, self.fence, self.base, self.rate))

    def handle(self, message):
        """Handle a message and return the resulting effects."""
        match message:
            case Refused(highest_fence) if highest_fence > self.fence:
                self.phase = HolderPhase.DEPOSED
            case Loaded(rank, change) if self.is_expected(change, HolderPhase.LOADING):
                return self.record_loaded(rank)
            case Outcome(change) if self.is_expected(change, HolderPhase.DECIDING):
                self.record_outcome(message)
            case Outcome() if self.phase is HolderPhase.INQUIRING and not message.busy:
                self.outcome = message
                self.phase = HolderPhase.IDLE
        return []

    def is_expected(self, change, phase):
        """Return whether a message about a change is expected in the current phase."""
        return self.phase is phase and change == self.change

    def record_loaded(self, rank):
        """Record that a rank has loaded; request the decision when all have."""
        self.loaded.add(rank)
        if len(self.loaded) < len(self.ranks):
            return []
        self.phase = HolderPhase.DECIDING
        return [ToArbiter(DecisionRequest(self.change, self.fence))]

    def record_outcome(self, outcome):
        """Record how the current change was decided and become idle."""
        self.outcome = outcome
        self.committed += outcome.committed
        self.abandoned += not outcome.committed
        self.phase = HolderPhase.IDLE

    def tick(self, now):
        """Repeat unanswered messages, and abandon loading that takes too long."""
        match self.phase:
            case HolderPhase.INQUIRING:
                return self.start()
            case HolderPhase.LOADING if now >= self.deadline:
                # No rank has committed to switch, so the old map stays in force without
                # any message.
                self.abandoned += 1
                self.phase = HolderPhase.IDLE
            case HolderPhase.LOADING:
                missing = [rank for rank in self.ranks if rank not in self.loaded]
                return [self.load_message(rank) for rank in missing]
            case HolderPhase.DECIDING:
                return [ToArbiter(DecisionRequest(self.change, self.fence))]
        return []
