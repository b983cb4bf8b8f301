"""Choose an endpoint for a request.

Load patterns: many entries choose among the same endpoints by delayed load reports;
endpoints differ in zone, in whether they are warm and in which models they have loaded;
requests that share a prompt prefix run faster where that prefix is cached, until all of
them go there. With a naive choice every entry picks the endpoint that was last reported
idle and overloads it, a cold endpoint gets as many requests as a warm one, and a
popular prefix overloads a single endpoint.

A report is corrected by the requests that this entry has sent and finished since: the
report includes how many of its requests the agent had received. The entry's own zone is
preferred while it has capacity. Two random candidates are compared, which makes the
choices of different entries differ and gives most of the benefit of comparing all. Each
prefix is mapped to an endpoint on a consistent-hash ring; while that endpoint's load
exceeds a bound relative to the mean, the following endpoints on the ring are used.

The load figures are maintained as reports arrive, and a choice examines only a few
candidates, so its cost doesn't grow with the number of endpoints.
"""

import bisect
import enum
import hashlib
from dataclasses import dataclass, field

SAMPLE_SIZE = 4
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_ENDPOINTS = 4
AFFINITY_POINTS_EXAMINED = 32
AFFINITY_SLACK = 1.0
RING_POINTS_PER_NAME = 32


class RoutingPolicy(enum.StrEnum):
    """Routing policies; all but ADAPTIVE are baselines for experiments."""

    ADAPTIVE = "adaptive"
    ROUND_ROBIN = "round-robin"
    RANDOM = "random"
    LEAST_REPORTED = "least-reported"


@dataclass(slots=True, eq=False)
class Candidate:
    """State of one endpoint as known to this entry."""

    name: str
    zone: str
    # From the latest report; running and waiting count the requests of all entries.
    running: int = 0
    waiting: int = 0
    limit: int = 1
    warm: bool = True
    loaded: frozenset[str] = frozenset()
    # Total requests that this entry has sent on this connection, and that have ended.
    sent: int = 0
    ended: int = 0
    # Those of them that the latest report includes.
    sent_seen: int = 0
    ended_seen: int = 0
    # This entry's unanswered requests of each organisation.
    own: dict[str, int] = field(default_factory=dict)

    @property
    def outstanding(self):
        """Return the requests at the endpoint: reported, plus own ones sent since."""
        unreported = (self.sent - self.sent_seen) - (self.ended - self.ended_seen)
        return max(self.running + self.waiting + unreported, self.sent - self.ended, 0)

    @property
    def load(self):
        """Return the share of the limit in use; above 1, requests wait."""
        return self.outstanding / max(self.limit, 1)

    @property
    def has_room(self):
        """Return whether a request would not have to wait."""
        return self.outstanding < self.limit

    def sort_key(self, organisation):
        """Return the sort key of the endpoint for an organisation; lower is better.

        At a full endpoint an organisation waits behind its own requests and not behind
        all, as the agents queue fairly. If whole queues were compared, the work of all
        others would concentrate where an overloading organisation's queue is shortest.
        """
        if self.has_room:
            return (self.load, not self.warm)
        return (1 + self.own.get(organisation, 0) / self.limit, self.load)

    def report(self, *, running, waiting, limit, warm, received):
        """Update from a report; received counts this entry's requests at the agent."""
        self.running = running
        self.waiting = waiting
        self.limit = max(limit, 1)
        self.warm = warm
        self.sent_seen = min(received, self.sent)
        self.ended_seen = self.ended


@dataclass(slots=True)
class Pool:
    """Set of candidates that is modified and sampled in constant time.

    Removing a candidate moves the last one to its index.
    """

    candidates: list[Candidate] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)

    def add(self, candidate):
        if candidate.name not in self.positions:
            self.positions[candidate.name] = len(self.candidates)
            self.candidates.append(candidate)

    def remove(self, candidate):
        position = self.positions.pop(candidate.name, None)
        if position is None:
            return
        last = self.candidates.pop()
        if last is not candidate:
            self.candidates[position] = last
            self.positions[last.name] = position

    def sample(self, random):
        """Return a random candidate."""
        return self.candidates[int(random.random() * len(self.candidates))]


@dataclass(slots=True, frozen=True)
class RoutingPreference:
    """Preferences of a request for an endpoint; an empty text is no preference."""

    zone: str = ""
    organisation: str = ""
    # Model or adapter that should be loaded already.
    loaded: str = ""
    # Hash of the prompt's prefix.
    prefix: str = ""
    # Names of endpoints that were tried already.
    tried: frozenset[str] = frozenset()


def ring_position(text):
    """Return the position of a text on the hash ring."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class HashRing:
    """Consistent-hash ring that maps prefixes to the endpoints of one zone.

    A removed name stays on the ring and is skipped, so that no work is needed when a
    zone goes out and comes back; the ring is rebuilt when most names are removed.
    """

    __slots__ = ("departed", "members", "names", "points")

    def __init__(self):
        self.members = set()
        self.departed = set()
        self.points = []
        self.names = {}

    def add(self, name):
        """Add a name at several positions on the ring, or restore a removed one."""
        self.departed.discard(name)
        if name in self.members:
            return
        self.members.add(name)
        for index in range(RING_POINTS_PER_NAME):
            position = ring_position(f"{name}/{index}")
            bisect.insort(self.points, position)
            self.names[position] = name

    def remove(self, name):
        """Mark a name as removed."""
        self.departed.add(name)
        if len(self.departed) * 2 > len(self.members):
            self.rebuild()

    def rebuild(self):
        """Drop the positions of removed names."""
        self.members -= self.departed
        self.departed.clear()
        self.points = [each for each in self.points if self.names[each] in self.members]
        self.names = {position: self.names[position] for position in self.points}

    def names_after(self, position):
        """Return the first few distinct names after a position on the ring."""
        start = bisect.bisect(self.points, position)
        found = {}
        for step in range(min(len(self.points), AFFINITY_POINTS_EXAMINED)):
            name = self.names[self.points[(start + step) % len(self.points)]]
            if name not in self.departed:
                found[name] = None
            if len(found) >= AFFINITY_ENDPOINTS:
                break
        return list(found)


class EndpointView:
    """Eligible endpoints of one service as known to this entry."""

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
        # Sums over all candidates, maintained for the load bound on prefix affinity.
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
        self.rings.setdefault(candidate.zone, HashRing()).add(candidate.name)
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
        """Yield the pools that a candidate belongs to, created if new."""
        yield self.all
        yield self.by_zone.setdefault(candidate.zone, Pool())
        for name in candidate.loaded:
            yield self.by_loaded.setdefault((candidate.zone, name), Pool())

    def count(self, candidate, sign):
        """Add a candidate to the sums, or subtract it with sign -1."""
        self.outstanding += sign * candidate.outstanding
        self.limits += sign * candidate.limit

    def report(self, candidate, *, loaded=frozenset(), **values):
        """Update an endpoint, eligible or not, from its report."""
        known = candidate.name in self.candidates
        if known:
            self.count(candidate, -1)
        if known and loaded != candidate.loaded:
            self.move_between_pools(candidate, loaded)
        candidate.loaded = loaded
        candidate.report(**values)
        if known:
            self.count(candidate, 1)

    def move_between_pools(self, candidate, loaded):
        """Move a candidate to the pools of the models it has loaded now."""
        for name in candidate.loaded - loaded:
            self.by_loaded[candidate.zone, name].remove(candidate)
        for name in loaded - candidate.loaded:
            pool = self.by_loaded.setdefault((candidate.zone, name), Pool())
            pool.add(candidate)

    def sent(self, candidate, organisation=""):
        """Count a request that this entry sent."""
        candidate.own[organisation] = candidate.own.get(organisation, 0) + 1
        self.count_own(candidate, sent=1)

    def ended(self, candidate, organisation=""):
        """Count the end of a request that this entry sent."""
        left = candidate.own.pop(organisation) - 1
        if left:
            candidate.own[organisation] = left
        self.count_own(candidate, ended=1)

    def count_own(self, candidate, sent=0, ended=0):
        """Count requests of this entry that were sent or ended."""
        before = candidate.outstanding
        candidate.sent += sent
        candidate.ended += ended
        if candidate.name in self.candidates:
            self.outstanding += candidate.outstanding - before

    def choose(self, preference, random):
        """Return the endpoint for a request, or None if there is none to try."""
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
                return self.choose_adaptive(preference, random)

    def next_in_turn(self):
        """Return the next candidate in round-robin order."""
        self.turn += 1
        return self.all.candidates[self.turn % len(self.all.candidates)]

    def choose_adaptive(self, preference, random):
        """Return the endpoint by prefix, zone, loaded models and load."""
        if preference.prefix and (prefix_endpoint := self.prefix_endpoint(preference)):
            return prefix_endpoint
        best = None
        for pool in self.pools_to_try(preference):
            found = self.best_of_sample(pool, preference, random)
            if found is not None and found.has_room:
                return found
            best = less_loaded(best, found, preference)
        return best or self.first_untried(preference)

    def pools_to_try(self, preference):
        """Return the non-empty pools to choose from, in order of preference."""
        pools = []
        if preference.loaded:
            pools.append(self.by_loaded.get((preference.zone, preference.loaded)))
        pools += [self.by_zone.get(preference.zone), self.all]
        return [pool for pool in pools if pool is not None and pool.candidates]

    def best_of_sample(self, pool, preference, random):
        """Return the best of two random candidates, or of four if those are full."""
        best = None
        for index in range(SAMPLE_SIZE):
            if index >= 2 and best is not None and best.has_room:
                break
            each = pool.sample(random)
            if each.name not in preference.tried:
                best = less_loaded(best, each, preference)
        return best

    def first_untried(self, preference):
        """Return an untried endpoint that sampling missed, or None.

        At most one endpoint more than were tried is examined.
        """
        untried = (
            each
            for name, each in self.candidates.items()
            if name not in preference.tried
        )
        return next(untried, None)

    def prefix_endpoint(self, preference):
        """Return the prefix's endpoint on the ring within the load bound, or None."""
        ring = self.rings.get(preference.zone)
        if ring is None:
            return None
        mean = self.outstanding / max(self.limits, 1)
        for name in ring.names_after(ring_position(preference.prefix)):
            candidate = self.candidates.get(name)
            if candidate is None or not candidate.warm or name in preference.tried:
                continue
            bound = AFFINITY_LOAD_FACTOR * mean * candidate.limit + AFFINITY_SLACK
            if candidate.outstanding <= bound:
                return candidate
        return None


def less_loaded(first, second, preference):
    """Return the candidate with the lower sort key; either may be None."""
    if first is None or second is None:
        return first or second
    return min(first, second, key=lambda each: each.sort_key(preference.organisation))
