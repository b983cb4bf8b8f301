"""Bound what a cold endpoint gets in a second.

Load pattern: an engine starts anew, or loses its caches, and every gateway sees that it
is the least loaded. It fails under what all of them send it within the same second. No
list tells in time that an endpoint has turned cold, so each gateway keeps to its part
of the bound (fescuedrum.decisions.shares) for every endpoint and at all times.
"""

WINDOW_SECONDS = 1.0
# What is sent within one second may arrive within another one.
SAFE_PART = 0.8


def cold_request_limit(
    cold_per_second: float, factor: float, slack: float
) -> int | None:
    """Return what all may send one endpoint in a second; None without a bound."""
    if cold_per_second <= 0:
        return None
    return max(int(SAFE_PART * (cold_per_second * factor + slack)), 1)
