"""Assemble a site where requests of unequal priority compete for two groups."""

from dataclasses import dataclass, replace

from soak.conditions import Streams
from soak.ranks import ENGINE, RANKS, RankEndpoint, RankGroup
from soak.site import RANKED_SERVICE, ZONES, Site, SoakOrganisation, SoakRoute

KINDS = ("urgent", "usual", "later")
ROUTES = tuple(
    SoakRoute(name, f"/stream/{name}/", "stream", RANKED_SERVICE, priority)
    for priority, name in enumerate(KINDS)
)
# Priorities of organisations by number; the others have none.
OWN_PRIORITIES = {3: 0, 9: 0, 5: 2}
# The largest one first.
ORGANISATIONS = tuple(
    SoakOrganisation(f"org-{number}", f"key-{number}", OWN_PRIORITIES.get(number))
    for number in range(24)
)
GROUP_NAMES = ("g-1", "g-2")
PASS_SECONDS = 0.06
# Time by which each request that a rank runs prolongs the passes of its group.
PER_REQUEST_SECONDS = 0.01
# Passes come near it when all 8 places of each rank are taken.
LONGEST_PAUSE_SECONDS = 0.16
# An answer of these to a slow caller exceeds the buffers of its connection.
LONG_EVENTS = 48
LONG_EVENT_BYTES = 128 * 1024
SLOW_PREFIX = "slow-"


@dataclass(slots=True, frozen=True)
class Demand:
    """Describe requests that callers send independently of earlier ones."""

    per_second: float
    kinds: tuple[str, ...] = KINDS
    # None for all of them, by their size.
    organisation: SoakOrganisation | None = None
    # How often a refused request is repeated, and after which time; None for the time
    # that the refusal names.
    repeats: int = 1
    repeat_seconds: float | None = None


USUAL = Demand(24.0)


class DemandStreams(Streams):
    """Compute streams, which are long if the caller reads slowly."""

    def event_count(self, request_id):
        if request_id.startswith(SLOW_PREFIX):
            return LONG_EVENTS
        return super().event_count(request_id)

    def event(self, request_id, number):
        width = LONG_EVENT_BYTES if request_id.startswith(SLOW_PREFIX) else 0
        return super().event(request_id.ljust(width, "."), number)


class DemandGroup(RankGroup):
    """Make passes that take longer the more requests run."""

    def __init__(self, seed, name):
        super().__init__(seed, name)
        self.members = []
        self.slowdown = 1.0
        self.set_pass_seconds()

    def set_pass_seconds(self):
        running = sum(each.running for each in self.members)
        seconds = PASS_SECONDS + PER_REQUEST_SECONDS * running / RANKS
        self.group.pass_seconds = self.slowdown * seconds

    def has_free_places(self):
        return self.count_free_places() > 0

    def count_free_places(self):
        return sum(max(each.slots - each.running, 0) for each in self.members)


class DemandEndpoint(RankEndpoint):
    """Run requests up to its number of places, and refuse others."""

    def __init__(self, *arguments, ranks):
        super().__init__(*arguments, ranks=ranks)
        self.running = 0
        ranks.members.append(self)

    def must_refuse(self):
        return super().must_refuse() or self.running >= self.slots

    async def stream(self, *arguments):
        self.running += 1
        self.ranks.set_pass_seconds()
        try:
            return await super().stream(*arguments)
        finally:
            self.running -= 1
            self.ranks.set_pass_seconds()


class DemandSite(Site):
    """Hold two groups of ranks of one service, and the current demand."""

    # Each zone has a rank of each group.
    zones = ZONES * len(GROUP_NAMES)

    def __init__(self, random, plan):
        super().__init__(random, plan)
        self.streams = DemandStreams(plan.seed, plan.conditions)
        self.groups = {name: DemandGroup(plan.seed, name) for name in GROUP_NAMES}
        self.rank_groups = list(self.groups.values())
        times = {"step_ms": 1000 * PASS_SECONDS}
        times["per_seq_ms"] = 1000 * PER_REQUEST_SECONDS
        self.document = replace(
            self.document,
            routes=ROUTES,
            services=(RANKED_SERVICE,),
            organisations=ORGANISATIONS,
            longest_pause_ms=round(LONGEST_PAUSE_SECONDS * 1000),
            ranked_service=RANKED_SERVICE,
            engine=ENGINE | times,
        )
        self.demands = [USUAL]
        # When a group, by name, was down.
        self.down_spans = []

    def build_endpoint(self, *arguments):
        group = next(each for each in self.rank_groups if len(each.members) < RANKS)
        return DemandEndpoint(*arguments, ranks=group)
