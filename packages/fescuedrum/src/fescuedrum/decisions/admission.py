"""Decide at once whether a request can be answered by its deadline.

Load pattern: overload that lasts, at two to five times capacity. A queue that takes
everything grows until each request is served after its caller has gone: the endpoint
is fully busy and nothing it does is of use. Refusing early, with a true "not run" and
a time to come back, keeps the endpoint on work that will be in time.

The wait is predicted from the cost that goes before the request and the rate at which
the endpoint serves cost: its places over the time that a unit of cost takes. What is
left after a zone went out needs no separate figure: each endpoint predicts from its
own rate.
"""

import enum
from dataclasses import dataclass

MARGIN = 0.1
RETRY_SPREAD = 0.5
MINIMUM_RETRY_SECONDS = 0.1
MAXIMUM_RETRY_SECONDS = 30.0
SMOOTHING = 1 / 32


class RefusalReason(enum.StrEnum):
    """Name why a request was refused; each is a true "not run"."""

    LEAVING = "leaving"
    ZONE_OUT = "zone-out"
    # The predicted wait passes the deadline.
    TOO_LATE = "too-late"
    # The queue is full and others of its organisation or class go first.
    SHED = "shed"
    # Its caller left while it waited.
    WITHDRAWN = "withdrawn"
    # The ledger holds nothing under the key that was asked for.
    KEY_UNKNOWN = "key-unknown"
    # An entry was promised that this attempt of the key never runs.
    FENCED = "fenced"
    # The claim names an earlier life of the agent.
    OTHER_INCARNATION = "other-incarnation"
    # There is no memory left to remember another key.
    LEDGER_FULL = "ledger-full"


# Reasons for which another endpoint may well take the request.
TRY_ELSEWHERE = frozenset(
    (
        RefusalReason.LEAVING,
        RefusalReason.ZONE_OUT,
        RefusalReason.FENCED,
        RefusalReason.OTHER_INCARNATION,
        RefusalReason.LEDGER_FULL,
    )
)


@dataclass(slots=True, frozen=True)
class Refused:
    """Say that a request is not run, why, and when to come back (seconds)."""

    reason: RefusalReason
    retry_after: float

    def fields(self):
        """Return the fields of a refusal on the wire."""
        return {
            "reason": self.reason.value,
            "retry_after_ms": int(self.retry_after * 1000),
        }


class Admission:
    """Predict waits at one endpoint and refuse what can't be in time."""

    __slots__ = ("cost", "random", "seconds", "size")

    def __init__(self, random):
        self.random = random
        # Sums over past answers, in which each answer fades as others follow.
        self.seconds = 0.0
        self.cost = 0.0
        self.size = 0.0

    def observe(self, seconds, cost, size):
        """Learn from an answer."""
        self.seconds += (seconds - self.seconds) * SMOOTHING
        self.cost += (cost - self.cost) * SMOOTHING
        self.size += (size - self.size) * SMOOTHING

    @property
    def seconds_per_cost(self):
        """Return the time that a unit of cost takes once its request runs, or None."""
        return self.seconds / self.cost if self.cost else None

    @property
    def delay(self):
        """Return the time that a unit of a request's size takes, or None."""
        return self.seconds / self.size if self.size else None

    def rate(self, limit):
        """Return the cost served a second with all places taken (Little's law)."""
        return limit / self.seconds_per_cost if self.cost else None

    def wait(self, cost_ahead, limit):
        """Predict the seconds until a request starts behind this much cost."""
        return cost_ahead / self.rate(limit) if self.cost else 0.0

    def run_time(self, work):
        """Predict the seconds that a request takes once it runs."""
        return (self.delay or 0.0) * work.size

    def check_deadline(self, work, cost_ahead, limit, now):
        """Return Refused when a new request might end after its deadline, or None."""
        needed = self.wait(cost_ahead, limit) + self.run_time(work)
        left = work.deadline - now
        if needed <= left * (1 - MARGIN):
            return None
        return self.refuse(RefusalReason.TOO_LATE, needed - left)

    def check_waiting_deadline(self, work, now):
        """Return Refused when a request that waited can't be in time, or None.

        It was let in with a margin, which is there to be used up.
        """
        missing = now + self.run_time(work) - work.deadline
        return self.refuse(RefusalReason.TOO_LATE, missing) if missing > 0 else None

    def refuse(self, reason, seconds):
        """Build a refusal whose callers come back spread out, not all at once."""
        spread = 1 + self.random.random() * RETRY_SPREAD
        retry = max(MINIMUM_RETRY_SECONDS, seconds) * spread
        return Refused(reason, min(retry, MAXIMUM_RETRY_SECONDS))
