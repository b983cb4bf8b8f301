"""Summarise a zone for the other zones, and keep the newest summary of each.

Load pattern: every zone needs to know the spare capacity of the others when it is full
or a zone goes out. Sending each member's state to each zone would grow with the square
of the fleet; a digest has a few numbers per service, whatever the number of endpoints.
Digests are sent less often the more zones there are, as every entry receives the digest
of each zone twice.

A digest is already old when it arrives. It carries its age, accumulated on the way, so
that no clocks of two hosts are compared. A digest older than a few intervals is
ignored: a zone that is cut off must not be taken for one with spare capacity.
"""

from dataclasses import dataclass, field

SHORTEST_INTERVAL_SECONDS = 3.0
# With 19 zones the interval is 9.5 s, and each entry of a zone of 20 sends 1.1 KB/s.
ZONES_PER_SECOND = 2.0
# Two of three digests may be lost; the remainder covers the transmission delay.
EXPIRY_INTERVALS = 3.4


@dataclass(slots=True)
class ServiceSum:
    """Totals over the endpoints of one service in one zone."""

    service: str
    endpoints: int = 0
    warm: int = 0
    limit: int = 0
    running: int = 0

    @property
    def left(self):
        """Return how many more requests the endpoints can run now."""
        return max(self.limit - self.running, 0)


@dataclass(slots=True)
class ZoneSum:
    """Summary of one zone as seen by one of its entries."""

    zone: str
    version: int = 0
    lowest_version: int = 0
    entries: int = 0
    agents: int = 0
    silent: int = 0
    services: dict = field(default_factory=dict)


def digest_interval(zones):
    """Return the seconds between two digests for this number of zones."""
    return max(SHORTEST_INTERVAL_SECONDS, zones / ZONES_PER_SECOND)


def summarise_zone(zone, members, loads, version):
    """Return the summary of a zone.

    loads are the (service, load report) pairs of the zone's endpoints.
    """
    alive = [member for member in members if not member.silent]
    summary = ZoneSum(
        zone,
        version=version,
        lowest_version=min([version, *(member.version for member in alive)]),
        entries=sum(member.role == "entry" for member in alive) + 1,
        agents=sum(member.role == "agent" for member in alive),
        silent=sum(member.silent for member in members),
    )
    for service, load in loads:
        service_sum = summary.services.setdefault(service, ServiceSum(service))
        service_sum.endpoints += 1
        service_sum.warm += bool(load.warm)
        service_sum.limit += load.limit or 0
        service_sum.running += load.running or 0
    return summary


class ZoneDigests:
    """The newest digest of each other zone; times are loop time in seconds."""

    __slots__ = ("made_at", "sums")

    def __init__(self):
        self.sums = {}
        self.made_at = {}

    def take(self, zone_sum, age, now):
        """Keep a digest if it is newer than the one held; return whether it is."""
        made_at = now - age
        if made_at <= self.made_at.get(zone_sum.zone, float("-inf")):
            return False
        self.made_at[zone_sum.zone] = made_at
        self.sums[zone_sum.zone] = zone_sum
        return True

    def current(self, now):
        """Return (digest, age in seconds) of each zone whose digest has not expired."""
        expiry = EXPIRY_INTERVALS * digest_interval(len(self.sums) + 1)
        return [
            (zone_sum, now - self.made_at[zone])
            for zone, zone_sum in self.sums.items()
            if now - self.made_at[zone] <= expiry
        ]
