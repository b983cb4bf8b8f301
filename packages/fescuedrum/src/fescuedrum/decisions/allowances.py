"""Keep each organisation within the limits that operators have set for it.

Load pattern: a caller's program runs wild, or an organisation outgrows what was agreed.
Fair queueing keeps it from taking others' share, but what is free it may take, and an
operator who has sold a bound wants the bound. Without it a quiet hour raises
expectations that a busy one disappoints.

The limits are for the whole fleet. No entry asks another: the balancer spreads callers
evenly, so each of n entries grants an n-th part.
"""

from dataclasses import dataclass

BURST_SECONDS = 5.0
SMALLEST_BURST = 1.0


class Bucket:
    """Grant amounts at a sustained rate, with a burst saved up while nothing is asked.

    An amount above the burst is granted when the bucket is full, and leaves a debt.
    """

    __slots__ = ("filled_at", "level")

    def __init__(self, now):
        self.level = None
        self.filled_at = now

    def wait_for(self, amount, rate, now):
        """Return the seconds until an amount would be granted; 0 grants it."""
        burst = max(rate * BURST_SECONDS, SMALLEST_BURST)
        level = burst if self.level is None else self.level
        self.level = min(level + rate * (now - self.filled_at), burst)
        self.filled_at = now
        return max(min(amount, burst) - self.level, 0.0) / rate

    def take(self, amount):
        self.level -= amount


@dataclass(slots=True, frozen=True)
class Exceeded:
    """Say which limit is reached and after how many seconds to ask again."""

    limit: str
    seconds: float


class Usage:
    """Hold what one organisation uses at one entry."""

    __slots__ = ("requests", "running", "tokens")

    def __init__(self, now):
        self.requests = Bucket(now)
        self.tokens = Bucket(now)
        self.running = 0


class OrganisationUsage:
    """Hold what every organisation uses at one entry; times are loop time."""

    __slots__ = ("usages",)

    def __init__(self):
        self.usages = {}

    def start_request(self, name, limits, tokens, entries, now):
        """Count a request and return None, or return the limit that it exceeds."""
        usage = self.usages.get(name)
        if usage is None:
            usage = self.usages[name] = Usage(now)
        if exceeded := judge(usage, limits, tokens, entries, now):
            return exceeded
        usage.running += 1
        if limits.requests_per_second is not None:
            usage.requests.take(1.0)
        if limits.tokens_per_second is not None:
            usage.tokens.take(tokens)
        return None

    def end_request(self, name):
        """Count the end of a request that entered."""
        self.usages[name].running -= 1


def judge(usage, limits, tokens, entries, now):
    if limits.concurrent_requests is not None:
        granted = max(-(-limits.concurrent_requests // entries), 1)
        if usage.running >= granted:
            return Exceeded("concurrent_requests", 1.0)
    for name, bucket, amount in (
        ("requests_per_second", usage.requests, 1.0),
        ("tokens_per_second", usage.tokens, tokens),
    ):
        limit = getattr(limits, name)
        if limit is not None:
            seconds = bucket.wait_for(amount, limit / entries, now)
            if seconds > 0:
                return Exceeded(name, seconds)
    return None
