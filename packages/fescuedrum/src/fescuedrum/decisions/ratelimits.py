"""Keep to the rate of requests that an endpoint takes from all gateways together.

Load pattern: an engine recovers, or its machine is shared for a while, and its answers
say how many requests a second it takes until further notice. A hundred gateways hear of
it one by one, each from an answer of its own, and none knows what the others send:
together they send many times what the engine takes, and it fails for all of them.

So each gateway keeps to its part of the rate (fescuedrum.decisions.shares), counted in
windows of some seconds, as rates may be below one request a second. What one gateway
was told it reports to the others with its beacons, and the newest report of an endpoint
counts for all. An endpoint ends its limit by an answer without a rate. As long as it
gets no request it can't, so after a silence a few gateways may send it one each.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

WINDOW_SECONDS = 4.0
# After so long without an answer of the endpoint, so many requests may probe it.
SILENT_SECONDS = 10.0
PROBE_REQUESTS = 3
# How long others are told that a limit has ended.
ENDED_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class Limited:
    """Say that an endpoint takes so many requests a second from all together."""

    per_second: float


@dataclass(slots=True, frozen=True)
class Unlimited:
    """Say that an endpoint names no rate."""


@dataclass(slots=True, frozen=True)
class NotUnderstood:
    """Say that an endpoint names a rate that can't be read."""

    text: str


Rate = Limited | Unlimited | NotUnderstood


@dataclass(slots=True, frozen=True)
class RateReport:
    """Hold what an endpoint's answer said of its rate, and when, in loop time."""

    rate: Limited | Unlimited
    stated_at: float


class RateLimits:
    """Know the newest report of each endpoint that is, or was lately, limited."""

    __slots__ = ("newest", "own")

    def __init__(self) -> None:
        # By name of endpoint; own holds what this gateway was told itself.
        self.newest: dict[str, RateReport] = {}
        self.own: dict[str, RateReport] = {}

    def observe(self, endpoint: str, rate: Rate, now: float) -> bool:
        """Take what an answer says; tell whether it changes the limit in force."""
        match rate:
            case NotUnderstood():
                return False
            case Unlimited() if endpoint not in self.newest:
                return False
        report = self.own[endpoint] = RateReport(rate, now)
        return self.merge(endpoint, report)

    def merge(self, endpoint: str, report: RateReport) -> bool:
        """Take another gateway's report; tell whether it changes the limit in force."""
        known = self.newest.get(endpoint)
        if known is not None and known.stated_at >= report.stated_at:
            return False
        self.newest[endpoint] = report
        return (known.rate if known else Unlimited()) != report.rate

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone or has started anew."""
        self.newest.pop(endpoint, None)
        self.own.pop(endpoint, None)

    def requests(self, endpoint: str, now: float) -> int | None:
        """Return what all may send an endpoint in a window; None without a limit."""
        match self.newest.get(endpoint):
            case RateReport(Limited(per_second), stated_at):
                is_silent = now - stated_at > SILENT_SECONDS
                least = PROBE_REQUESTS if is_silent else 1
                return max(int(per_second * WINDOW_SECONDS), least)
            case _:
                return None

    def limited(self) -> list[str]:
        """Return the endpoints that are limited at present."""
        return [
            endpoint
            for endpoint, report in self.newest.items()
            if isinstance(report.rate, Limited)
        ]

    def reports(self, now: float) -> Iterator[tuple[str, RateReport]]:
        """Yield what this gateway was told itself and others should know."""
        for endpoint, report in list(self.own.items()):
            is_old = now - report.stated_at > ENDED_SECONDS
            if is_old and isinstance(report.rate, Unlimited):
                self.forget(endpoint)
            else:
                yield endpoint, report


def is_rate(per_second: float) -> bool:
    """Tell whether a number can be a rate; not all that floats can hold are."""
    return math.isfinite(per_second) and per_second >= 0
