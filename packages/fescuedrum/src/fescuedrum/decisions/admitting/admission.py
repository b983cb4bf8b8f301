"""Decide on arrival whether a request can be answered by its deadline.

Load pattern: lasting overload, at two to five times capacity. A queue that accepts
every request grows until each one is served after its caller has given up: the
endpoint is fully busy and none of its answers is used. Refusing early, with a correct
"not run" and a time to retry after, keeps the endpoint busy with requests that can
still meet their deadlines.

The wait is predicted from the cost queued before the request and the rate at which the
endpoint serves cost: its concurrency limit divided by the time per unit of cost. The
capacity that remains when a zone is out needs no separate figure, as each endpoint
predicts from its own rate.
"""

import enum
from dataclasses import dataclass

DEADLINE_MARGIN = 0.1
RETRY_SPREAD = 0.5
MINIMUM_RETRY_SECONDS = 0.1
MAXIMUM_RETRY_SECONDS = 30.0
SMOOTHING = 1 / 32


class RefusalReason(enum.StrEnum):
    """Reasons for refusing a request; with each of them the request was not run."""

    LEAVING = "leaving"
    ZONE_OUT = "zone-out"
    # The predicted completion is after the deadline.
    TOO_LATE = "too-late"
    # The queue is full, and the other requests in it are served first.
    SHED = "shed"
    # The caller disconnected while the request was queued.
    WITHDRAWN = "withdrawn"
    # The ledger has no record for the requested key.
    KEY_UNKNOWN = "key-unknown"
    # The agent has promised an entry never to run this attempt of the key.
    FENCED = "fenced"
    # The claim names an earlier incarnation of the agent.
    OTHER_INCARNATION = "other-incarnation"
    # The ledger has no memory left for another key.
    LEDGER_FULL = "ledger-full"


# Reasons after which another endpoint may still accept the request.
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
    """A refused request: the reason, and the seconds after which to retry."""

    reason: RefusalReason
    retry_after: float

    def fields(self):
        """Return the fields of the refusal message."""
        return {
            "reason": self.reason.value,
            "retry_after_ms": int(self.retry_after * 1000),
        }


class Admission:
    """Predict waits at one endpoint and refuse requests that would end too late."""

    __slots__ = ("cost", "random", "seconds", "size")

    def __init__(self, random):
        self.random = random
        # Exponentially weighted means over past answers.
        self.seconds = 0.0
        self.cost = 0.0
        self.size = 0.0

    def observe(self, seconds, cost, size):
        """Update the means with one answer: its run time, cost and size."""
        self.seconds += (seconds - self.seconds) * SMOOTHING
        self.cost += (cost - self.cost) * SMOOTHING
        self.size += (size - self.size) * SMOOTHING

    @property
    def seconds_per_cost(self):
        """Return the run time per unit of cost in seconds; None before any answer."""
        return self.seconds / self.cost if self.cost else None

    @property
    def delay(self):
        """Return the run time per unit of size in seconds; None before any answer."""
        return self.seconds / self.size if self.size else None

    def rate(self, limit):
        """Return the cost served per second at full concurrency (Little's law)."""
        return limit / self.seconds_per_cost if self.cost else None

    def wait(self, cost_ahead, limit):
        """Return the predicted seconds until a request behind this cost starts."""
        return cost_ahead / self.rate(limit) if self.cost else 0.0

    def run_time(self, work):
        """Return the predicted run time of a request in seconds."""
        return (self.delay or 0.0) * work.size

    def check_deadline(self, work, cost_ahead, limit, now):
        """Return Refused if a new request may end after its deadline, else None."""
        needed_seconds = self.wait(cost_ahead, limit) + self.run_time(work)
        remaining_seconds = work.deadline - now
        if needed_seconds <= remaining_seconds * (1 - DEADLINE_MARGIN):
            return None
        return self.refuse(RefusalReason.TOO_LATE, needed_seconds - remaining_seconds)

    def check_waiting_deadline(self, work, now):
        """Return Refused if a queued request can no longer end in time, else None.

        The margin applied on admission may be used up while waiting, so it isn't
        required here.
        """
        excess = now + self.run_time(work) - work.deadline
        return self.refuse(RefusalReason.TOO_LATE, excess) if excess > 0 else None

    def refuse(self, reason, seconds):
        """Return a refusal with a randomised retry time, so that retries spread out."""
        factor = 1 + self.random.random() * RETRY_SPREAD
        retry = max(MINIMUM_RETRY_SECONDS, seconds) * factor
        return Refused(reason, min(retry, MAXIMUM_RETRY_SECONDS))
