"""Decide when to stop sending to an endpoint that only fails.

Load pattern: an endpoint that fails at once looks idle, so choosing by load sends it
more and more, and it answers a whole fleet's requests with errors. A breaker opens
after failures in a row, lets one trial request through after a pause, and closes when
that succeeds. Each failed trial doubles the pause.
"""

import enum

FAILURES = 5
FIRST_PAUSE_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 30.0


class State(enum.StrEnum):
    """Name what a breaker lets through."""

    CLOSED = "closed"
    OPEN = "open"
    TRIAL = "trial"


class Breaker:
    """Follow the successes and failures of one endpoint."""

    __slots__ = ("failures", "opened_at", "pause", "state")

    def __init__(self):
        self.state = State.CLOSED
        self.failures = 0
        self.pause = FIRST_PAUSE_SECONDS
        self.opened_at = 0.0

    def allows(self, now):
        """Tell whether a request may be sent now."""
        if self.state is State.OPEN:
            return now - self.opened_at >= self.pause
        # A trial that never settles, as when its caller left, must not block for good.
        if self.state is State.TRIAL:
            return now - self.opened_at >= LONGEST_PAUSE_SECONDS
        return True

    def sent(self, now):
        """Note that a request is sent; the first after a pause is the trial."""
        if self.state is not State.CLOSED:
            self.state = State.TRIAL
            self.opened_at = now

    def succeeded(self):
        self.state = State.CLOSED
        self.failures = 0
        self.pause = FIRST_PAUSE_SECONDS

    def failed(self, now):
        self.failures += 1
        if self.state is State.TRIAL:
            self.pause = min(self.pause * 2, LONGEST_PAUSE_SECONDS)
            self.open(now)
        elif self.failures >= FAILURES:
            self.open(now)

    def open(self, now):
        self.state = State.OPEN
        self.opened_at = now
        self.failures = 0
