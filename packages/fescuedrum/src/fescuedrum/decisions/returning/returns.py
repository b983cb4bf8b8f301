"""Choose when refused callers should retry, and recognise retries when they arrive.

Load pattern: a group of engines is down for seconds because one rank left or a zone is
partitioned, or it gets more callers than it can serve for that long. Callers retry
once. If told to retry soon, they meet the same failure, and both attempts are lost; if
told nothing, they retry at once. A caller waits for at most a third of its remaining
time, so it is told to wait that long: a caller that retries late enough is served, and
an answer is worth the same whether it is one second late or three.

A group that stalls refuses all waiting requests at the same moment, so the waits are
randomised; otherwise all retries would arrive together. They compete with new callers,
who can still be answered on time, while the retries are late in any case: so retries
are served after them. A retry is recognised by its shorter remaining time, so the wait
must be long enough to tell it from a new request; otherwise retries take the slots of
requests that would be on time.
"""

import random

LONGEST_WAIT_SHARE = 0.98 / 3
WAIT_SPREAD = 0.25
# A new caller has at least this share of its route's longest patience left.
NEW_CALLER_SHARE = 0.8
# Ranks by which a retry is less urgent than a new request.
RETRY_RANK_PENALTY = 3


def retry_delay(patience: float, generator: random.Random) -> float:
    """Return the seconds after which a caller with this patience should retry."""
    return patience * LONGEST_WAIT_SHARE * (1 - WAIT_SPREAD * generator.random())


class PatienceTracker:
    """The longest time that callers of a route were willing to wait, in seconds."""

    __slots__ = ("longest",)

    def __init__(self) -> None:
        self.longest = 0.0

    def is_fresh(self, patience: float | None) -> bool:
        """Return whether a caller is probably new, not retrying; record its patience.

        patience is its remaining time in seconds; None counts as new.
        """
        if patience is None:
            return True
        self.longest = max(self.longest, patience)
        return patience >= NEW_CALLER_SHARE * self.longest

    def recognised_after(self, patience: float) -> float:
        """Return the wait after which a caller with this patience counts as retrying.

        With a negative result it does already.
        """
        return patience - NEW_CALLER_SHARE * self.longest
