"""Stand-in for the engine of one rank, which holds steps and switches maps."""

from fescuedrum.groups.member import EngineState
from fescuedrum.groups.messages import Fetch, HoldAfter, Release, SwitchAt


class LockStepEngine:
    """Carry out orders about expert maps and record the map of every step.

    A fenced engine keeps the highest change that it was ordered to settle and refuses
    orders of older changes; an engine that isn't fenced takes any order.
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
        # Number of the next step to start.
        self.step = 0
        # Change whose map each started step used.
        self.history = []

    def state(self):
        """Return the state that the engine reports to its agent."""
        change, step = self.scheduled or (self.change, self.since)
        loaded = frozenset(self.loaded)
        return EngineState(change, step, self.held, self.hold_step, loaded)

    def may_start(self):
        """Return whether no hold prevents the next step."""
        return not self.held or self.step < self.hold_step

    def start_step(self):
        """Start the next step, with the scheduled map if its step has come."""
        if self.scheduled and self.step >= self.scheduled[1]:
            old = self.change
            self.change, self.since = self.scheduled
            self.scheduled = None
            self.loaded.discard(old)
        self.history.append(self.change)
        self.step += 1

    def take(self, order):
        """Carry out an order; return whether it was accepted."""
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
        """Hold the engine after some steps; return whether this change holds it."""
        if self.fenced and change <= self.settled:
            self.refusals += 1
            return False
        if not self.held:
            self.held = change
            self.hold_step = self.step + steps
        return self.held == change

    def switch(self, change, step):
        """Schedule the switch to a loaded map; return whether it was accepted."""
        if change not in self.loaded:
            self.refusals += 1
            return False
        self.settled = max(self.settled, change)
        self.scheduled = (change, step)
        self.release(change)
        return True

    def release(self, change):
        """End the hold of a change."""
        # A late order of another change must not end the current hold.
        if self.held == change:
            self.held = 0
