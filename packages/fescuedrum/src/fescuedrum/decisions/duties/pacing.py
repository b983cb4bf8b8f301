"""Limit the rate of heartbeats and of reconnection attempts.

Load pattern: a switch recovers, or all entries of a zone restart, and every process
connects to every other at once; or a zone grows, and each new member adds heartbeats to
all others. Without jitter the connection attempts come in waves that overflow the
listeners' queues and fail together; with a fixed interval a node's control traffic
grows with its zone. So the waits between attempts double with each failure and are
randomised, and heartbeats become less frequent once there are more members than
HEARTBEATS_PER_SECOND allows.

Sending 64 heartbeats per second takes 9.5 KB/s: 45 bytes each, 52 bytes of packet
headers, and 52 bytes to acknowledge a heartbeat of the other side. With digests and
documents this stays within the 17 KB/s that a node may send.
"""

HEARTBEATS_PER_SECOND = 64.0
# Consecutive heartbeats missed before a member counts as silent.
MISSED_HEARTBEATS = 4
FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 5.0


def send_interval(
    base: float, members: int, messages_per_second: float = HEARTBEATS_PER_SECOND
) -> float:
    """Return the seconds between heartbeats to each of this many members."""
    return max(base, members / messages_per_second)


def allowed_silence(base, interval):
    """Return the seconds of silence after which a member is suspected."""
    return max(base, MISSED_HEARTBEATS * interval)


class MessageLimiter:
    """Limit messages to a mean rate, with bursts of up to burst_seconds of that rate.

    Times are loop time in seconds.
    """

    __slots__ = ("burst_seconds", "per_second", "spent_until")

    def __init__(self, per_second: float, burst_seconds: float) -> None:
        self.per_second = per_second
        self.burst_seconds = burst_seconds
        # The time until which the rate is used up.
        self.spent_until = float("-inf")

    def due(self, now: float) -> float:
        """Return the time at which the next messages may be sent."""
        return max(self.spent_until, now)

    def spend(self, messages: int, now: float) -> None:
        """Record that messages are sent now."""
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
        # Beyond this the wait no longer grows.
        self.failures = min(self.failures + 1, 10)
        return self.random.uniform(longest / 2, longest)
