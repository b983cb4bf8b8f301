"""Limit retries and hedges of idempotent requests by budgets.

Load pattern: an endpoint or a zone fails while the others are busy. Every request that
failed there is retried; with a fixed count of three retries each, the remaining
endpoints get up to four times the load when they have the least spare capacity, fail in
turn and cause more retries. A budget limits this: all retries together are at most a
share of recent requests, whatever share of those fails. Hedges send a second copy of
the slowest few requests and have a budget of their own, so that they cost little while
all requests are slow and copies don't help.
"""

import math
from collections import deque

RETRY_SHARE = 0.2
HEDGE_SHARE = 0.05
WINDOW_SECONDS = 10.0
MINIMUM_RETRIES = 3.0
SAFETY_FACTOR = 0.8
HEDGE_QUANTILE = 0.95
HEDGE_STEP = 0.05
HEDGE_SAMPLES = 50


class DecayingCount:
    """Exponentially decaying count of events."""

    __slots__ = ("as_of", "count", "window")

    def __init__(self, window):
        self.window = window
        self.count = 0.0
        self.as_of = 0.0

    def value(self, now):
        """Return the decayed count at this time."""
        return self.count * math.exp((self.as_of - now) / self.window)

    def add(self, now):
        self.count = self.value(now) + 1.0
        self.as_of = now


class RetryBudget:
    """Allow retries or hedges up to a share of recent requests."""

    __slots__ = ("extra", "minimum", "requests", "share")

    def __init__(
        self, share=RETRY_SHARE, minimum=MINIMUM_RETRIES, window=WINDOW_SECONDS
    ):
        self.share = share
        self.minimum = minimum
        self.requests = DecayingCount(window)
        self.extra = DecayingCount(window)

    def request(self, now):
        """Record a request that is sent for the first time."""
        self.requests.add(now)

    def spend(self, now):
        """Take one retry or hedge from the budget; return False if none is left."""
        allowed = max(self.minimum, self.share * self.requests.value(now))
        if self.extra.value(now) + 1.0 > allowed:
            return False
        self.extra.add(now)
        return True


class SlidingCount:
    """Count of the events within the last window seconds."""

    __slots__ = ("times", "window")

    def __init__(self, window=WINDOW_SECONDS):
        self.window = window
        self.times = deque()

    def value(self, now):
        """Return the number of events within the window up to now."""
        while self.times and self.times[0] <= now - self.window:
            self.times.popleft()
        return len(self.times)

    def add(self, now):
        self.times.append(now)


class SharedRetryBudget:
    """Allow retries for one service up to this entry's share of a common limit.

    The limit applies to the retries of all entries in any window: share times the
    requests, plus slack. Each entry counts its own requests, and takes an equal part of
    the slack by the highest possible number of entries. The platform sets the figures.
    """

    __slots__ = ("repeats", "requests", "share", "slack")

    def __init__(self, share, slack, window=WINDOW_SECONDS):
        self.share = share
        self.slack = slack
        self.requests = SlidingCount(window)
        self.repeats = SlidingCount(window)

    def request(self, now):
        """Record a request that a caller sent for the service."""
        self.requests.add(now)

    def left(self, now, entries):
        """Return how many more retries this entry may send."""
        allowed = self.share * self.requests.value(now) + self.slack / max(entries, 1)
        # The limit is common and entries come and go, so a fifth of it is reserved.
        return SAFETY_FACTOR * allowed - self.repeats.value(now)

    def spend(self, now, entries):
        """Take one retry from the budget; return False if none is left."""
        if self.left(now, entries) < 1:
            return False
        self.repeats.add(now)
        return True


class HedgeDelay:
    """Running estimate of the HEDGE_QUANTILE of answer delays."""

    __slots__ = ("samples", "seconds")

    def __init__(self):
        self.seconds = 0.0
        self.samples = 0

    def observe(self, seconds):
        """Update from the seconds between sending a request and its response head."""
        self.samples += 1
        if self.samples == 1:
            self.seconds = seconds
        elif seconds > self.seconds:
            self.seconds *= 1 + HEDGE_STEP * HEDGE_QUANTILE
        else:
            self.seconds *= 1 - HEDGE_STEP * (1 - HEDGE_QUANTILE)

    def delay(self):
        """Return the seconds to wait before a hedge; None with too few answers."""
        return self.seconds if self.samples >= HEDGE_SAMPLES else None


class ServiceRetries:
    """Budgets of one entry for the retries and hedges of one service."""

    __slots__ = ("hedge_delay", "hedges", "retries")

    def __init__(self):
        self.retries = RetryBudget()
        self.hedges = RetryBudget(HEDGE_SHARE, minimum=0.0)
        self.hedge_delay = HedgeDelay()

    def request(self, now):
        """Record a request that is sent for the first time."""
        self.retries.request(now)
        self.hedges.request(now)
