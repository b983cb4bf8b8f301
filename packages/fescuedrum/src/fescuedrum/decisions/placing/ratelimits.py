"""Keep to the request rate that an endpoint accepts from all gateways together.

Load pattern: an engine recovers, or shares its machine for a while, and its answers
announce how many requests per second it accepts until further notice. A hundred
gateways learn of it one by one, each from an answer of its own, and none knows what the
others send: together they send many times the rate, and the engine fails for all.

So each gateway keeps to its share of the rate (fescuedrum.decisions.placing.shares),
counted in windows of several seconds, as rates may be below one request per second. A
gateway reports the rates announced to it to the others with its beacons, and the newest
report about an endpoint applies to all. An endpoint ends its limit by an answer without
a rate. It can't do so while it gets no requests, so after a silence a few gateways may
send it one request each as a probe.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

WINDOW_SECONDS = 4.0
# After SILENT_SECONDS without an answer, PROBE_REQUESTS may be sent per window.
SILENT_SECONDS = 10.0
PROBE_REQUESTS = 3
# Seconds for which the end of a limit is reported to other gateways.
ENDED_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class Limited:
    """The endpoint accepts this many requests per second from all gateways together."""

    per_second: float


@dataclass(slots=True, frozen=True)
class Unlimited:
    """The endpoint announces no rate limit."""


@dataclass(slots=True, frozen=True)
class NotUnderstood:
    """The endpoint announces a rate limit that can't be parsed."""

    text: str


Rate = Limited | Unlimited | NotUnderstood


@dataclass(slots=True, frozen=True)
class RateReport:
    """The rate limit in an endpoint's answer, and the loop time of the answer."""

    rate: Limited | Unlimited
    stated_at: float


class RateLimits:
    """The newest report of each endpoint that is, or recently was, limited."""

    __slots__ = ("newest", "own")

    def __init__(self) -> None:
        # By endpoint name; own has only the reports from this gateway's own requests.
        self.newest: dict[str, RateReport] = {}
        self.own: dict[str, RateReport] = {}

    def observe(self, endpoint: str, rate: Rate, now: float) -> bool:
        """Process the rate in an answer; return whether the limit in force changes."""
        match rate:
            case NotUnderstood():
                return False
            case Unlimited() if endpoint not in self.newest:
                return False
        report = self.own[endpoint] = RateReport(rate, now)
        return self.merge(endpoint, report)

    def merge(self, endpoint: str, report: RateReport) -> bool:
        """Process a report; return whether the limit in force changes."""
        known = self.newest.get(endpoint)
        if known is not None and known.stated_at >= report.stated_at:
            return False
        self.newest[endpoint] = report
        return (known.rate if known else Unlimited()) != report.rate

    def forget(self, endpoint: str) -> None:
        """Remove the reports of an endpoint that is gone or has restarted."""
        self.newest.pop(endpoint, None)
        self.own.pop(endpoint, None)

    def requests(self, endpoint: str, now: float) -> int | None:
        """Return how many requests all gateways may send an endpoint per window.

        Return None if the endpoint is not limited.
        """
        match self.newest.get(endpoint):
            case RateReport(Limited(per_second), stated_at):
                is_silent = now - stated_at > SILENT_SECONDS
                least = PROBE_REQUESTS if is_silent else 1
                return max(int(per_second * WINDOW_SECONDS), least)
            case _:
                return None

    def limited(self) -> list[str]:
        """Return the names of the endpoints that are limited now."""
        return [
            endpoint
            for endpoint, report in self.newest.items()
            if isinstance(report.rate, Limited)
        ]

    def reports(self, now: float) -> Iterator[tuple[str, RateReport]]:
        """Yield this gateway's own reports to send to others; remove expired ones."""
        for endpoint, report in list(self.own.items()):
            is_old = now - report.stated_at > ENDED_SECONDS
            if is_old and isinstance(report.rate, Unlimited):
                self.forget(endpoint)
            else:
                yield endpoint, report


def is_rate(per_second: float) -> bool:
    """Return whether a number is a valid rate: finite and not negative."""
    return math.isfinite(per_second) and per_second >= 0
