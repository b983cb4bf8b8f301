"""Decide whether an idempotent request may be sent again, or to two endpoints at once.

Load pattern: an endpoint or a zone fails while the rest is busy. Every request that
failed there comes back as a retry; with a fixed count of three each, the endpoints
that are left get up to four times the load just when they have least to spare, fail
in turn and are retried as well. A budget bounds that: all retries together are a share
of recent requests, whatever share of those fails. Hedges pay for the slowest few
requests by a second copy and have a share of their own, so that a time in which all
are slow, when a copy helps nobody, costs little.
"""

import math
from collections import deque

RETRY_SHARE = 0.2
HEDGE_SHARE = 0.05
WINDOW_SECONDS = 10.0
MINIMUM = 3.0
SAFE_PART = 0.8
HEDGE_QUANTILE = 0.95
HEDGE_STEP = 0.05
HEDGE_SAMPLES = 50


class FadingCount:
    """Count events; each counts less as time passes."""

    __slots__ = ("at", "count", "window")

    def __init__(self, window):
        self.window = window
        self.count = 0.0
        self.at = 0.0

    def value(self, now):
        return self.count * math.exp((self.at - now) / self.window)

    def add(self, now):
        self.count = self.value(now) + 1.0
        self.at = now


class RetryBudget:
    """Allow extra sendings up to a share of recent requests."""

    __slots__ = ("extra", "minimum", "requests", "share")

    def __init__(self, share=RETRY_SHARE, minimum=MINIMUM, window=WINDOW_SECONDS):
        self.share = share
        self.minimum = minimum
        self.requests = FadingCount(window)
        self.extra = FadingCount(window)

    def request(self, now):
        """Note a first sending."""
        self.requests.add(now)

    def spend(self, now):
        """Take one extra sending from the budget; False when there is none."""
        allowed = max(self.minimum, self.share * self.requests.value(now))
        if self.extra.value(now) + 1.0 > allowed:
            return False
        self.extra.add(now)
        return True


class SlidingCount:
    """Count the events of the last window of seconds."""

    __slots__ = ("times", "window")

    def __init__(self, window=WINDOW_SECONDS):
        self.window = window
        self.times = deque()

    def value(self, now):
        while self.times and self.times[0] <= now - self.window:
            self.times.popleft()
        return len(self.times)

    def add(self, now):
        self.times.append(now)


class SharedRetryBudget:
    """Allow repeats of one service up to this entry's part of a common bound.

    The bound holds for the repeats of all entries in any window: share of the requests
    plus slack. Each entry counts its own requests, and takes an even part of the slack
    by the number of entries that there may be. The figures are the platform's.
    """

    __slots__ = ("repeats", "requests", "share", "slack")

    def __init__(self, share, slack, window=WINDOW_SECONDS):
        self.share = share
        self.slack = slack
        self.requests = SlidingCount(window)
        self.repeats = SlidingCount(window)

    def request(self, now):
        """Note a request that a caller sent for the service."""
        self.requests.add(now)

    def left(self, now, entries):
        """Return how many repeats this entry may send yet."""
        allowed = self.share * self.requests.value(now) + self.slack / max(entries, 1)
        # The bound is common and entries start and end: a fifth is kept for that.
        return SAFE_PART * allowed - self.repeats.value(now)

    def spend(self, now, entries):
        """Take one repeat from the budget; False when there is none."""
        if self.left(now, entries) < 1:
            return False
        self.repeats.add(now)
        return True


class HedgeDelay:
    """Follow the delay that a given share of answers exceeds."""

    __slots__ = ("samples", "seconds")

    def __init__(self):
        self.seconds = 0.0
        self.samples = 0

    def observe(self, seconds):
        """Take the time from a sending to its head."""
        self.samples += 1
        if self.samples == 1:
            self.seconds = seconds
        elif seconds > self.seconds:
            self.seconds *= 1 + HEDGE_STEP * HEDGE_QUANTILE
        else:
            self.seconds *= 1 - HEDGE_STEP * (1 - HEDGE_QUANTILE)

    def delay(self):
        """Return the wait before a hedge in seconds; None while too little is known."""
        return self.seconds if self.samples >= HEDGE_SAMPLES else None


class ServiceRetries:
    """Hold what one entry may spend on one service."""

    __slots__ = ("hedge_delay", "hedges", "retries")

    def __init__(self):
        self.retries = RetryBudget()
        self.hedges = RetryBudget(HEDGE_SHARE, minimum=0.0)
        self.hedge_delay = HedgeDelay()

    def request(self, now):
        self.retries.request(now)
        self.hedges.request(now)
