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

The more requests a group runs, the longer its passes are, while it makes hardly more
events in a second: beyond some load every stream pauses for longer than its caller
allows, and all are late for as long as the load lasts. So as passes come near the pause
that callers allow, fewer requests are sent to each engine, but never less than half of
its places: a few are refused and come back, and the others are on time. Long before
that none is sent to wait at an engine: while more come than can be served, a place that
is free at once goes to a caller who is on time then.

When demand for experts moves, a pass gets half as long again or more until the map
follows, and if it is longer than the pause then, every stream that runs is late. The
more ranks share the experts, the fuller is the one with those in demand against the
mean, and the longer such a pass; so engines of large groups get fewer requests sooner.

Where passes are longer than the pause itself, all streams are late whatever the load:
one slow rank holds up its whole group. Refusing would only lose some, so all places are
used.

Plain services run requests of some tens of milliseconds; there a few rounds of waiting
are short against the time that callers have.
"""

import math

WAITING = 2
# Length of a pass over the pause that callers allow, in a group of BASE_RANKS: up to
# the first, requests may wait at an engine; from the second on fewer places are used,
# and from the third on the least.
WAITING_STRAIN = 0.5
EASY_STRAIN = 0.65
FULL_STRAIN = 0.95
BASE_RANKS = 12
MOVE_GROWTH = 0.125
# Part of an engine's places that is used at FULL_STRAIN and beyond.
LEAST_PART = 0.5
# From here on all streams are late, and places are used for what they can still give.
LATE_STRAIN = 1.1
RETURNED_PART = 2 / 3
PLAIN_ROUNDS = 3


def room(
    slots: int,
    *,
    is_engine: bool,
    returned: bool,
    strain: float = 0.0,
    ranks: int = BASE_RANKS,
) -> int:
    """Return how many requests may be at an endpoint with so many slots.

    strain is the length of its group's passes over the pause that callers allow; ranks
    is how many engines its service has.
    """
    if not is_engine:
        return slots * PLAIN_ROUNDS
    places = slots * open_part(strain, ranks)
    if returned:
        return max(int(places * RETURNED_PART), 1)
    waiting = WAITING if strain * move_factor(ranks) <= WAITING_STRAIN else 0
    return math.ceil(places) + waiting


def move_factor(ranks: int) -> float:
    """Return by how much more a move lengthens passes than in a group of BASE_RANKS."""
    return max(1 + MOVE_GROWTH * math.log(max(ranks, 1) / BASE_RANKS), 1.0)


def open_part(strain: float, ranks: int = BASE_RANKS) -> float:
    """Return the part of an engine's places that may be used."""
    if strain >= LATE_STRAIN:
        return 1.0
    moved = strain * move_factor(ranks)
    excess = (moved - EASY_STRAIN) / (FULL_STRAIN - EASY_STRAIN)
    return 1 - (1 - LEAST_PART) * min(max(excess, 0.0), 1.0)
