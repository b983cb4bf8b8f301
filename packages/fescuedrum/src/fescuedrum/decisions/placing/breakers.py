"""Stop sending requests to an endpoint that fails all of them (circuit breaker).

Load pattern: an endpoint that fails immediately looks idle, so choosing by load sends
it more and more requests, and it answers those of the whole fleet with errors. The
breaker opens after consecutive failures, lets one trial request through after a pause,
and closes when the trial succeeds. Each failed trial doubles the pause.
"""

import enum

FAILURES_TO_OPEN = 5
FIRST_PAUSE_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 30.0


class State(enum.StrEnum):
    """States of a breaker: all requests pass, none, or one trial request."""

    CLOSED = "closed"
    OPEN = "open"
    TRIAL = "trial"


class Breaker:
    """Circuit breaker of one endpoint; times are loop time in seconds."""

    __slots__ = ("failures", "opened_at", "pause", "state")

    def __init__(self):
        self.state = State.CLOSED
        self.failures = 0
        self.pause = FIRST_PAUSE_SECONDS
        self.opened_at = 0.0

    def allows(self, now):
        """Return whether a request may be sent now."""
        if self.state is State.OPEN:
            return now - self.opened_at >= self.pause
        # A trial may never report a result, for example when its caller disconnects;
        # it must not block the endpoint forever.
        if self.state is State.TRIAL:
            return now - self.opened_at >= LONGEST_PAUSE_SECONDS
        return True

    def sent(self, now):
        """Record that a request is sent; the first after a pause is the trial."""
        if self.state is not State.CLOSED:
            self.state = State.TRIAL
            self.opened_at = now

    def succeeded(self):
        """Close the breaker after a success."""
        self.state = State.CLOSED
        self.failures = 0
        self.pause = FIRST_PAUSE_SECONDS

    def failed(self, now):
        """Record a failure; open the breaker on a failed trial or several in a row."""
        self.failures += 1
        if self.state is State.TRIAL:
            self.pause = min(self.pause * 2, LONGEST_PAUSE_SECONDS)
            self.open(now)
        elif self.failures >= FAILURES_TO_OPEN:
            self.open(now)

    def open(self, now):
        """Stop requests for the current pause."""
        self.state = State.OPEN
        self.opened_at = now
        self.failures = 0
