"""Measure the demand for a contested service by urgency rank.

Load pattern: more requests arrive than a group of engines serves on time, of ranks
that are not equally urgent. Each gateway sees a part of them. The gateways report their
parts to each other, so that places can be kept for the more urgent ranks. Without a
measured rate the reserve would be a fixed share, which is unused while no urgent
request arrives and too small while many do.
"""

import collections
import math
from collections.abc import Iterable, Mapping

from fescuedrum.decisions.returning.retries import SlidingCount

# With the time until other gateways hear of it, demand that has ended is forgotten
# within a second.
WINDOW_SECONDS = 0.5
# Reported rates above this are invalid.
MAXIMUM_PER_SECOND = 10_000.0
# Ranks are dense and few; reported ranks above this are invalid.
MAXIMUM_RANK = 64
HISTORY_SECONDS = 10.0
BUCKET_SECONDS = 1.0
# Smallest part of all demand with which a rank counts as requested.
MINIMUM_SHARE = 0.02
# A process that has not run for this long discards what it measured before.
GAP_SECONDS = 3.0

# Requests per second by rank.
Rates = Mapping[int, float]


def is_valid(rank: int | None, per_second: float | None) -> bool:
    """Return whether a reported rank and rate are possible."""
    if rank is None or per_second is None or not 0 <= rank <= MAXIMUM_RANK:
        return False
    return math.isfinite(per_second) and 0 <= per_second <= MAXIMUM_PER_SECOND


def sum_rates(parts: Iterable[Rates], factor: float = 1.0) -> dict[int, float]:
    """Return the sum of the gateways' requests per second by rank, times a factor."""
    total = collections.defaultdict(float)
    for rates in parts:
        for rank, per_second in rates.items():
            total[rank] += factor * per_second
    return dict(total)


class DemandMeter:
    """Count the new requests that one gateway saw in the last half second."""

    __slots__ = ("arrivals",)

    def __init__(self) -> None:
        self.arrivals: dict[int, SlidingCount] = {}

    def observe(self, rank: int, now: float) -> None:
        """Count a new request."""
        if rank not in self.arrivals:
            self.arrivals[rank] = SlidingCount(WINDOW_SECONDS)
        self.arrivals[rank].add(now)

    def rates(self, now: float) -> dict[int, float]:
        """Return the requests per second by rank, without ranks that had none."""
        counts = {rank: each.value(now) for rank, each in self.arrivals.items()}
        return {rank: n / WINDOW_SECONDS for rank, n in counts.items() if n}


class DemandHistory:
    """Keep the demand of all gateways in HISTORY_SECONDS by rank."""

    __slots__ = ("added_at", "buckets")

    def __init__(self) -> None:
        # (start, requests by rank) of consecutive spans of BUCKET_SECONDS.
        self.buckets = collections.deque()
        self.added_at = float("-inf")

    def add(self, rates: Rates, now: float) -> None:
        """Add the rates that have applied since the last call."""
        seconds = now - self.added_at
        self.added_at = now
        if seconds > GAP_SECONDS:
            self.buckets.clear()
            seconds = 0.0
        if not self.buckets or now - self.buckets[-1][0] >= BUCKET_SECONDS:
            self.buckets.append((now, collections.Counter()))
        while self.buckets[0][0] <= now - HISTORY_SECONDS:
            self.buckets.popleft()
        requests = self.buckets[-1][1]
        for rank, per_second in rates.items():
            requests[rank] += per_second * seconds

    def requested_ranks(self) -> list[int]:
        """Return the ranks that make up MINIMUM_SHARE or more of the demand."""
        total = sum((each for _, each in self.buckets), collections.Counter())
        least = MINIMUM_SHARE * total.total()
        return sorted(rank for rank, n in total.items() if n > 0 and n >= least)
