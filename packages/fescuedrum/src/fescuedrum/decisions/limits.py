"""Decide how many requests an endpoint runs at the same time.

Load patterns: an endpoint just started, or gone cold without warning, that falls over
under what a warm one carries; and an endpoint whose delay grows faster than its
throughput. With a fixed limit the first falls over at each restart, and the second
collects requests that it only makes wait.

The limit starts at a floor and stays there until enough answers came in a row. Then
each answer in good time raises it by one, which doubles it in each round of answers,
up to the ceiling. Warm, it moves by additive increase and multiplicative decrease on
delay for each unit of size, against the best window seen. A sign of coldness takes it
back to the floor: refused or cut connections, "unavailable", failures in a row, or a
window of very slow answers. After a pause the old limit proves nothing, since the
endpoint may have been restarted meanwhile, so it is climbed again (as TCP does after
idling).
"""

import enum
import statistics
from collections import deque

SLOW = 2.0
COLD = 4.0
FAILURE_STREAK = 3
BACK_OFF = 0.9
FORGET = 1.05
LIGHT = 2
MINIMUM_WINDOW = 8
IDLE_SECONDS = 10.0


class Phase(enum.StrEnum):
    """Say how far an endpoint is known to carry load."""

    COLD = "cold"
    RAMP = "ramp"
    WARM = "warm"


class StartLimiter:
    """Let no more requests start within a short time than a cold endpoint carries.

    An endpoint that turns cold cuts what it runs, but what is on its way at that moment
    reaches it all the same: a round of new requests, started together as a batch's
    places became free, fells it before its agent can know. Spaced out over the time
    that a cut takes to be noticed, no more than the floor is ever on its way.
    """

    __slots__ = ("count", "recent", "seconds")

    def __init__(self, count, seconds):
        self.count = count
        self.seconds = seconds
        self.recent = deque(maxlen=count)

    def wait(self, now):
        """Return the seconds until one more may start; 0 for now."""
        if len(self.recent) < self.count:
            return 0.0
        return max(0.0, self.recent[0] + self.seconds - now)

    def started(self, now):
        self.recent.append(now)


class EndpointLimit:
    """Hold the concurrency limit of one endpoint; times are loop time in seconds."""

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
        """Follow a change of the floor and the ceiling."""
        self.floor = floor
        self.ceiling = max(ceiling, floor)
        highest = self.floor if self.phase is Phase.COLD else self.ceiling
        self.limit = min(max(self.limit, self.floor), highest)

    def reset(self, phase):
        self.phase = phase
        self.limit = self.floor
        self.answers = 0
        self.failures = 0
        self.clear_window()

    def clear_window(self):
        self.window = []
        self.saturated = False

    @property
    def warm(self):
        return self.phase is Phase.WARM

    def starting(self, running, now):
        """Note that a request is about to start beside the running ones."""
        idle = running == 0 and self.last_at is not None
        if idle and now - self.last_at > IDLE_SECONDS and self.phase is Phase.WARM:
            self.reset(Phase.RAMP)
        self.last_at = now
        if running + 1 >= self.limit:
            self.saturated = True

    def answered(self, delay, now):
        """Learn from an answer; delay is in seconds for each unit of size."""
        self.last_at = now
        self.failures = 0
        self.answers += 1
        match self.phase:
            case Phase.COLD:
                self.leave_floor()
            case Phase.RAMP:
                self.climb(delay)
            case Phase.WARM:
                pass
        self.add_to_window(delay)

    def leave_floor(self):
        if self.answers >= self.warm_after:
            self.phase = Phase.RAMP
            self.limit = min(self.limit + 1, self.ceiling)

    def climb(self, delay):
        best = self.best_delay
        if best is None or delay <= SLOW * best:
            self.limit = min(self.limit + 1, self.ceiling)
        if self.limit >= self.ceiling:
            self.phase = Phase.WARM

    def add_to_window(self, delay):
        self.window.append(delay)
        if len(self.window) >= max(self.limit, MINIMUM_WINDOW):
            # One caller's odd requests move a mean, but not a median.
            self.close_window(statistics.median(self.window))

    def close_window(self, delay):
        best = self.best_delay
        # Only an endpoint with little to do shows what delay it has without load; if
        # the best were forgotten under load, limit and delay would rise together.
        light = self.limit <= LIGHT * self.floor
        cold = best is not None and delay > COLD * best
        grown = best is not None and best * (FORGET if light else 1.0)
        self.best_delay = delay if best is None else min(grown, delay)
        if cold and not light:
            self.collapse()
            return
        if delay > SLOW * self.best_delay:
            self.limit = max(self.floor, int(self.limit * BACK_OFF))
            # Delay has shown where the endpoint's own ceiling lies.
            if self.phase is Phase.RAMP:
                self.phase = Phase.WARM
        elif self.saturated and self.phase is Phase.WARM:
            self.limit = min(self.limit + 1, self.ceiling)
        self.clear_window()

    def failed(self, now, *, unavailable):
        """Learn from a failure; unavailable means that it refused, cut or was full.

        A single failed request may be the caller's fault, and must not let one
        caller take an endpoint from all others; only a row of them is a sign.
        """
        self.last_at = now
        self.failures += 1
        if unavailable or self.failures >= FAILURE_STREAK:
            self.collapse()

    def collapse(self):
        self.collapses += 1
        self.reset(Phase.COLD)
