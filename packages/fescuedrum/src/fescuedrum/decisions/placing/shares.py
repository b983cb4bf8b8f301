"""Split an endpoint's request limit among gateways without coordination.

Load pattern: an engine restarts, or limits its rate, and every gateway sees it as the
least loaded. Forty of them send it one request each within the same second, and it
fails under their total. No gateway can count what the others send meanwhile, so the
limit is split in advance.

If there are more gateways than requests allowed, only some of them may send to the
endpoint. They differ from endpoint to endpoint, and are chosen by rendezvous hashing:
a gateway that joins or leaves changes one share at each endpoint, and gateways that
know different members for a moment disagree by no more than that. Most shares go to
gateways of the endpoint's own zone, which prefer it; the others go to gateways whose
own zone is full or out of service.

A gateway whose zone is unknown is counted both as inside and as outside the endpoint's
zone: the shares must not add up to more than the limit while gateways discover each
other.
"""

import collections
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fescuedrum.decisions.placing.topology import score

# Fraction of the total for gateways in the endpoint's zone, if not all can get a share.
OWN_ZONE_SHARE = 2 / 3


@dataclass(slots=True)
class PrecedingGateways:
    """Number of gateways that rank before this one at one endpoint."""

    # The endpoint's availability zone.
    zone: str
    # Gateways that are, or may be, in the endpoint's zone.
    in_zone: int = 0
    # Gateways that are, or may be, outside it.
    outside: int = 0
    in_total: int = 0

    def adjust(self, zone: str, change: int) -> None:
        """Add change (1 or -1) to the counts for a gateway in this zone."""
        self.in_total += change
        if zone in (self.zone, ""):
            self.in_zone += change
        if zone != self.zone:
            self.outside += change


class BoundShares:
    """This gateway's share of the request limit of each endpoint."""

    __slots__ = ("host", "members", "preceding", "zone", "zone_sizes")

    def __init__(self, host: str, zone: str) -> None:
        self.host = host
        self.zone = zone
        # Zones of the other gateways that may send, by host; empty while unknown.
        self.members: dict[str, str] = {}
        # Number of other gateways in each zone.
        self.zone_sizes: collections.Counter[str] = collections.Counter()
        # By endpoint name.
        self.preceding: dict[str, PrecedingGateways] = {}

    def follow(self, members: Mapping[str, str]) -> None:
        """Set the other gateways that may send now; members maps hosts to zones."""
        if members == self.members:
            return
        left = self.members.items() - members.items()
        joined = members.items() - self.members.items()
        for endpoint, preceding in self.preceding.items():
            self.count_preceding(endpoint, preceding, left, -1)
            self.count_preceding(endpoint, preceding, joined, 1)
        self.members = dict(members)
        self.zone_sizes = collections.Counter(self.members.values())

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is gone."""
        self.preceding.pop(endpoint, None)

    def allowed(self, endpoint: str, zone: str, total: int) -> int:
        """Return this gateway's share of the total requests that an endpoint may get.

        zone is the endpoint's zone. The total is per window of the limit in question.
        """
        preceding = self.preceding.get(endpoint)
        if preceding is None:
            preceding = self.preceding[endpoint] = PrecedingGateways(zone)
            self.count_preceding(endpoint, preceding, self.members.items(), 1)
        even, rest = divmod(total, 1 + len(self.members))
        if even:
            return even + (preceding.in_total < rest)
        in_zone = self.zone_sizes[zone] + (zone == self.zone)
        unknown = self.zone_sizes[""]
        outside = 1 + len(self.members) - in_zone - unknown
        if zone == self.zone:
            return int(preceding.in_zone < own_zone_total(total, outside + unknown))
        zone_total = min(own_zone_total(total, outside), in_zone + unknown)
        return int(preceding.outside < total - zone_total)

    def count_preceding(
        self,
        endpoint: str,
        preceding: PrecedingGateways,
        members: Iterable[tuple[str, str]],
        change: int,
    ) -> None:
        """Add change to the counts for each member that ranks before this gateway."""
        own_key = sort_key(self.host, endpoint)
        for host, zone in members:
            if sort_key(host, endpoint) < own_key:
                preceding.adjust(zone, change)


def own_zone_total(total: int, outside: int) -> int:
    """Return how many of the total go to gateways in the endpoint's zone.

    outside is the number of gateways that are not in it.
    """
    return max(int(total * OWN_ZONE_SHARE), 1, total - outside)


def sort_key(host: str, endpoint: str) -> tuple[int, str]:
    """Return the sort key of a gateway in an endpoint's order."""
    return (score(host, endpoint), host)
