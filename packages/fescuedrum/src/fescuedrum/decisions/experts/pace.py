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

SLOWER = 1.17
ALL_SLOWER = 1.05
RECENT_SECONDS = 0.2
# Where passes are long, as many of them as fit into RECENT_SECONDS else.
RECENT_PASSES = 3.5
LEAST_RECENT = 3
# How far back events are kept, and how many of them make a pace known.
KEPT_SECONDS = 1.5
LEAST_KNOWN = 8
# Time in which what is usual follows longer passes, and shorter ones.
RISE_SECONDS = 1.5
FALL_SECONDS = 0.4
# How far back the present pace goes: half a dozen passes under load.
CURRENT_SECONDS = 0.6


class PassTimer:
    """Follow the time between events of all streams of one service, in seconds."""

    __slots__ = ("changing_until", "gaps", "usual", "usual_at")

    def __init__(self):
        # (time of an event, time since the event before it).
        self.gaps = deque()
        # Length of passes that are not slow; None until it is known.
        self.usual = None
        self.usual_at = 0.0
        # Until then passes still have the map that is being replaced.
        self.changing_until = float("-inf")

    def observe(self, gap, now):
        """Take the time between two events of one stream."""
        if now < self.changing_until:
            return
        self.gaps.append((now, gap))
        while self.gaps[0][0] < now - KEPT_SECONDS:
            self.gaps.popleft()
        self.follow(gap, now)

    def follow(self, gap, now):
        """Let what is usual follow a pass that is not slow."""
        if self.usual is None:
            if self.is_known(now):
                self.accept(now)
            return
        if gap >= SLOWER * self.usual:
            return
        span = RISE_SECONDS if gap > self.usual else FALL_SECONDS
        # Events of one pass come together; only the first of them has a weight.
        weight = min((now - self.usual_at) / span, 1.0)
        self.usual += weight * (gap - self.usual)
        self.usual_at = now

    def accept(self, now):
        """Take the present pace for the usual one: demand is not what slows it."""
        self.usual = self.current_pass_seconds(now)
        self.usual_at = now

    def map_changed(self, until):
        """Pass over events until a new map is in force, in loop time."""
        self.gaps.clear()
        self.changing_until = until

    def is_known(self, now):
        """Tell whether there are events enough to notice a slowdown."""
        current = [gap for at, gap in self.gaps if at >= now - KEPT_SECONDS]
        return len(current) >= LEAST_KNOWN

    def current_pass_seconds(self, now):
        """Return how long passes are at present; None when unknown."""
        recent = [gap for at, gap in self.gaps if at >= now - CURRENT_SECONDS]
        return median(recent) if len(recent) >= LEAST_RECENT else None

    def is_slower(self, now):
        """Tell whether the events of the last passes came later than usual."""
        if self.usual is None:
            return False
        since = now - max(RECENT_SECONDS, RECENT_PASSES * self.usual)
        recent = [gap for at, gap in self.gaps if at >= since]
        if len(recent) < LEAST_RECENT:
            return False
        is_slow = median(recent) >= SLOWER * self.usual
        return is_slow and min(recent) >= ALL_SLOWER * self.usual
