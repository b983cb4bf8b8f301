"""Notice from the pace of streams that a group's passes have become longer.

Load pattern: a group makes one event of each stream in a pass, so the time between two
events of any stream is the length of a pass. When demand for experts moves, passes get
longer at once, by a third and more. Counts of experts tell the same, but each read of
them costs, is a sample of few requests, and needs an interval of its own.

A single long pass is a prompt that was read, and a steady rise is load. So a slowdown
is taken for a move of demand when the events of the last passes came late against what
is usual, half of them clearly and all of them a little.

What is usual follows only passes that are not slow. While a change of the map is under
way, or takes seconds because orders are lost, every pass is slow, and demand may move
again: if the slow passes became the usual ones, that move would go unnoticed until the
counts are read for another reason. What is usual outlives the change, so that passes
which do not get shorter by it are noticed at once. Where the demand was measured and
the map suits it, slow passes are load, and the keeper accepts them as the usual ones.
"""

from collections import deque
from statistics import median

SLOWDOWN_RATIO = 1.17
MIN_SLOWDOWN_RATIO = 1.05
RECENT_SECONDS = 0.2
# Where passes are long, as many of them as fit into RECENT_SECONDS else.
RECENT_PASSES = 3.5
MIN_RECENT_EVENTS = 3
# How far back events are kept, and how many of them make a pace known.
RETENTION_SECONDS = 1.5
MIN_RETAINED_EVENTS = 8
# Time in which what is usual follows longer passes, and shorter ones.
RISE_SECONDS = 1.5
FALL_SECONDS = 0.4
# How far back the present pace goes: half a dozen passes under load.
CURRENT_WINDOW_SECONDS = 0.6


class PassTimer:
    """Follow the time between events of all streams of one service, in seconds."""

    __slots__ = ("baseline", "baseline_at", "ignored_until", "intervals")

    def __init__(self):
        # (time of an event, time since the event before it).
        self.intervals = deque()
        # Length of passes that are not slow; None until it is known.
        self.baseline = None
        self.baseline_at = 0.0
        # Until then passes still have the map that is being replaced.
        self.ignored_until = float("-inf")

    def observe(self, interval, now):
        """Take the time between two events of one stream."""
        if now < self.ignored_until:
            return
        self.intervals.append((now, interval))
        while self.intervals[0][0] < now - RETENTION_SECONDS:
            self.intervals.popleft()
        self.update_baseline(interval, now)

    def update_baseline(self, interval, now):
        """Let what is usual follow a pass that is not slow."""
        if self.baseline is None:
            if self.has_enough_events(now):
                self.set_baseline(now)
            return
        if interval >= SLOWDOWN_RATIO * self.baseline:
            return
        span = RISE_SECONDS if interval > self.baseline else FALL_SECONDS
        # Events of one pass come together; only the first of them has a weight.
        weight = min((now - self.baseline_at) / span, 1.0)
        self.baseline += weight * (interval - self.baseline)
        self.baseline_at = now

    def set_baseline(self, now):
        """Take the present pace for the usual one: demand is not what slows it."""
        self.baseline = self.current_pass_seconds(now)
        self.baseline_at = now

    def ignore_events_until(self, until):
        """Pass over events until a new map is in force, in loop time."""
        self.intervals.clear()
        self.ignored_until = until

    def has_enough_events(self, now):
        """Tell whether there are events enough to notice a slowdown."""
        current = [
            interval for at, interval in self.intervals if at >= now - RETENTION_SECONDS
        ]
        return len(current) >= MIN_RETAINED_EVENTS

    def current_pass_seconds(self, now):
        """Return how long passes are at present; None when unknown."""
        recent = [
            interval
            for at, interval in self.intervals
            if at >= now - CURRENT_WINDOW_SECONDS
        ]
        return median(recent) if len(recent) >= MIN_RECENT_EVENTS else None

    def has_slowed_down(self, now):
        """Tell whether the events of the last passes came later than usual."""
        if self.baseline is None:
            return False
        since = now - max(RECENT_SECONDS, RECENT_PASSES * self.baseline)
        recent = [interval for at, interval in self.intervals if at >= since]
        if len(recent) < MIN_RECENT_EVENTS:
            return False
        is_slow = median(recent) >= SLOWDOWN_RATIO * self.baseline
        return is_slow and min(recent) >= MIN_SLOWDOWN_RATIO * self.baseline
