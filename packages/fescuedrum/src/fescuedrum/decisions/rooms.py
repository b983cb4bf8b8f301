"""Bound how many requests may be at an endpoint, by what they can still gain.

Load pattern: model engines run a fixed number of requests at a time and can serve a
third more than what usually arrives. After an outage of seconds its refused callers
come back while new ones arrive as ever: twice the usual load for as long as they were
told to wait. All are late: the ones who came back in any case, the new ones because
every place is taken, and so for as long as it takes to work the backlog off.

New callers are sent on as long as an endpoint has a place, or nearly one: places of a
full group of a dozen engines come free every some 30 ms (72 places, streams of two
seconds), so that a few waiting requests can still be answered on time. Callers who came
back get only the places that new ones leave free, or are refused at once: while more
come than can be served, waiting for such a place is mostly for nothing.

A request that waits at an engine is late as soon as more come than can be served, and
so are those behind it: a place that is free at once goes to a caller who is on time
then. So none is sent to wait once passes, which grow with what a group runs, take half
of the pause that callers allow. When demand for experts moves, a pass gets half as long
again or more until the map follows; the more ranks share the experts, the longer, so
that large groups stop earlier. Places that are free are used however long passes are:
a stream that pauses for too long is only late, while a caller who is refused for the
second time is lost.

Plain services run requests of some tens of milliseconds; there a few rounds of waiting
are short against the time that callers have.
"""

import math

WAITING = 2
# Longest pass over the pause that callers allow, in a group of BASE_RANKS, with which
# requests may wait at an engine.
WAITING_STRAIN = 0.5
BASE_RANKS = 12
MOVE_GROWTH = 0.125
RETURNED_PART = 2 / 3
PLAIN_ROUNDS = 3


def request_limit(
    slots: int,
    *,
    is_engine: bool,
    is_caller_retry: bool,
    strain: float = 0.0,
    ranks: int = BASE_RANKS,
) -> int:
    """Return how many requests may be at an endpoint with so many slots.

    strain is the length of its group's passes over the pause that callers allow; ranks
    is how many engines its service has.
    """
    if not is_engine:
        return slots * PLAIN_ROUNDS
    if is_caller_retry:
        return max(int(slots * RETURNED_PART), 1)
    may_wait = strain * move_factor(ranks) <= WAITING_STRAIN
    return slots + WAITING if may_wait else slots


def move_factor(ranks: int) -> float:
    """Return by how much more a move lengthens passes than in a group of BASE_RANKS."""
    return max(1 + MOVE_GROWTH * math.log(max(ranks, 1) / BASE_RANKS), 1.0)
