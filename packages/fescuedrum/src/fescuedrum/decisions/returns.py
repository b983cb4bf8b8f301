"""Decide when refused callers should come back, and who goes first then.

Load pattern: a group of engines is down for seconds, because one rank left or a zone
is cut off, or more callers come than it can serve for as long. Callers try once more.
Told to come back soon they meet the same trouble, and both tries are lost; told nothing
they come back at once. A caller waits for a third of the time it has left at most, so
that is what it is told: whoever comes late enough is served, and an answer is worth the
same whether it is one second late or three.

A group that stalls refuses all that waited in it at the same moment, so waits are
spread, or they would all be back at another. They meet the callers of that moment, who
can still be answered on time, while they themselves are late in any case: so they go
behind. Who comes back is known by the time that is left, so a wait must be long enough
to tell such callers from new ones; otherwise they take the places of those who would be
on time.
"""

import random

LONGEST_PART = 0.98 / 3
SPREAD = 0.25
# New callers of one route have at least this part of its longest patience left.
FRESH_PART = 0.8
# How much less urgent a caller is who comes back.
RETRY_RANK_PENALTY = 3


def retry_delay(patience: float, chance: random.Random) -> float:
    """Return after how many seconds a caller with so much patience should come back."""
    return patience * LONGEST_PART * (1 - SPREAD * chance.random())


class PatienceTracker:
    """Follow how long the callers of a route are willing to wait, in seconds."""

    __slots__ = ("longest",)

    def __init__(self) -> None:
        self.longest = 0.0

    def is_fresh(self, patience: float | None) -> bool:
        """Tell whether a caller seems to come for the first time."""
        if patience is None:
            return True
        self.longest = max(self.longest, patience)
        return patience >= FRESH_PART * self.longest
