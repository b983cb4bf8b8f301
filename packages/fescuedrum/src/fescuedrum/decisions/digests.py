"""Sum up a zone for the others, and keep what they sum up.

Load pattern: every zone wants to know how much others can carry when it is full or a
zone leaves. Telling each member of each zone would grow with the fleet twice over; a
digest has a few numbers for each service, whatever the number of endpoints. They come
less often the more zones there are: every entry hears one of each zone, twice.

A digest is old by the time it arrives. It carries its age, added up on the way, so that
no clocks are compared, and one that is older than a few intervals counts for nothing: a
zone that is cut off must not be taken for one with room.
"""

from dataclasses import dataclass, field

SHORTEST_INTERVAL_SECONDS = 3.0
# 19 zones make it 9.5 s: 1.1 KB a second sent by each entry of a zone of 20.
ZONES_PER_SECOND = 2.0
# Two of three may be lost; the rest is for the way.
EXPIRY_INTERVALS = 3.4


@dataclass(slots=True)
class ServiceSum:
    """Sum up the endpoints of one service in one zone."""

    service: str
    endpoints: int = 0
    warm: int = 0
    limit: int = 0
    running: int = 0

    @property
    def left(self):
        """Return how many more requests the endpoints can carry now."""
        return max(self.limit - self.running, 0)


@dataclass(slots=True)
class ZoneSum:
    """Sum up one zone as one of its entries sees it."""

    zone: str
    version: int = 0
    lowest_version: int = 0
    entries: int = 0
    agents: int = 0
    silent: int = 0
    services: dict = field(default_factory=dict)


def digest_interval(zones):
    """Return the seconds between two digests with so many zones."""
    return max(SHORTEST_INTERVAL_SECONDS, zones / ZONES_PER_SECOND)


def summarise_zone(zone, members, loads, version):
    """Sum up a zone from its members and (service, load report) of its endpoints."""
    alive = [member for member in members if not member.silent]
    total = ZoneSum(
        zone,
        version=version,
        lowest_version=min([version, *(member.version for member in alive)]),
        entries=sum(member.role == "entry" for member in alive) + 1,
        agents=sum(member.role == "agent" for member in alive),
        silent=sum(member.silent for member in members),
    )
    for service, load in loads:
        line = total.services.setdefault(service, ServiceSum(service))
        line.endpoints += 1
        line.warm += bool(load.warm)
        line.limit += load.limit or 0
        line.running += load.running or 0
    return total


class ZoneDigests:
    """Keep the newest digest of each other zone."""

    __slots__ = ("made_at", "sums")

    def __init__(self):
        self.sums = {}
        self.made_at = {}

    def take(self, zone_sum, age, now):
        """Keep a digest if it is newer than the one held; tell whether it is."""
        made_at = now - age
        if made_at <= self.made_at.get(zone_sum.zone, float("-inf")):
            return False
        self.made_at[zone_sum.zone] = made_at
        self.sums[zone_sum.zone] = zone_sum
        return True

    def current(self, now):
        """Return (digest, age in seconds) of each zone heard of lately."""
        expiry = EXPIRY_INTERVALS * digest_interval(len(self.sums) + 1)
        return [
            (zone_sum, now - self.made_at[zone])
            for zone, zone_sum in self.sums.items()
            if now - self.made_at[zone] <= expiry
        ]
