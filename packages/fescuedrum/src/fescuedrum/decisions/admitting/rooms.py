"""Limit how many requests may be at an endpoint, so that new callers stay on time.

Load pattern: model engines run a fixed number of requests at a time and can serve a
third more than the usual load. After an outage of seconds the refused callers retry
while new ones arrive as usual: twice the usual load for as long as the callers were
told to wait. All requests are late: the retries in any case, the new ones because every
slot is taken, until the backlog is worked off.

New callers' requests are sent as long as an endpoint has a free slot, or nearly one:
in a full group of a dozen engines a slot becomes free about every 30 ms (72 slots,
streams of two seconds), so that a few waiting requests can still be answered on time.
Retries get only the slots that new requests leave free, or are refused at once: during
overload, waiting for such a slot is mostly in vain.

During overload a request that waits at an engine is late, and so are those behind it; a
slot that becomes free without a queue goes to a caller who can be answered on time. So
no request is sent to wait once the group's passes, which become longer with the number
of running requests, take half of the pause that callers allow. When the demand for
experts shifts, a pass becomes longer by half or more until the expert map is updated;
the more ranks share the experts, the longer, so large groups stop earlier. Free slots
are used however long the passes are: a stream that pauses for too long is only late,
while a caller who is refused for the second time is lost.

Plain services run requests of some tens of milliseconds, so a few rounds of waiting are
short compared with the time that callers have.
"""

import math

MAXIMUM_WAITING = 2
# Highest ratio of pass length to the pause that callers allow, in a group of
# BASE_RANKS, at which requests may wait at an engine.
MAXIMUM_WAITING_PASS_RATIO = 0.5
BASE_RANKS = 12
SHIFT_GROWTH = 0.125
CALLER_RETRY_SHARE = 2 / 3
PLAIN_ROUNDS = 3


def request_limit(
    slots: int,
    *,
    is_engine: bool,
    is_caller_retry: bool,
    pass_ratio: float = 0.0,
    ranks: int = BASE_RANKS,
) -> int:
    """Return how many requests may be at an endpoint with this many slots.

    pass_ratio is the ratio of its group's pass length to the pause that callers allow;
    ranks is the number of engines of its service.
    """
    if not is_engine:
        return slots * PLAIN_ROUNDS
    if is_caller_retry:
        return max(int(slots * CALLER_RETRY_SHARE), 1)
    may_wait = pass_ratio * shift_factor(ranks) <= MAXIMUM_WAITING_PASS_RATIO
    return slots + MAXIMUM_WAITING if may_wait else slots


def shift_factor(ranks: int) -> float:
    """Return how much more a demand shift lengthens passes than with BASE_RANKS.

    The result is a factor of at least 1.
    """
    return max(1 + SHIFT_GROWTH * math.log(max(ranks, 1) / BASE_RANKS), 1.0)
