"""Stand in for the engine of one rank: it steps, holds and switches maps."""

from fescuedrum.groups.member import EngineState
from fescuedrum.groups.messages import Fetch, HoldAfter, Release, SwitchAt


class LockStepEngine:
    """Follow orders about maps and record the map of every step.

    An engine that refuses old fencing numbers keeps the highest change it was ordered
    to settle; one that ignores them takes any order.
    """

    __slots__ = (
        "change",
        "fenced",
        "held",
        "history",
        "hold_step",
        "loaded",
        "refusals",
        "scheduled",
        "settled",
        "since",
        "step",
    )

    def __init__(self, *, fenced=True):
        self.fenced = fenced
        self.change = 0
        self.since = 0
        self.scheduled = None
        self.held = 0
        self.hold_step = 0
        self.loaded = {0}
        self.settled = 0
        self.refusals = 0
        # The next step to start.
        self.step = 0
        # The map of each step that was started.
        self.history = []

    def state(self):
        change, step = self.scheduled or (self.change, self.since)
        loaded = frozenset(self.loaded)
        return EngineState(change, step, self.held, self.hold_step, loaded)

    def may_start(self):
        return not self.held or self.step < self.hold_step

    def start_step(self):
        """Start the next step under the map that is due."""
        if self.scheduled and self.step >= self.scheduled[1]:
            old = self.change
            self.change, self.since = self.scheduled
            self.scheduled = None
            self.loaded.discard(old)
        self.history.append(self.change)
        self.step += 1

    def take(self, order):
        """Carry out an order; say whether it was taken."""
        newest = self.scheduled[0] if self.scheduled else self.change
        if order.change <= newest or (self.fenced and order.change < self.settled):
            self.refusals += 1
            return False
        match order:
            case Fetch(change):
                self.loaded.add(change)
            case HoldAfter(change, steps):
                return self.hold(change, steps)
            case SwitchAt(change, step):
                return self.switch(change, step)
            case Release(change):
                self.settled = max(self.settled, change)
                self.loaded.discard(change)
                self.release(change)
        return True

    def hold(self, change, steps):
        if self.fenced and change <= self.settled:
            self.refusals += 1
            return False
        if not self.held:
            self.held = change
            self.hold_step = self.step + steps
        return self.held == change

    def switch(self, change, step):
        if change not in self.loaded:
            self.refusals += 1
            return False
        self.settled = max(self.settled, change)
        self.scheduled = (change, step)
        self.release(change)
        return True

    def release(self, change):
        # Only its own change frees it: an order may be late and another one waits.
        if self.held == change:
            self.held = 0
