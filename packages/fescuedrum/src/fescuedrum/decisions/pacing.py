"""Pace heartbeats and reconnects.

Load pattern: a switch comes back, or all entries of a zone restart, and every process
dials every other at once; or a zone grows, and each new member adds heartbeats to all.
Without jitter the dials come in waves that fill the listeners' queues and fail
together; with a fixed interval a node's control traffic grows with its zone. So waits
double with each failure and are drawn from the whole interval, and heartbeats slow
down once there are more members than HEARTBEATS_PER_SECOND allows.

64 heartbeats a second are 9.5 KB a second sent: 45 bytes each, 52 of their packet's
headers, and 52 for the acknowledgement of the one that came the other way. With digests
and documents that leaves room within the 17 KB a second that a node may spend.
"""

HEARTBEATS_PER_SECOND = 64.0
# A member is silent after this many heartbeats that did not come.
MISSED_BEATS = 4
FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 5.0


def send_interval(
    base: float, members: int, beats_per_second: float = HEARTBEATS_PER_SECOND
) -> float:
    """Return the seconds between heartbeats to each of so many members."""
    return max(base, members / beats_per_second)


def allowed_silence(base, interval):
    """Return the seconds of silence after which a member is suspected."""
    return max(base, MISSED_BEATS * interval)


class MessageLimiter:
    """Keep messages to a mean rate; what was not used lately may be sent at once.

    Times are loop time in seconds.
    """

    __slots__ = ("burst_seconds", "per_second", "spent_until")

    def __init__(self, per_second: float, burst_seconds: float) -> None:
        self.per_second = per_second
        self.burst_seconds = burst_seconds
        # The rate is used up until then.
        self.spent_until = float("-inf")

    def due(self, now: float) -> float:
        """Return when the next messages may be sent."""
        return max(self.spent_until, now)

    def spend(self, messages: int, now: float) -> None:
        """Take messages that are sent now from the rate."""
        start = max(self.spent_until, now - self.burst_seconds)
        self.spent_until = start + messages / self.per_second


class Backoff:
    """Choose the wait before each attempt to connect."""

    __slots__ = ("failures", "random")

    def __init__(self, random):
        self.random = random
        self.failures = 0

    def succeeded(self):
        self.failures = 0

    def next_wait(self):
        """Return the seconds to wait after another connection ended or failed."""
        longest = min(FIRST_RETRY_SECONDS * 2**self.failures, LONGEST_RETRY_SECONDS)
        # Beyond this the wait no longer grows, and neither need the number.
        self.failures = min(self.failures + 1, 10)
        return self.random.uniform(longest / 2, longest)
