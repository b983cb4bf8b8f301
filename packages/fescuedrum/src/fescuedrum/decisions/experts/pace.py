"""Notice from the pace of streams that a group's passes have become longer.

Load pattern: a group makes one event of each stream in a pass, so the time between two
events of any stream is the length of a pass. When demand for experts moves, passes get
longer at once, by a third and more. Counts of experts tell the same, but each read of
them costs, is a sample of few requests, and needs an interval of its own.

A single long pass is a prompt that was read, and a steady rise is load. So a slowdown
is taken for a move of demand when the events of the last passes came late against the
usual of the last second or two, half of them clearly and all of them a little.

Grounds for the figures, from the events of one entry of seven on a calm day. Passes
took 41 to 48 ms, some 53 with a prompt; after a move 55 to 70, the least of all moves
51. SLOWER: 1.17 of 44 ms. ALL_SLOWER: under load passes vary by more; with all of them
1.15 times as long a move was missed for two seconds on a heavy day. RECENT_SECONDS:
three or four passes; a pass in ten read a prompt. LEAST_RECENT: one stream in as many
passes, so that one late event alone says nothing.
"""

from collections import deque
from statistics import median

SLOWER = 1.17
ALL_SLOWER = 1.05
RECENT_SECONDS = 0.2
# Where passes are long, as many of them as fit into RECENT_SECONDS else.
RECENT_PASSES = 3.5
LEAST_RECENT = 3
USUAL_SECONDS = 1.5
LEAST_USUAL = 8
# How far back the present pace goes: half a dozen passes under load.
CURRENT_SECONDS = 0.6


class PassPace:
    """Follow the time between events of all streams of one service."""

    __slots__ = ("gaps",)

    def __init__(self):
        # (time of an event, time since the event before it), in seconds.
        self.gaps = deque()

    def observe(self, gap, now):
        """Take the time between two events of one stream."""
        self.gaps.append((now, gap))
        while self.gaps[0][0] < now - USUAL_SECONDS:
            self.gaps.popleft()

    def restart(self):
        """Forget what was usual: another map is in force."""
        self.gaps.clear()

    def is_known(self, now):
        """Tell whether there are events enough to notice a slowdown."""
        current = [gap for at, gap in self.gaps if at >= now - USUAL_SECONDS]
        return len(current) >= LEAST_USUAL

    def current(self, now):
        """Return how long passes are at present, in seconds; None when unknown."""
        recent = [gap for at, gap in self.gaps if at >= now - CURRENT_SECONDS]
        return median(recent) if len(recent) >= LEAST_RECENT else None

    def is_slower(self, now):
        """Tell whether the events of the last passes came later than usual."""
        if not self.is_known(now):
            return False
        usual = median(gap for _, gap in self.gaps)
        since = now - max(RECENT_SECONDS, RECENT_PASSES * usual)
        recent = [gap for at, gap in self.gaps if at >= since]
        if len(recent) < LEAST_RECENT:
            return False
        return min(recent) >= ALL_SLOWER * usual and median(recent) >= SLOWER * usual
