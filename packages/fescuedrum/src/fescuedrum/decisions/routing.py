"""Choose an endpoint for a request.

Load patterns: many entries choose among the same endpoints on reports that lag;
endpoints differ in warmth, in zone and in what they have loaded; requests that share
a prompt prefix run faster where that prefix is cached, until all of them go there.
Without care every entry picks the endpoint that looked idle last and overruns it, a
cold endpoint is sent what a warm one carries, and a popular prefix makes a hot spot.

A report is corrected by what this entry has sent and had answered since: the report
says how many of its requests the agent had seen. The own zone goes first while it has
room. Two random candidates are compared, which keeps the choices of entries apart and
gives most of the gain of asking all. A prefix has a home on a hash ring and moves on
along the ring while the home's load is over a bound on the mean.

The view is kept up to date by reports, and a choice looks at a few candidates only,
so that its cost doesn't grow with the number of endpoints.
"""

import bisect
import enum
import hashlib
from dataclasses import dataclass, field

SAMPLES = 4
AFFINITY_BOUND = 1.25
AFFINITY_STEPS = 4
AFFINITY_POINTS = 32
AFFINITY_SLACK = 1.0
RING_POINTS = 32


class RoutingPolicy(enum.StrEnum):
    """Name how endpoints are chosen; all but the first are baselines to measure by."""

    ADAPTIVE = "adaptive"
    ROUND_ROBIN = "round-robin"
    RANDOM = "random"
    LEAST_REPORTED = "least-reported"


@dataclass(slots=True, eq=False)
class Candidate:
    """Hold what an entry knows of one endpoint."""

    name: str
    zone: str
    # From the latest report: running and waiting requests of all entries.
    running: int = 0
    waiting: int = 0
    limit: int = 1
    warm: bool = True
    loaded: frozenset[str] = frozenset()
    # Requests this entry sent and those that ended, ever, on this connection.
    sent: int = 0
    ended: int = 0
    # Of these, what the latest report had seen.
    sent_seen: int = 0
    ended_seen: int = 0
    # This entry's unanswered requests of each organisation.
    own: dict[str, int] = field(default_factory=dict)

    @property
    def outstanding(self):
        """Return requests at the endpoint: reported, and own ones sent since."""
        own_since = (self.sent - self.sent_seen) - (self.ended - self.ended_seen)
        return max(self.running + self.waiting + own_since, self.sent - self.ended, 0)

    @property
    def load(self):
        """Return the share of the limit in use; above 1 requests wait."""
        return self.outstanding / max(self.limit, 1)

    @property
    def has_room(self):
        return self.outstanding < self.limit

    def pressure(self, organisation):
        """Return what compares endpoints for an organisation; less is better.

        Where all places are taken, an organisation waits behind its own requests and
        not behind all: the agents share fairly. Comparing whole queues would gather
        the others' work where the queue of one that sends too much is shortest.
        """
        if self.has_room:
            return (self.load, not self.warm)
        return (1 + self.own.get(organisation, 0) / self.limit, self.load)

    def report(self, *, running, waiting, limit, warm, received):
        """Take a report; received counts this entry's requests seen by the agent."""
        self.running = running
        self.waiting = waiting
        self.limit = max(limit, 1)
        self.warm = warm
        self.sent_seen = min(received, self.sent)
        self.ended_seen = self.ended


@dataclass(slots=True)
class Pool:
    """Hold candidates so that adding, removing and sampling cost the same at any size.

    Removing swaps the last candidate into the gap.
    """

    candidates: list[Candidate] = field(default_factory=list)
    places: dict[str, int] = field(default_factory=dict)

    def add(self, candidate):
        if candidate.name not in self.places:
            self.places[candidate.name] = len(self.candidates)
            self.candidates.append(candidate)

    def remove(self, candidate):
        place = self.places.pop(candidate.name, None)
        if place is None:
            return
        last = self.candidates.pop()
        if last is not candidate:
            self.candidates[place] = last
            self.places[last.name] = place

    def sample(self, random):
        return self.candidates[int(random.random() * len(self.candidates))]


@dataclass(slots=True, frozen=True)
class RoutingPreference:
    """Say what a request would like; an empty text asks for nothing."""

    zone: str = ""
    organisation: str = ""
    # Model or adapter that should be loaded already.
    loaded: str = ""
    # Hash of the prompt's prefix.
    prefix: str = ""
    # Names of endpoints that were tried already.
    tried: frozenset[str] = frozenset()


def point(text):
    """Hash a text to a place on the ring."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class Ring:
    """Give each prefix a home among the endpoints of one zone.

    A name that left stays on the ring and is passed over, so that a zone that goes
    out and comes back costs nothing; the ring is built anew when most have left.
    """

    __slots__ = ("gone", "members", "names", "points")

    def __init__(self):
        self.members = set()
        self.gone = set()
        self.points = []
        self.names = {}

    def add(self, name):
        self.gone.discard(name)
        if name in self.members:
            return
        self.members.add(name)
        for index in range(RING_POINTS):
            place = point(f"{name}/{index}")
            bisect.insort(self.points, place)
            self.names[place] = name

    def remove(self, name):
        self.gone.add(name)
        if len(self.gone) * 2 > len(self.members):
            self.rebuild()

    def rebuild(self):
        self.members -= self.gone
        self.gone.clear()
        self.points = [each for each in self.points if self.names[each] in self.members]
        self.names = {place: self.names[place] for place in self.points}

    def names_from(self, place):
        """Return a few distinct names that follow a place on the ring."""
        start = bisect.bisect(self.points, place)
        found = {}
        for step in range(min(len(self.points), AFFINITY_POINTS)):
            name = self.names[self.points[(start + step) % len(self.points)]]
            if name not in self.gone:
                found[name] = None
            if len(found) >= AFFINITY_STEPS:
                break
        return list(found)


class EndpointView:
    """Hold one service's usable endpoints as one entry knows them."""

    __slots__ = (
        "all",
        "by_loaded",
        "by_zone",
        "candidates",
        "limits",
        "outstanding",
        "policy",
        "rings",
        "turn",
    )

    def __init__(self, policy=RoutingPolicy.ADAPTIVE):
        self.policy = policy
        self.candidates = {}
        self.all = Pool()
        self.by_zone = {}
        self.by_loaded = {}
        self.rings = {}
        self.turn = 0
        # Sums over all candidates, kept up to date for the bound on affinity.
        self.outstanding = 0
        self.limits = 0

    def __len__(self):
        return len(self.candidates)

    def add(self, candidate):
        """Make an endpoint eligible."""
        if candidate.name in self.candidates:
            return
        self.candidates[candidate.name] = candidate
        for pool in self.pools(candidate):
            pool.add(candidate)
        self.rings.setdefault(candidate.zone, Ring()).add(candidate.name)
        self.count(candidate, 1)

    def remove(self, name):
        """Make an endpoint ineligible: ejected, leaving, unreachable or zone out."""
        candidate = self.candidates.pop(name, None)
        if candidate is None:
            return
        self.count(candidate, -1)
        for pool in self.pools(candidate):
            pool.remove(candidate)
        self.rings[candidate.zone].remove(name)

    def pools(self, candidate):
        yield self.all
        yield self.by_zone.setdefault(candidate.zone, Pool())
        for name in candidate.loaded:
            yield self.by_loaded.setdefault((candidate.zone, name), Pool())

    def count(self, candidate, sign):
        self.outstanding += sign * candidate.outstanding
        self.limits += sign * candidate.limit

    def report(self, candidate, *, loaded=frozenset(), **values):
        """Take a report of an endpoint."""
        known = candidate.name in self.candidates
        if known:
            self.count(candidate, -1)
        if known and loaded != candidate.loaded:
            self.move(candidate, loaded)
        candidate.loaded = loaded
        candidate.report(**values)
        if known:
            self.count(candidate, 1)

    def move(self, candidate, loaded):
        for name in candidate.loaded - loaded:
            self.by_loaded[candidate.zone, name].remove(candidate)
        for name in loaded - candidate.loaded:
            pool = self.by_loaded.setdefault((candidate.zone, name), Pool())
            pool.add(candidate)

    def sent(self, candidate, organisation=""):
        """Count a request that this entry sent."""
        candidate.own[organisation] = candidate.own.get(organisation, 0) + 1
        self.shift(candidate, sent=1)

    def ended(self, candidate, organisation=""):
        """Count the end of a request that this entry sent."""
        left = candidate.own.pop(organisation) - 1
        if left:
            candidate.own[organisation] = left
        self.shift(candidate, ended=1)

    def shift(self, candidate, sent=0, ended=0):
        before = candidate.outstanding
        candidate.sent += sent
        candidate.ended += ended
        if candidate.name in self.candidates:
            self.outstanding += candidate.outstanding - before

    def choose(self, wish, random):
        """Return the endpoint for a request, or None when there is no other."""
        if not self.candidates:
            return None
        match self.policy:
            case RoutingPolicy.ROUND_ROBIN:
                return self.next_in_turn()
            case RoutingPolicy.RANDOM:
                return self.all.sample(random)
            case RoutingPolicy.LEAST_REPORTED:
                candidates = self.candidates.values()
                return min(candidates, key=lambda each: each.running + each.waiting)
            case RoutingPolicy.ADAPTIVE:
                return self.choose_adaptive(wish, random)

    def next_in_turn(self):
        self.turn += 1
        return self.all.candidates[self.turn % len(self.all.candidates)]

    def choose_adaptive(self, wish, random):
        if wish.prefix and (home := self.home(wish)):
            return home
        best = None
        for pool in self.nearest_pools(wish):
            found = self.best_of(pool, wish, random)
            if found is not None and found.has_room:
                return found
            best = lighter(best, found, wish)
        return best or self.any_untried(wish)

    def nearest_pools(self, wish):
        """Return the pools to look at, best first."""
        names = []
        if wish.loaded:
            names.append(self.by_loaded.get((wish.zone, wish.loaded)))
        names += [self.by_zone.get(wish.zone), self.all]
        return [pool for pool in names if pool is not None and pool.candidates]

    def best_of(self, pool, wish, random):
        """Compare two random candidates, and two more while none has room."""
        best = None
        for index in range(SAMPLES):
            if index >= 2 and best is not None and best.has_room:
                break
            each = pool.sample(random)
            if each.name not in wish.tried:
                best = lighter(best, each, wish)
        return best

    def any_untried(self, wish):
        """Return an endpoint that samples missed; looks at no more than were tried."""
        untried = (
            each for name, each in self.candidates.items() if name not in wish.tried
        )
        return next(untried, None)

    def home(self, wish):
        """Return the prefix's endpoint within the bound on load, or None."""
        ring = self.rings.get(wish.zone)
        if ring is None:
            return None
        mean = self.outstanding / max(self.limits, 1)
        for name in ring.names_from(point(wish.prefix)):
            candidate = self.candidates.get(name)
            if candidate is None or not candidate.warm or name in wish.tried:
                continue
            bound = AFFINITY_BOUND * mean * candidate.limit + AFFINITY_SLACK
            if candidate.outstanding <= bound:
                return candidate
        return None


def lighter(first, second, wish):
    """Return the one with less pressure."""
    if first is None or second is None:
        return first or second
    return min(first, second, key=lambda each: each.pressure(wish.organisation))
