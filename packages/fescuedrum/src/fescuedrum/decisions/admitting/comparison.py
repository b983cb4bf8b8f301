"""Compare one organisation's service in an interval with that of its peers.

The load pattern, the measures and the reasons for the figures are described in
`fairness`, which accumulates the evidence of single intervals.
"""

import bisect
import enum
import math
from collections import Counter
from dataclasses import dataclass, field

HARM_FACTOR = 2.0
USUAL_QUANTILE = 0.75
MINIMUM_PEERS = 30
MINIMUM_REQUESTS = 5
MAXIMUM_HARMED_RATE = 0.95
COMPARABLE_EXCESS_RATIO = 1.25
COMMON_PLACE_SHARE = 0.4
COMMON_PLACE_LIFT = 1.5
PEER_SAMPLE_SIZE = 200
SIZE_STEPS = (8, 32, 128, 512, 2048, 8192)
# The usual value of measures that are 0 or 1, which have no quartile; 1 is worse.
BINARY_THRESHOLD = 0.5


class Measure(enum.StrEnum):
    """Measures that are compared, each of them the subject of its findings."""

    WAIT = "wait"
    FIRST_TOKEN = "first-token"
    TOTAL = "total"
    REFUSED = "refused"
    COLD = "cold"
    REPEATED = "repeated"


BINARY_MEASURES = frozenset((Measure.REFUSED, Measure.COLD, Measure.REPEATED))
DEMAND_MEASURES = frozenset((Measure.WAIT, Measure.REFUSED))


@dataclass(slots=True, frozen=True)
class Observation:
    """Outcome of one request; times in seconds."""

    organisation: str
    service: str
    rank: int
    # Cost requested; also the cost received if the request was answered.
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
        """Return the key shared by comparable requests."""
        size = bisect.bisect(SIZE_STEPS, self.cost)
        return (self.service, self.rank, size, self.streamed)


@dataclass(slots=True)
class Account:
    """Totals of what an organisation requested, was entitled to and received."""

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
        """Add one request's outcome to the totals."""
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
    """Result of comparing one organisation with its peers in one interval."""

    log_ratio: float
    own: float
    peers: float
    common: str


class Interval:
    """Observations of one interval, grouped for comparison."""

    __slots__ = ("asked", "entitled", "excess", "groups", "samples")

    def __init__(self, observations, accounts, recent=()):
        # Group key to organisation to observations.
        self.groups = {}
        self.samples = {}
        self.asked = {}
        for each in observations:
            group = self.groups.setdefault(each.group, {})
            group.setdefault(each.organisation, []).append(each)
            asked = self.asked.get(each.organisation, 0.0)
            self.asked[each.organisation] = asked + each.cost
        self.entitled = self.compute_entitled(observations, accounts)
        self.excess = self.compute_excess(accounts, [*recent, self.asked])

    @property
    def organisations(self):
        return list(self.asked)

    def compute_entitled(self, observations, accounts):
        """Return the cost that each organisation was entitled to.

        If nothing was refused, that is what it requested.
        """
        if not any(each.refused for each in observations):
            return dict(self.asked)
        served = sum(each.cost for each in observations if each.answered)
        weights = {
            name: accounts[name].weight for name in self.asked if name in accounts
        }
        return water_fill(self.asked, weights, served)

    def compute_excess(self, accounts, recent):
        """Return the multiple of its share that each recently requested, at least 1.

        Requests of an earlier interval may still wait, or may have been served early at
        the cost of later ones, so one interval alone doesn't show equal demand.
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
        """Return the comparison with the peers, or None without enough observations."""
        tally = LikelihoodTally(measure)
        is_demand_measure = measure in DEMAND_MEASURES
        for key, group in self.groups.items():
            mine = group.get(organisation, ())
            if len(mine) >= MINIMUM_REQUESTS:
                tally.add(mine, self.peers(organisation, is_demand_measure, key))
        return tally.comparison()

    def peers(self, organisation, is_demand_measure, key):
        """Return a sample of the peers' observations, cached for all measures."""
        sample_key = (organisation, is_demand_measure, key)
        if sample_key not in self.samples:
            self.samples[sample_key] = self.draw_peers(
                organisation, is_demand_measure, key
            )
        return self.samples[sample_key]

    def draw_peers(self, organisation, is_demand_measure, key):
        """Return observations of the peers, at most the same number of each."""
        group = self.groups[key]
        names = [
            name
            for name in group
            if name != organisation
            and not (is_demand_measure and self.is_demand_different(organisation, name))
        ]
        each = -(-PEER_SAMPLE_SIZE // max(len(names), 1))
        return [
            observation
            for name in names
            for observation in sample_evenly(group[name], each)
        ]

    def is_demand_different(self, first, second):
        """Return whether two organisations' demands are too different to compare."""
        ratio = self.excess[first] / self.excess[second]
        return not 1 / COMPARABLE_EXCESS_RATIO <= ratio <= COMPARABLE_EXCESS_RATIO


def sample_evenly(values, count):
    """Return at most count values, evenly spaced over all of them."""
    return values[:: len(values) // count + 1]


class LikelihoodTally:
    """Sum of the log-likelihood ratio of an organisation's bits over groups."""

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
        """Add the organisation's and its peers' observations in one group."""
        pairs = [(each, value_of(each, self.measure)) for each in mine]
        pairs = [(each, value) for each, value in pairs if value is not None]
        values = [value_of(each, self.measure) for each in peers]
        values = sorted(value for value in values if value is not None)
        if len(values) < MINIMUM_PEERS or len(pairs) < MINIMUM_REQUESTS:
            return
        threshold = self.threshold(values)
        worse = [each for each, value in pairs if value > threshold]
        self.add_bits(len(worse), len(pairs), values, threshold)
        self.count += len(pairs)
        self.own += sum(value for _, value in pairs)
        self.peers += sum(values)
        self.peers_count += len(values)
        self.worse += worse
        self.seen += mine

    def threshold(self, values):
        """Return the value above which an observation is worse than usual."""
        if self.measure in BINARY_MEASURES:
            return BINARY_THRESHOLD
        return values[int(len(values) * USUAL_QUANTILE)]

    def add_bits(self, worse, count, values, threshold):
        """Add the log-likelihood ratio of this many worse bits out of count."""
        above = len(values) - bisect.bisect_right(values, threshold)
        # Add-one smoothing: with few peers, a rare bit must not look impossible.
        usual = min((above + 1) / (len(values) + 1), MAXIMUM_HARMED_RATE / HARM_FACTOR)
        harmed_rate = usual * HARM_FACTOR
        self.log_ratio += worse * math.log(harmed_rate / usual)
        self.log_ratio += (count - worse) * math.log((1 - harmed_rate) / (1 - usual))

    def comparison(self):
        """Return the comparison over all groups added, or None if there were none."""
        if not self.count:
            return None
        return Comparison(
            self.log_ratio,
            self.own / self.count,
            self.peers / self.peers_count,
            find_common_place(self.worse, self.seen),
        )


def value_of(observation, measure):
    """Return an observation's value of a measure; higher is worse.

    Return None if the measure doesn't apply to the observation.
    """
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


def find_common_place(worse, seen):
    """Return the endpoint or zone where worse answers concentrate, or an empty text."""
    for place_kind in ("endpoint", "zone"):
        among_worse = Counter(getattr(each, place_kind) for each in worse)
        among_all = Counter(getattr(each, place_kind) for each in seen)
        for name, count in among_worse.most_common(1):
            share = count / len(worse)
            usual = among_all[name] / len(seen)
            if name and share >= max(COMMON_PLACE_SHARE, COMMON_PLACE_LIFT * usual):
                return f"{place_kind} {name}"
    return ""


def water_fill(asked, weights, capacity):
    """Return each share of a capacity by weighted max-min fairness (water-filling).

    None gets more than it asked for; the remainder is shared among the others.
    """
    granted = {}
    left = dict(asked)
    while left:
        total = sum(weights.get(name, 1.0) for name in left)
        share_per_weight = capacity / total if total else 0.0
        satisfied = {
            name: cost
            for name, cost in left.items()
            if cost <= share_per_weight * weights.get(name, 1.0)
        }
        if not satisfied:
            granted |= {
                name: share_per_weight * weights.get(name, 1.0) for name in left
            }
            break
        for name, cost in satisfied.items():
            granted[name] = cost
            capacity -= cost
            del left[name]
    return granted
