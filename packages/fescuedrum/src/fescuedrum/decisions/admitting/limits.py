"""Adapt the concurrency limit of an endpoint: how many requests it runs at once.

Load patterns: an endpoint that has just started, or became cold without warning, fails
under the load that a warm one carries; and an endpoint's delay grows faster than its
throughput. With a fixed limit the first fails at each restart, and the second accepts
requests that only wait inside it.

The limit starts at a floor and stays there until enough consecutive answers have come.
Then each answer in good time raises it by one, which doubles it per round of answers,
up to the ceiling. A warm endpoint's limit moves by additive increase and multiplicative
decrease (AIMD) on the delay per unit of size, compared with the best window seen. A
sign of coldness resets it to the floor: refused or reset connections, "unavailable",
consecutive failures, or a window of very slow answers. After an idle period the old
limit is no longer reliable, since the endpoint may have been restarted meanwhile, so
the limit is ramped up again (as TCP does after idling).
"""

import enum
import statistics
from collections import deque

SLOW_FACTOR = 2.0
COLD_FACTOR = 4.0
FAILURE_STREAK = 3
DECREASE_FACTOR = 0.9
BEST_DELAY_GROWTH = 1.05
LIGHT_LOAD_FACTOR = 2
MINIMUM_WINDOW = 8
IDLE_SECONDS = 10.0


class Phase(enum.StrEnum):
    """Warm-up phases of an endpoint."""

    COLD = "cold"
    RAMP = "ramp"
    WARM = "warm"


class StartLimiter:
    """Limit the requests started within a short time to what a cold endpoint carries.

    An endpoint that becomes cold aborts the requests it runs, but those in flight at
    that moment still reach it: a round of new requests, started together when a batch
    ended, makes it fail before its agent can know. When starts are spread over the time
    that it takes to notice an abort, no more than count requests are in flight.
    """

    __slots__ = ("count", "recent", "seconds")

    def __init__(self, count, seconds):
        self.count = count
        self.seconds = seconds
        self.recent = deque(maxlen=count)

    def wait(self, now):
        """Return the seconds until one more request may start; 0 if it may now."""
        if len(self.recent) < self.count:
            return 0.0
        return max(0.0, self.recent[0] + self.seconds - now)

    def started(self, now):
        """Record that a request starts."""
        self.recent.append(now)


class EndpointLimit:
    """Adaptive concurrency limit of one endpoint; times are loop time in seconds."""

    __slots__ = (
        "answers",
        "best_delay",
        "ceiling",
        "collapses",
        "failures",
        "floor",
        "last_at",
        "limit",
        "phase",
        "saturated",
        "warm_after",
        "window",
    )

    def __init__(self, floor, ceiling, warm_after):
        self.floor = floor
        self.ceiling = ceiling
        self.warm_after = warm_after
        self.best_delay = None
        self.last_at = None
        self.collapses = 0
        self.reset(Phase.COLD)

    def bound(self, floor, ceiling):
        """Set the floor and the ceiling, and clamp the limit to them."""
        self.floor = floor
        self.ceiling = max(ceiling, floor)
        highest = self.floor if self.phase is Phase.COLD else self.ceiling
        self.limit = min(max(self.limit, self.floor), highest)

    def reset(self, phase):
        """Enter a phase with the limit at the floor."""
        self.phase = phase
        self.limit = self.floor
        self.answers = 0
        self.failures = 0
        self.clear_window()

    def clear_window(self):
        """Start a new window of delays."""
        self.window = []
        self.saturated = False

    @property
    def warm(self):
        return self.phase is Phase.WARM

    def starting(self, running, now):
        """Record that a request is about to start in addition to the running ones."""
        idle = running == 0 and self.last_at is not None
        if idle and now - self.last_at > IDLE_SECONDS and self.phase is Phase.WARM:
            self.reset(Phase.RAMP)
        self.last_at = now
        if running + 1 >= self.limit:
            self.saturated = True

    def answered(self, delay, now):
        """Update from an answer; delay is in seconds per unit of size."""
        self.last_at = now
        self.failures = 0
        self.answers += 1
        match self.phase:
            case Phase.COLD:
                self.leave_cold_phase()
            case Phase.RAMP:
                self.ramp_up(delay)
            case Phase.WARM:
                pass
        self.add_to_window(delay)

    def leave_cold_phase(self):
        """Enter the ramp phase once enough answers have come."""
        if self.answers >= self.warm_after:
            self.phase = Phase.RAMP
            self.limit = min(self.limit + 1, self.ceiling)

    def ramp_up(self, delay):
        """Raise the limit by one if the delay is good; at the ceiling become warm."""
        best = self.best_delay
        if best is None or delay <= SLOW_FACTOR * best:
            self.limit = min(self.limit + 1, self.ceiling)
        if self.limit >= self.ceiling:
            self.phase = Phase.WARM

    def add_to_window(self, delay):
        """Add a delay to the window, and close the window when it is full."""
        self.window.append(delay)
        if len(self.window) >= max(self.limit, MINIMUM_WINDOW):
            # Unusual requests of one caller would shift a mean, but not a median.
            self.close_window(statistics.median(self.window))

    def close_window(self, delay):
        """Adjust the limit to the median delay of a full window."""
        best = self.best_delay
        # Only a lightly loaded endpoint shows its delay without load. If the best delay
        # were raised under load, limit and delay would rise together.
        is_lightly_loaded = self.limit <= LIGHT_LOAD_FACTOR * self.floor
        is_cold = best is not None and delay > COLD_FACTOR * best
        highest_best = best is not None and best * (
            BEST_DELAY_GROWTH if is_lightly_loaded else 1.0
        )
        self.best_delay = delay if best is None else min(highest_best, delay)
        if is_cold and not is_lightly_loaded:
            self.collapse()
            return
        if delay > SLOW_FACTOR * self.best_delay:
            self.limit = max(self.floor, int(self.limit * DECREASE_FACTOR))
            # The delay has shown the endpoint's own ceiling.
            if self.phase is Phase.RAMP:
                self.phase = Phase.WARM
        elif self.saturated and self.phase is Phase.WARM:
            self.limit = min(self.limit + 1, self.ceiling)
        self.clear_window()

    def failed(self, now, *, unavailable):
        """Update from a failure.

        unavailable means that the endpoint refused or reset the connection or was full.
        A single failed request may be the caller's fault, and must not let one caller
        reduce the endpoint's limit for all others; only consecutive failures count.
        """
        self.last_at = now
        self.failures += 1
        if unavailable or self.failures >= FAILURE_STREAK:
            self.collapse()

    def collapse(self):
        """Treat the endpoint as cold."""
        self.collapses += 1
        self.reset(Phase.COLD)
