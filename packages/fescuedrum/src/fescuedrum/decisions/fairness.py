"""Find out when one organisation is served worse than its peers.

Load pattern: an organisation's work goes, by a rule, a placement or a fault, to what
serves it worse: a slow zone, cold endpoints, a queue that passes it over. Averages over
all look well, nobody is refused outright, and the organisation leaves before anyone
has noticed. This once happened; so each organisation is compared with its peers.

What is compared. Each request counts as one bit for each measure: was it worse than
what is usual among the peers for the same service, class and size of request? "Usual"
is the peers' upper quartile in the same interval, each peer organisation counting
alike. On equal demand an organisation that is treated alike is above that line as often
as its peers, whatever the load is and however the measure is distributed. Whoever asks
for more than its share is meant to wait and to be refused; so waits and refusals are
compared only among those who ask for about the same multiple of their share.

Chance. For each organisation and measure a sequential probability-ratio test adds, from
interval to interval, the log-likelihood of the bits under "worse by HARM" against
"alike", never below zero, and a finding is raised at a threshold that grows with the
number of comparisons. So the rate of false findings holds over all organisations and
measures, however often one looks.
"""

import enum
import math
from collections import deque
from dataclasses import dataclass

from fescuedrum.decisions.comparison import OF_DEMAND, Account, Interval, Measure

LEVEL = 1e-4
CLEAR_INTERVALS = 5
INTERVAL_EVIDENCE = 2.0
DEMAND_EVIDENCE = 0.7
DEMAND_INTERVALS = 6


class Decision(enum.StrEnum):
    """Name the decision through which an organisation came to be treated worse."""

    QUEUE = "queue"
    ROUTING = "routing"
    ADMISSION = "admission"
    ENDPOINT = "endpoint"


DECISIONS = {
    Measure.WAIT: Decision.QUEUE,
    Measure.FIRST_TOKEN: Decision.ENDPOINT,
    Measure.TOTAL: Decision.ENDPOINT,
    Measure.REFUSED: Decision.ADMISSION,
    Measure.COLD: Decision.ROUTING,
    Measure.REPEATED: Decision.ROUTING,
}


@dataclass(slots=True, frozen=True)
class Finding:
    """Say who is served worse, in what, by how much and through which decision."""

    id: str
    organisation: str
    measure: Measure
    # Mean of the organisation and of its peers: seconds, or shares of requests.
    own: float
    peers: float
    decision: Decision
    # What most of the worse answers have in common, where there is such.
    common: str
    since: float

    def __str__(self):
        where = f", mostly at {self.common}" if self.common else ""
        return (
            f"{self.id}: {self.organisation} is served worse in {self.measure.value}: "
            f"{self.own:.3g} against {self.peers:.3g} of its peers, through "
            f"{self.decision.value}{where}."
        )


@dataclass(slots=True)
class Evidence:
    """Hold the sequential test of one organisation and measure."""

    weight: float = 0.0
    alike_intervals: int = 0
    finding: Finding | None = None


class FairnessMonitor:
    """Compare organisations from interval to interval; now is loop time in seconds."""

    __slots__ = ("accounts", "evidence", "observations", "recent")

    def __init__(self):
        self.accounts = {}
        self.evidence = {}
        self.observations = []
        # What each organisation asked for in the last intervals.
        self.recent = deque(maxlen=DEMAND_INTERVALS)

    def observe(self, observation):
        """Take what a request received."""
        account = self.accounts.setdefault(observation.organisation, Account())
        account.add(observation)
        self.observations.append(observation)

    def set_weights(self, weights):
        """Take the organisations' weights; forget those that are gone."""
        for name, weight in weights.items():
            self.accounts.setdefault(name, Account()).weight = weight
        for name in set(self.accounts) - set(weights):
            del self.accounts[name]

    def findings(self):
        """Return what stands now, the strongest first."""
        raised = [each for each in self.evidence.values() if each.finding]
        raised.sort(key=lambda each: -each.weight)
        return [each.finding for each in raised]

    def close_interval(self):
        """Return what was observed since the last call, ready to be judged."""
        observations, self.observations = self.observations, []
        interval = Interval(observations, self.accounts, self.recent)
        self.recent.append(interval.asked)
        for name, cost in interval.entitled.items():
            if name in self.accounts:
                self.accounts[name].entitled += cost
        return interval

    def evaluate(self, organisation, interval, now):
        """Judge one organisation's interval; return newly raised findings."""
        judged = [
            self.judge_measure(organisation, measure, interval, now)
            for measure in Measure
        ]
        return [finding for finding in judged if finding]

    def judge_measure(self, organisation, measure, interval, now):
        comparison = interval.compare(organisation, measure)
        if comparison is None:
            return None
        evidence = self.evidence.setdefault((organisation, measure), Evidence())
        most = DEMAND_EVIDENCE if measure in OF_DEMAND else INTERVAL_EVIDENCE
        added = min(comparison.log_ratio, most)
        # Evidence of hours must not keep a finding for hours after its cause ended.
        most = 2 * self.threshold()
        evidence.weight = min(max(0.0, evidence.weight + added), most)
        self.count_alike(evidence, comparison)
        if evidence.finding is None and evidence.weight >= self.threshold():
            evidence.finding = build_finding(organisation, measure, comparison, now)
            return evidence.finding
        return None

    def count_alike(self, evidence, comparison):
        alike = comparison.log_ratio <= 0
        evidence.alike_intervals = evidence.alike_intervals + 1 if alike else 0
        if evidence.weight == 0.0 or evidence.alike_intervals >= CLEAR_INTERVALS:
            evidence.weight = 0.0
            evidence.finding = None

    def threshold(self):
        """Return the evidence at which chance is excluded over all comparisons."""
        comparisons = max(len(self.accounts), 1) * len(Measure)
        return math.log(comparisons / LEVEL)


def build_finding(organisation, measure, comparison, now):
    return Finding(
        id=f"fairness.{measure.value}",
        organisation=organisation,
        measure=measure,
        own=comparison.own,
        peers=comparison.peers,
        decision=decide_cause(measure, comparison.common),
        common=comparison.common,
        since=now,
    )


def decide_cause(measure, common):
    """Return the decision to look at: answers that gather at one place point to it."""
    slow = measure in (Measure.FIRST_TOKEN, Measure.TOTAL)
    return Decision.ROUTING if slow and common else DECISIONS[measure]
