"""Bound how many requests may be at an endpoint, by what they can still gain.

Load pattern: model engines run a fixed number of requests at a time and can serve a
third more than what usually arrives. After an outage of seconds its refused callers
come back while new ones arrive as ever: twice the usual load for as long as they were
told to wait. All are late: the ones who came back in any case, the new ones because
every place is taken, and so for as long as it takes to work the backlog off.

New callers are sent on as long as an endpoint has a place, or nearly one: places of a
full group of a dozen engines come free every some 30 ms (72 places, streams of two
seconds), so that a few waiting requests can still be answered on time. Callers who came
back get only the places that new ones leave free. They have no further try, so they
wait in order for such a place, but only as long as one is likely to come; when more
wait than can be served they are refused at once.

Plain services run requests of some tens of milliseconds; there a few rounds of waiting
are short against the time that callers have.

Grounds for the figures. WAITING: one, two and four gave the same within noise on days
of all kinds; on a day of lasting overload one was better than four. RETURNED_PART: on a
calm day the engine chosen had three of six places taken at most (1,114 requests), so
two thirds leave new callers what they need; half was no better. PLAIN_ROUNDS: three
rounds of 25 ms leave an answer within 100 ms. MAXIMUM_RETURNED: estimated; an entry's
part of the spare places serves one or two in a second, and after an outage many are
free.
"""

WAITING = 2
RETURNED_PART = 2 / 3
PLAIN_ROUNDS = 3
MAXIMUM_RETURNED = 6


def room(slots, *, is_engine, returned):
    """Return how many requests may be at an endpoint with so many slots."""
    if not is_engine:
        return slots * PLAIN_ROUNDS
    if returned:
        return max(int(slots * RETURNED_PART), 1)
    return slots + WAITING
