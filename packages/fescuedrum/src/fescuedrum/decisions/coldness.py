"""Share out the requests that a cold endpoint bears in a second.

Load pattern: an engine starts anew, or loses its caches, and every gateway sees that it
is the least loaded. Forty of them send it a request each within the same second, and it
fails under what all of them together sent. None can count what others send meanwhile,
and no list tells in time that an endpoint has turned cold. So the bound is split
beforehand, for every endpoint and at all times.

Where gateways are more than the requests that an endpoint bears, only some of them may
send to it. Each endpoint has others, drawn by rendezvous hashing: a gateway that comes
or goes moves one place at each endpoint, and those that know different members for a
moment disagree by as much. A gateway then has a part of the endpoints to choose from.
"""

from collections.abc import Iterable

from fescuedrum.decisions.topology import score

WINDOW_SECONDS = 1.0
# What is sent within one second may arrive within another one.
SAFE_PART = 0.8


def cold_requests(cold_per_second: float, factor: float, slack: float) -> int | None:
    """Return what all may send one endpoint in a second; None without a bound."""
    if cold_per_second <= 0:
        return None
    return max(int(SAFE_PART * (cold_per_second * factor + slack)), 1)


class ColdShares:
    """Know this gateway's part of the requests that each endpoint bears."""

    __slots__ = ("host", "members", "positions")

    def __init__(self, host: str) -> None:
        self.host = host
        # The other gateways that may send.
        self.members: frozenset[str] = frozenset()
        # How many gateways go before this one, by name of endpoint.
        self.positions: dict[str, int] = {}

    def follow(self, hosts: Iterable[str]) -> None:
        """Take the other gateways that may send at present."""
        members = frozenset(hosts)
        if members == self.members:
            return
        joined, left = members - self.members, self.members - members
        for endpoint in self.positions:
            change = self.count_before(endpoint, joined)
            self.positions[endpoint] += change - self.count_before(endpoint, left)
        self.members = members

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint that is gone."""
        self.positions.pop(endpoint, None)

    def allowed(self, endpoint: str, total: int) -> int:
        """Return how many of total requests a second are for this gateway to send."""
        if endpoint not in self.positions:
            self.positions[endpoint] = self.count_before(endpoint, self.members)
        even, rest = divmod(total, 1 + len(self.members))
        return even + (self.positions[endpoint] < rest)

    def count_before(self, endpoint: str, hosts: Iterable[str]) -> int:
        own = place_of(self.host, endpoint)
        return sum(place_of(host, endpoint) < own for host in hosts)


def place_of(host: str, endpoint: str) -> tuple[int, str]:
    """Return where a gateway stands in the order of an endpoint."""
    return (score(host, endpoint), host)
