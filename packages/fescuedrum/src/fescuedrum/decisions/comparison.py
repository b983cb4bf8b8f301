"""Compare what one organisation received in an interval with what its peers did.

Load pattern, measures and the grounds for all figures stand in `fairness`, which adds
up what single intervals say here.
"""

import bisect
import enum
import math
from collections import Counter
from dataclasses import dataclass, field

HARM = 2.0
LINE = 0.75
MINIMUM_PEERS = 30
MINIMUM_REQUESTS = 5
MAXIMUM_BIT_RATE = 0.95
ALIKE_EXCESS = 1.25
PLACE_SHARE = 0.4
PLACE_LIFT = 1.5
PEER_SAMPLE = 200
SIZE_STEPS = (8, 32, 128, 512, 2048, 8192)
# A yes or no has no quartile: yes is worse.
BETWEEN_NO_AND_YES = 0.5


class Measure(enum.StrEnum):
    """Name what is compared, and so what a finding is about."""

    WAIT = "wait"
    FIRST_TOKEN = "first-token"
    TOTAL = "total"
    REFUSED = "refused"
    COLD = "cold"
    REPEATED = "repeated"


BINARY = frozenset((Measure.REFUSED, Measure.COLD, Measure.REPEATED))
OF_DEMAND = frozenset((Measure.WAIT, Measure.REFUSED))


@dataclass(slots=True, frozen=True)
class Observation:
    """Hold what one request received; times in seconds."""

    organisation: str
    service: str
    rank: int
    # Cost asked for, and received when it was answered.
    cost: float
    answered: bool
    refused: bool = False
    wait: float = 0.0
    first_token: float = 0.0
    total: float = 0.0
    cold: bool = False
    repeated: bool = False
    # Zone and name of the endpoint that answered.
    zone: str = ""
    endpoint: str = ""
    streamed: bool = False

    @property
    def group(self):
        """Return what makes requests comparable."""
        size = bisect.bisect(SIZE_STEPS, self.cost)
        return (self.service, self.rank, size, self.streamed)


@dataclass(slots=True)
class Account:
    """Hold what an organisation was entitled to and received."""

    weight: float = 1.0
    requests: int = 0
    answered: int = 0
    refused: int = 0
    cold: int = 0
    repeated: int = 0
    asked: float = 0.0
    received: float = 0.0
    entitled: float = 0.0
    wait: float = 0.0
    first_token: float = 0.0
    by_class: dict[int, int] = field(default_factory=dict)
    by_zone: dict[str, int] = field(default_factory=dict)

    def add(self, observation):
        self.requests += 1
        self.asked += observation.cost
        self.refused += observation.refused
        self.cold += observation.cold
        self.repeated += observation.repeated
        self.by_class[observation.rank] = self.by_class.get(observation.rank, 0) + 1
        if observation.answered:
            self.answered += 1
            self.received += observation.cost
            self.wait += observation.wait
            self.first_token += observation.first_token
            zone = observation.zone
            self.by_zone[zone] = self.by_zone.get(zone, 0) + 1


@dataclass(slots=True, frozen=True)
class Comparison:
    """Hold one organisation's interval beside its peers'."""

    log_ratio: float
    own: float
    peers: float
    common: str


class Interval:
    """Hold the observations of one interval, grouped for comparison."""

    __slots__ = ("asked", "entitled", "excess", "groups", "samples")

    def __init__(self, observations, accounts, recent=()):
        # Group to organisation to its observations.
        self.groups = {}
        self.samples = {}
        self.asked = {}
        for each in observations:
            group = self.groups.setdefault(each.group, {})
            group.setdefault(each.organisation, []).append(each)
            asked = self.asked.get(each.organisation, 0.0)
            self.asked[each.organisation] = asked + each.cost
        self.entitled = self.find_entitled(observations, accounts)
        self.excess = self.find_excess(accounts, [*recent, self.asked])

    @property
    def organisations(self):
        return list(self.asked)

    def find_entitled(self, observations, accounts):
        """Return the cost each was entitled to; with nothing refused, what it asked."""
        if not any(each.refused for each in observations):
            return dict(self.asked)
        served = sum(each.cost for each in observations if each.answered)
        weights = {
            name: accounts[name].weight for name in self.asked if name in accounts
        }
        return water_fill(self.asked, weights, served)

    def find_excess(self, accounts, recent):
        """Return the multiple of its share that each asked for lately, at least 1.

        What was asked an interval ago still waits, or was served early and is being
        made up for, so that one interval alone does not tell equal demand.
        """
        asked = {
            name: sum(demand.get(name, 0.0) for demand in recent) for name in self.asked
        }
        weights = {
            name: accounts[name].weight if name in accounts else 1.0 for name in asked
        }
        share = sum(asked.values()) / max(sum(weights.values()), 1e-9)
        return {
            name: max(1.0, cost / max(share * weights[name], 1e-9))
            for name, cost in asked.items()
        }

    def compare(self, organisation, measure):
        """Compare an organisation with its peers; None without enough to compare."""
        tally = Tally(measure)
        of_demand = measure in OF_DEMAND
        for key, group in self.groups.items():
            mine = group.get(organisation, ())
            if len(mine) >= MINIMUM_REQUESTS:
                tally.add(mine, self.peers(organisation, of_demand, key))
        return tally.comparison()

    def peers(self, organisation, of_demand, key):
        """Return a sample of the peers' observations, drawn once for all measures."""
        sample = (organisation, of_demand, key)
        if sample not in self.samples:
            self.samples[sample] = self.draw_peers(organisation, of_demand, key)
        return self.samples[sample]

    def draw_peers(self, organisation, of_demand, key):
        """Return as many observations of each peer."""
        group = self.groups[key]
        names = [
            name
            for name in group
            if name != organisation
            and not (of_demand and self.differ_in_demand(organisation, name))
        ]
        each = -(-PEER_SAMPLE // max(len(names), 1))
        return [
            observation for name in names for observation in spread(group[name], each)
        ]

    def differ_in_demand(self, first, second):
        ratio = self.excess[first] / self.excess[second]
        return not 1 / ALIKE_EXCESS <= ratio <= ALIKE_EXCESS


def spread(values, count):
    """Return about this many of the values, spread over all of them."""
    return values[:: len(values) // count + 1]


class Tally:
    """Sum the log-likelihood of an organisation's bits over groups."""

    __slots__ = (
        "count",
        "log_ratio",
        "measure",
        "own",
        "peers",
        "peers_count",
        "seen",
        "worse",
    )

    def __init__(self, measure):
        self.measure = measure
        self.log_ratio = 0.0
        self.count = 0
        self.own = 0.0
        self.peers = 0.0
        self.peers_count = 0
        self.worse = []
        self.seen = []

    def add(self, mine, peers):
        """Add one group's observations."""
        pairs = [(each, value_of(each, self.measure)) for each in mine]
        pairs = [(each, value) for each, value in pairs if value is not None]
        values = [value_of(each, self.measure) for each in peers]
        values = sorted(value for value in values if value is not None)
        if len(values) < MINIMUM_PEERS or len(pairs) < MINIMUM_REQUESTS:
            return
        line = self.line(values)
        worse = [each for each, value in pairs if value > line]
        self.add_bits(len(worse), len(pairs), values, line)
        self.count += len(pairs)
        self.own += sum(value for _, value in pairs)
        self.peers += sum(values)
        self.peers_count += len(values)
        self.worse += worse
        self.seen += mine

    def line(self, values):
        if self.measure in BINARY:
            return BETWEEN_NO_AND_YES
        return values[int(len(values) * LINE)]

    def add_bits(self, worse, count, values, line):
        above = len(values) - bisect.bisect_right(values, line)
        # One more than was seen: a few peers must not make a rare bit look impossible.
        usual = min((above + 1) / (len(values) + 1), MAXIMUM_BIT_RATE / HARM)
        harmed = usual * HARM
        self.log_ratio += worse * math.log(harmed / usual)
        self.log_ratio += (count - worse) * math.log((1 - harmed) / (1 - usual))

    def comparison(self):
        if not self.count:
            return None
        return Comparison(
            self.log_ratio,
            self.own / self.count,
            self.peers / self.peers_count,
            common_place(self.worse, self.seen),
        )


def value_of(observation, measure):
    """Return what is compared: higher is worse; None where it says nothing."""
    match measure:
        case Measure.REFUSED:
            return float(observation.refused)
        case Measure.REPEATED:
            return float(observation.repeated)
    if not observation.answered:
        return None
    match measure:
        case Measure.WAIT:
            return observation.wait
        case Measure.FIRST_TOKEN:
            return observation.first_token - observation.wait
        case Measure.TOTAL:
            return observation.total - observation.wait
        case Measure.COLD:
            return float(observation.cold)


def common_place(worse, seen):
    """Return the endpoint or zone at which worse answers gather, or an empty text."""
    for kind in ("endpoint", "zone"):
        among_worse = Counter(getattr(each, kind) for each in worse)
        among_all = Counter(getattr(each, kind) for each in seen)
        for name, count in among_worse.most_common(1):
            share = count / len(worse)
            usual = among_all[name] / len(seen)
            if name and share >= max(PLACE_SHARE, PLACE_LIFT * usual):
                return f"{kind} {name}"
    return ""


def water_fill(asked, weights, capacity):
    """Share a capacity by weight; nobody gets more than asked, the rest goes on."""
    granted = {}
    left = dict(asked)
    while left:
        total = sum(weights.get(name, 1.0) for name in left)
        level = capacity / total if total else 0.0
        fits = {
            name: cost
            for name, cost in left.items()
            if cost <= level * weights.get(name, 1.0)
        }
        if not fits:
            granted |= {name: level * weights.get(name, 1.0) for name in left}
            break
        for name, cost in fits.items():
            granted[name] = cost
            capacity -= cost
            del left[name]
    return granted
