"""Refuse a stream at once that can't end before its caller's deadline.

Load pattern: for seconds, every pass of a group of engines takes ten times as long as
usual, because one rank is slow. A stream of usual length would need longer than its
caller waits. If such streams are sent all the same, they take the slots until their
deadlines pass: their callers get an incomplete answer after eight seconds, and short
streams, which would end in time, are refused because all slots are taken.

A gateway knows from its own streams how long passes take, and callers may state about
how many tokens they expect. A stream is refused if it could not end in time even if its
answer were a good deal shorter than stated, as such statements are often far off. A
stream without a statement is never refused. Only passes that have been long for more
than a second count, so that a move of demand or a short stall refuses nobody; short
streams are sent on, and their events show when passes are short again.
"""

import math

# Part of the stated answer that has to fit in the time left.
NEEDED_SHARE = 0.5


def seconds_needed(
    expected_tokens: int, tokens_per_event: int, pass_seconds: float
) -> float:
    """Return the least time that a stream of about this many tokens is sent for."""
    events = math.ceil(NEEDED_SHARE * expected_tokens / tokens_per_event)
    return events * pass_seconds


def can_end_in_time(
    expected_tokens: int,
    tokens_per_event: int,
    pass_seconds: float | None,
    seconds_left: float,
) -> bool:
    """Return whether a stream may end in the time left; True if that is not known.

    expected_tokens and tokens_per_event are 0, and pass_seconds is None, if unknown.
    """
    if not expected_tokens or not tokens_per_event or pass_seconds is None:
        return True
    needed = seconds_needed(expected_tokens, tokens_per_event, pass_seconds)
    return needed <= seconds_left
