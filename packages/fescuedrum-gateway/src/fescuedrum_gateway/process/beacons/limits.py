"""Encode and decode what gateways tell each other of the rate limits of endpoints."""

from collections.abc import Iterable

from fescuedrum.decisions.placing.ratelimits import (
    Limited,
    RateLimits,
    RateReport,
    Unlimited,
    is_rate,
)
from fescuedrum.wire.gen.gateways.ttypes import EndpointLimit


def encode_limits(rate_limits: RateLimits, now: float) -> list[EndpointLimit]:
    """Return the rate limits that endpoints have named in the form of a beacon."""
    limits = []
    for endpoint, report in rate_limits.reports(now):
        limit = EndpointLimit(endpoint=endpoint, age=now - report.stated_at)
        if isinstance(report.rate, Limited):
            limit.per_second = report.rate.per_second
        limits.append(limit)
    return limits


def decode_limits(
    limits: Iterable[EndpointLimit], now: float
) -> list[tuple[str, RateReport]]:
    """Return the endpoints' rate limits in a beacon, without impossible ones."""
    reports = []
    for limit in limits:
        age, per_second = limit.age or 0.0, limit.per_second
        # With a negative age it would override what the endpoint itself says later.
        if not (is_rate(age) and (per_second is None or is_rate(per_second))):
            continue
        rate = Unlimited() if per_second is None else Limited(per_second)
        reports.append((limit.endpoint or "", RateReport(rate, now - age)))
    return reports
