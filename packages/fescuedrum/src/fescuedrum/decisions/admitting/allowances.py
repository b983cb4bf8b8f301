"""Enforce the usage limits that operators have set for each organisation.

Load pattern: a client program sends requests in an endless loop, or an organisation
outgrows the agreed volume. Fair queueing protects the shares of others, but lets the
organisation use all idle capacity. An operator who has sold a limit wants the limit
itself: otherwise callers get used to a speed in quiet hours that busy hours can't give.

The limits apply to the whole fleet. Entries don't coordinate: the balancer spreads
callers evenly, so each of n entries grants 1/n of a limit.
"""

from dataclasses import dataclass

BURST_SECONDS = 5.0
MINIMUM_BURST = 1.0


class Bucket:
    """Token bucket: grants amounts at a sustained rate, with a limited burst.

    An amount above the burst is granted when the bucket is full, and makes the level
    negative.
    """

    __slots__ = ("filled_at", "level")

    def __init__(self, now):
        self.level = None
        self.filled_at = now

    def wait_for(self, amount, rate, now):
        """Refill the bucket; return the seconds until an amount fits, 0 if it does."""
        burst = max(rate * BURST_SECONDS, MINIMUM_BURST)
        level = burst if self.level is None else self.level
        self.level = min(level + rate * (now - self.filled_at), burst)
        self.filled_at = now
        return max(min(amount, burst) - self.level, 0.0) / rate

    def take(self, amount):
        """Take a granted amount."""
        self.level -= amount


@dataclass(slots=True, frozen=True)
class Exceeded:
    """An exceeded limit: its setting's name, and the seconds until a retry may fit."""

    limit: str
    seconds: float


class Usage:
    """Requests, tokens and running requests of one organisation at one entry."""

    __slots__ = ("requests", "running", "tokens")

    def __init__(self, now):
        self.requests = Bucket(now)
        self.tokens = Bucket(now)
        self.running = 0


class OrganisationUsage:
    """Usage of every organisation at one entry; times are loop time."""

    __slots__ = ("usages",)

    def __init__(self):
        self.usages = {}

    def start_request(self, name, limits, tokens, entries, now):
        """Count a request as running, or return the limit that it exceeds."""
        usage = self.usages.get(name)
        if usage is None:
            usage = self.usages[name] = Usage(now)
        if exceeded := find_exceeded(usage, limits, tokens, entries, now):
            return exceeded
        usage.running += 1
        if limits.requests_per_second is not None:
            usage.requests.take(1.0)
        if limits.tokens_per_second is not None:
            usage.tokens.take(tokens)
        return None

    def end_request(self, name):
        """Count the end of a request that was counted as running."""
        self.usages[name].running -= 1


def find_exceeded(usage, limits, tokens, entries, now):
    """Return the first limit that a request would exceed, or None."""
    if limits.concurrent_requests is not None:
        allowed = max(-(-limits.concurrent_requests // entries), 1)
        if usage.running >= allowed:
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
