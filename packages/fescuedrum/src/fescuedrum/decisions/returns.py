"""Decide when refused callers should come back, and who goes first then.

Load pattern: a group of engines is down for seconds, because one rank left or a zone
is cut off, and everything that arrives is refused. Callers try once more. Told to come
back soon they meet the same outage, and both tries are lost; told nothing they come
back at once. A caller waits for a third of the time it has left at most, so that is
what it is told while the end of the outage isn't known: whoever comes late enough is
served, and an answer is worth the same whether it is one second late or three.

A group that stalls refuses all that waited in it at the same moment, so waits are
spread, or they would all be back at another. They meet the callers of that moment, who
can still be answered on time, while they themselves are late in any case: so they go
behind.

An endpoint that is full has places again as soon as one of its requests ends, and a
caller who comes back then can still be answered soon.

Grounds for the figures. LONGEST_PART: the third is what callers keep to; a fiftieth is
left for the way. SPREAD: a group stalls for 1.5 s before it refuses; its callers come
back over as long. FRESH_PART: first tries
of one route were seen to give between 85% and all of the longest time; a second one
comes after a failure and a pause of up to a third, which takes it below that.
"""

import enum

LONGEST_PART = 0.98 / 3
SPREAD = 0.25
FRESH_PART = 0.8
# How much less urgent a caller is who comes back.
RETURNED_RANKS = 3


class Outage(enum.StrEnum):
    """Name what a refused caller has to wait for."""

    # The end is not known; it lasts a second or several.
    LONG = "long"
    # Places come free with each request that ends.
    FULL = "full"


def return_after(outage, patience, full_wait, random):
    """Return after how many seconds a caller with so much patience should come back."""
    longest = patience * LONGEST_PART
    match outage:
        case Outage.LONG:
            return longest * (1 - SPREAD * random.random())
        case Outage.FULL:
            return min(full_wait * (1 + random.random()), longest)


class UsualPatience:
    """Follow how long the callers of a route are willing to wait, in seconds."""

    __slots__ = ("longest",)

    def __init__(self):
        self.longest = 0.0

    def is_fresh(self, patience):
        """Tell whether a caller seems to come for the first time."""
        if patience is None:
            return True
        self.longest = max(self.longest, patience)
        return patience >= FRESH_PART * self.longest
