"""Detect when one organisation is served worse than its peers.

Load pattern: a rule, a placement or a fault sends an organisation's work to endpoints
that serve it worse: in a slow zone, cold ones, or behind a queue that neglects it.
Averages over all organisations look normal, no request is refused outright, and the
organisation stops using the service before anyone notices. This has happened, so each
organisation is compared with its peers.

What is compared: each request gives one bit per measure, whether it was worse than
usual among the peers for the same service, class and size of request. The usual value
is the peers' upper quartile in the same interval, with equal weight for each peer
organisation. With equal demand and treatment, an organisation exceeds it as often as
its peers, whatever the load and the distribution of the measure. An organisation that
asks for more than its share is expected to wait and to be refused, so waits and
refusals are compared only among organisations that ask for about the same multiple of
their share.

Significance: for each organisation and measure, a sequential probability-ratio test
adds up the log-likelihood ratio of the bits under "worse by HARM_FACTOR" against
"alike" over the intervals, never below zero. A finding is raised at a threshold that
grows with the number of comparisons, so that the rate of false findings holds over all
organisations and measures, however often they are compared.
"""

import enum
import math
from collections import deque
from dataclasses import dataclass

from fescuedrum.decisions.admitting.comparison import (
    DEMAND_MEASURES,
    Account,
    Interval,
    Measure,
)

SIGNIFICANCE_LEVEL = 1e-4
CLEARING_INTERVALS = 5
MAXIMUM_INTERVAL_EVIDENCE = 2.0
MAXIMUM_DEMAND_EVIDENCE = 0.7
DEMAND_INTERVALS = 6


class Decision(enum.StrEnum):
    """Decisions that can cause an organisation to be served worse."""

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
    """An organisation served worse: the measure, by how much and the likely cause."""

    id: str
    organisation: str
    measure: Measure
    # Means of the organisation and of its peers, in seconds or as shares of requests.
    own: float
    peers: float
    decision: Decision
    # Endpoint or zone that most of the worse answers have in common; may be empty.
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
    """State of the sequential test for one organisation and measure."""

    weight: float = 0.0
    alike_intervals: int = 0
    finding: Finding | None = None


class FairnessMonitor:
    """Compare organisations over successive intervals; times are loop time."""

    __slots__ = ("accounts", "evidence", "observations", "recent")

    def __init__(self):
        self.accounts = {}
        self.evidence = {}
        self.observations = []
        # Cost that each organisation requested in each of the last intervals.
        self.recent = deque(maxlen=DEMAND_INTERVALS)

    def observe(self, observation):
        """Add the outcome of one request to the current interval."""
        account = self.accounts.setdefault(observation.organisation, Account())
        account.add(observation)
        self.observations.append(observation)

    def set_weights(self, weights):
        """Set the organisations' weights; remove the accounts of all others."""
        for name, weight in weights.items():
            self.accounts.setdefault(name, Account()).weight = weight
        for name in set(self.accounts) - set(weights):
            del self.accounts[name]

    def findings(self):
        """Return the current findings, those with the strongest evidence first."""
        raised = [each for each in self.evidence.values() if each.finding]
        raised.sort(key=lambda each: -each.weight)
        return [each.finding for each in raised]

    def close_interval(self):
        """Return the observations since the last call as an interval to evaluate."""
        observations, self.observations = self.observations, []
        interval = Interval(observations, self.accounts, self.recent)
        self.recent.append(interval.asked)
        for name, cost in interval.entitled.items():
            if name in self.accounts:
                self.accounts[name].entitled += cost
        return interval

    def evaluate(self, organisation, interval, now):
        """Evaluate an organisation's interval; return the newly raised findings."""
        results = [
            self.evaluate_measure(organisation, measure, interval, now)
            for measure in Measure
        ]
        return [finding for finding in results if finding]

    def evaluate_measure(self, organisation, measure, interval, now):
        """Update the evidence for one measure; return the finding if newly raised."""
        comparison = interval.compare(organisation, measure)
        if comparison is None:
            return None
        evidence = self.evidence.setdefault((organisation, measure), Evidence())
        maximum = (
            MAXIMUM_DEMAND_EVIDENCE
            if measure in DEMAND_MEASURES
            else MAXIMUM_INTERVAL_EVIDENCE
        )
        added = min(comparison.log_ratio, maximum)
        # Evidence accumulated over hours must not keep a finding for hours after its
        # cause has ended.
        maximum = 2 * self.threshold()
        evidence.weight = min(max(0.0, evidence.weight + added), maximum)
        self.update_alike(evidence, comparison)
        if evidence.finding is None and evidence.weight >= self.threshold():
            evidence.finding = build_finding(organisation, measure, comparison, now)
            return evidence.finding
        return None

    def update_alike(self, evidence, comparison):
        """Count consecutive intervals without harm; clear the finding after enough."""
        alike = comparison.log_ratio <= 0
        evidence.alike_intervals = evidence.alike_intervals + 1 if alike else 0
        if evidence.weight == 0.0 or evidence.alike_intervals >= CLEARING_INTERVALS:
            evidence.weight = 0.0
            evidence.finding = None

    def threshold(self):
        """Return the evidence needed for a finding, given the number of comparisons."""
        comparisons = max(len(self.accounts), 1) * len(Measure)
        return math.log(comparisons / SIGNIFICANCE_LEVEL)


def build_finding(organisation, measure, comparison, now):
    return Finding(
        id=f"fairness.{measure.value}",
        organisation=organisation,
        measure=measure,
        own=comparison.own,
        peers=comparison.peers,
        decision=find_decision(measure, comparison.common),
        common=comparison.common,
        since=now,
    )


def find_decision(measure, common):
    """Return the decision that probably caused a finding.

    Slow answers that concentrate at one endpoint or zone point to the routing.
    """
    slow = measure in (Measure.FIRST_TOKEN, Measure.TOTAL)
    return Decision.ROUTING if slow and common else DECISIONS[measure]
