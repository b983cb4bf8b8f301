"""Limit the requests per second that a cold endpoint receives.

Load pattern: an engine restarts or loses its caches, and every gateway sees it as the
least loaded. It fails under the requests that all of them send within the same second.
No list shows soon enough that an endpoint has become cold, so each gateway keeps to its
share of the limit (fescuedrum.decisions.placing.shares) for every endpoint at all
times.
"""

WINDOW_SECONDS = 1.0
# Requests sent within two different seconds may arrive within the same one.
SAFETY_FACTOR = 0.8


def cold_request_limit(
    cold_per_second: float, factor: float, slack: float
) -> int | None:
    """Return how many requests all gateways together may send one endpoint per second.

    Return None if cold_per_second sets no limit.
    """
    if cold_per_second <= 0:
        return None
    return max(int(SAFETY_FACTOR * (cold_per_second * factor + slack)), 1)
