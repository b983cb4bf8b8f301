"""Detect from the timing of streams that a group's passes have become longer.

Load pattern: a group produces one event of each stream per pass, so the time between
two events of any stream is the length of a pass. When demand for experts shifts, passes
become longer at once, by a third or more. Counts of experts show the same, but reading
them is expensive, samples few requests, and requires an interval between two reads.

A single long pass is caused by reading a prompt, and a steady rise is caused by load.
So a slowdown counts as a shift of demand only if, compared with the baseline, the
median of the latest passes is much longer and all of them are at least a little longer.

The baseline follows only passes that are not slow. While a map change is in progress,
which takes seconds if orders are lost, every pass is slow, and demand may shift again.
If the slow passes became the baseline, that shift would go unnoticed until the counts
are read for another reason. The baseline is kept after the change, so that passes which
do not become shorter are noticed at once. If demand was measured and the map suits it,
slow passes are caused by load, and the keeper makes them the new baseline.
"""

from collections import deque
from statistics import median

# Length of a pass over the baseline: of the median pass, and of the shortest one.
SLOWDOWN_RATIO = 1.17
MIN_SLOWDOWN_RATIO = 1.05
# Window in which a slowdown is looked for; at least this many passes long.
RECENT_SECONDS = 0.2
RECENT_PASSES = 3.5
MIN_RECENT_EVENTS = 3
# How long events are kept, and how many are needed to detect a slowdown.
RETENTION_SECONDS = 1.5
MIN_RETAINED_EVENTS = 8
# Time constants with which the baseline follows longer and shorter passes.
RISE_SECONDS = 1.5
FALL_SECONDS = 0.4
# Window of the current pass length: half a dozen passes under load.
CURRENT_WINDOW_SECONDS = 0.6
# Quantile that stands for the longest of the current passes.
HIGH_QUANTILE = 0.9
# Parts of RETENTION_SECONDS in which the high length is measured.
HIGH_WINDOWS = 3
# Share of the retained passes that may be shorter than the lasting pass length.
SHORTER_SHARE = 0.1


class PassTimer:
    """Track the length of passes from the events of one service's streams.

    All times are in seconds.
    """

    __slots__ = ("baseline", "baseline_at", "ignored_until", "intervals")

    def __init__(self):
        # (time of an event, time since the previous event of the stream).
        self.intervals = deque()
        # Length of passes that are not slow; None until known.
        self.baseline = None
        self.baseline_at = 0.0
        # Passes before this time still use the map that is being replaced.
        self.ignored_until = float("-inf")

    def observe(self, interval, now):
        """Record the time between two events of one stream."""
        if now < self.ignored_until:
            return
        self.intervals.append((now, interval))
        while self.intervals[0][0] < now - RETENTION_SECONDS:
            self.intervals.popleft()
        self.update_baseline(interval, now)

    def update_baseline(self, interval, now):
        """Move the baseline towards the length of a pass that is not slow."""
        if self.baseline is None:
            if self.has_enough_events(now):
                self.set_baseline(now)
            return
        if interval >= SLOWDOWN_RATIO * self.baseline:
            return
        span = RISE_SECONDS if interval > self.baseline else FALL_SECONDS
        # Events of one pass arrive together, so only the first one has a weight.
        weight = min((now - self.baseline_at) / span, 1.0)
        self.baseline += weight * (interval - self.baseline)
        self.baseline_at = now

    def set_baseline(self, now):
        """Make the current pass length the baseline; it is not due to demand."""
        self.baseline = self.current_pass_seconds(now)
        self.baseline_at = now

    def ignore_events_until(self, until):
        """Ignore events until a new map is in force, given as loop time."""
        self.intervals.clear()
        self.ignored_until = until

    def has_enough_events(self, now):
        """Return whether there are enough events to detect a slowdown."""
        current = [
            interval for at, interval in self.intervals if at >= now - RETENTION_SECONDS
        ]
        return len(current) >= MIN_RETAINED_EVENTS

    def current_pass_seconds(self, now):
        """Return the current length of passes, or None if unknown."""
        recent = [
            interval
            for at, interval in self.intervals
            if at >= now - CURRENT_WINDOW_SECONDS
        ]
        return median(recent) if len(recent) >= MIN_RECENT_EVENTS else None

    def high_pass_seconds(self, now: float) -> float | None:
        """Return the length that few passes exceed, the least of several windows.

        Passes that are long until the map follows a shift of demand are short again in
        one of the windows. Return None if the length in any window is unknown.
        """
        seconds = RETENTION_SECONDS / HIGH_WINDOWS
        windows = [[] for _ in range(HIGH_WINDOWS)]
        for at, interval in self.intervals:
            index = int((now - at) / seconds)
            if index < HIGH_WINDOWS:
                windows[index].append(interval)
        if any(len(each) < MIN_RECENT_EVENTS for each in windows):
            return None
        return min(sorted(each)[int(HIGH_QUANTILE * len(each))] for each in windows)

    def lasting_pass_seconds(self, now: float) -> float | None:
        """Return the length that nearly all passes of RETENTION_SECONDS had, or None.

        It rises only when passes have been long for nearly all of that time, and falls
        as soon as one in ten is short.
        """
        lengths = sorted(
            interval for at, interval in self.intervals if at >= now - RETENTION_SECONDS
        )
        if len(lengths) < MIN_RETAINED_EVENTS:
            return None
        return lengths[int(SHORTER_SHARE * len(lengths))]

    def has_slowed_down(self, now):
        """Return whether the latest passes are longer than the baseline."""
        if self.baseline is None:
            return False
        since = now - max(RECENT_SECONDS, RECENT_PASSES * self.baseline)
        recent = [interval for at, interval in self.intervals if at >= since]
        if len(recent) < MIN_RECENT_EVENTS:
            return False
        is_slow = median(recent) >= SLOWDOWN_RATIO * self.baseline
        return is_slow and min(recent) >= MIN_SLOWDOWN_RATIO * self.baseline


class PassTimers:
    """Hold the PassTimer of each group of a service.

    The group is "" for a service of which fewer than two groups are known.
    """

    __slots__ = ("timers",)

    def __init__(self) -> None:
        # By service and group.
        self.timers: dict[tuple[str, str], PassTimer] = {}

    def of(self, service: str, group: str = "") -> PassTimer:
        """Return the timer of a service's group."""
        key = (service, group)
        timer = self.timers.get(key)
        if timer is None:
            timer = self.timers[key] = PassTimer()
        return timer

    def keep_only(self, service: str, group: str) -> None:
        """Make the timer of the only group that is left that of the whole service."""
        timer = self.of(service, group)
        others = [key for key in self.timers if key[0] == service]
        for key in others:
            del self.timers[key]
        self.timers[service, ""] = timer

    def forget(self, service: str, group: str) -> None:
        """Drop the timer of a group that is gone."""
        self.timers.pop((service, group), None)
