"""Check that unequal treatment is found, named and cleared, and chance is not."""

import random

import pytest
from support.load import Endpoint, build_gate

from fescuedrum.decisions.comparison import Measure, Observation
from fescuedrum.decisions.fairness import Decision, FairnessMonitor
from fescuedrum.decisions.queueing import FairQueue

ORGANISATIONS = [f"club-{index}" for index in range(10)]
ZONES = ("zone-1", "zone-2", "zone-3")
INTERVALS = 50


def observe_fair(chooser, organisation, **changes):
    zone = chooser.choice(ZONES)
    # A long tail, and one endpoint in six twice as slow for everyone.
    slow = 2.0 if chooser.random() < 1 / 6 else 1.0
    wait = chooser.expovariate(10)
    first = wait + slow * chooser.lognormvariate(-3, 0.8)
    values = {
        "organisation": organisation,
        "service": "advice",
        "rank": 1,
        "cost": chooser.choice([10.0, 40.0]),
        "answered": True,
        "wait": wait,
        "first_token": first,
        "total": first + slow * chooser.lognormvariate(-1, 0.5),
        "cold": chooser.random() < 0.02,
        "repeated": chooser.random() < 0.02,
        "zone": zone,
        "endpoint": f"{zone}-engine",
    }
    return Observation(**values | changes)


def judge_all(watch, now):
    interval = watch.close_interval()
    return [
        finding
        for name in interval.organisations
        for finding in watch.evaluate(name, interval, now)
    ]


def run_intervals(chooser, plant, intervals=INTERVALS, watch=None):
    """Return (watch, findings); plant(chooser, organisation) builds an observation."""
    watch = watch or FairnessMonitor()
    findings = []
    for step in range(intervals):
        for name in ORGANISATIONS:
            # Sizes differ twentyfold between organisations.
            for _ in range(12 + 2 * ORGANISATIONS.index(name)):
                watch.observe(plant(chooser, name))
        findings += judge_all(watch, float(step))
    return watch, findings


@pytest.mark.parametrize("first", range(0, 100, 10))
def test_a_hundred_fair_runs_raise_nothing(first):
    """Runs are long enough for each measure: waits need twenty bad intervals."""
    for seed in range(first, first + 10):
        _, findings = run_intervals(random.Random(seed), observe_fair)
        assert not findings, seed


def test_fair_service_through_a_full_queue_raises_nothing():
    """Ten organisations of unlike burstiness share a gate that is full half the time.

    Waits inside an organisation's burst hang together; a test that took each answer
    for independent evidence would call its waits unfair.
    """
    for seed in range(5):
        chooser = random.Random(seed)
        endpoint = Endpoint(build_gate(queue=FairQueue(), floor=8, ceiling=8))
        watch, findings = FairnessMonitor(), []
        for step in range(60):
            until = endpoint.now + 10.0
            while endpoint.now < until:
                endpoint.run_until(endpoint.now + chooser.expovariate(3.5))
                name = chooser.choice(ORGANISATIONS)
                for _ in range(chooser.choice([1, 1, 1, 5])):
                    endpoint.offer(name, 1.0, patience=20.0)
            report_ends(endpoint, watch)
            findings += judge_all(watch, float(step))
        assert not findings


def report_ends(endpoint, watch):
    for work, end, cost in endpoint.finished:
        wait = end - cost - work.arrived
        watch.observe(
            Observation(
                work.organisation,
                "advice",
                1,
                cost,
                True,
                False,
                wait,
                wait,
                wait + cost,
            )
        )
    for work in endpoint.refused:
        watch.observe(
            Observation(work.organisation, "advice", 1, work.cost, False, True)
        )
    endpoint.finished.clear()
    endpoint.refused.clear()


def slow_zone(chooser, organisation):
    """A zone serves one organisation three times slower."""
    seen = observe_fair(chooser, organisation)
    if organisation == "club-4" and seen.zone == "zone-2":
        slower = seen.wait + (seen.first_token - seen.wait) * 3
        return observe_fair(
            chooser,
            organisation,
            zone="zone-2",
            endpoint="zone-2-engine",
            first_token=slower,
            total=slower + (seen.total - seen.first_token) * 3,
        )
    return seen


def passed_over(chooser, organisation):
    """A queue makes one organisation wait twice as long."""
    seen = observe_fair(chooser, organisation)
    if organisation != "club-4":
        return seen
    return observe_fair(chooser, organisation, wait=2 * seen.wait, first_token=9.0)


def refused_thrice(chooser, organisation):
    """One organisation within its share is refused thrice as often as others."""
    often = 0.15 if organisation == "club-4" else 0.05
    refused = chooser.random() < often
    return observe_fair(chooser, organisation, refused=refused, answered=not refused)


def refused_more(chooser, organisation):
    """One organisation within its share is refused five times as often as others."""
    often = 0.25 if organisation == "club-4" else 0.05
    refused = chooser.random() < often
    return observe_fair(chooser, organisation, answered=not refused, refused=refused)


def sent_to_the_cold(chooser, organisation):
    """A placement sends one organisation to endpoints that are still cold."""
    often = 0.08 if organisation == "club-4" else 0.02
    return observe_fair(chooser, organisation, cold=chooser.random() < often)


@pytest.mark.parametrize(
    ("plant", "measure", "decision"),
    [
        (slow_zone, Measure.TOTAL, Decision.ROUTING),
        (passed_over, Measure.WAIT, Decision.QUEUE),
        (refused_more, Measure.REFUSED, Decision.ADMISSION),
        (sent_to_the_cold, Measure.COLD, Decision.ROUTING),
    ],
)
def test_a_planted_bias_is_found_named_and_cleared(plant, measure, decision):
    """The most loyal customer's work is quietly treated worse; all averages look well.

    Nothing fails and nobody else notices; without a watch the customer just leaves.
    """
    chooser = random.Random(8)
    watch, _ = run_intervals(chooser, plant)
    found = {each.measure: each for each in watch.findings()}
    assert {each.organisation for each in watch.findings()} == {"club-4"}
    assert found[measure].decision is decision
    assert found[measure].own > found[measure].peers * 1.2
    assert "club-4" in str(found[measure])
    if plant is slow_zone:
        assert found[measure].common == "endpoint zone-2-engine"
    run_intervals(chooser, observe_fair, watch=watch)
    assert watch.findings() == []


def test_a_threefold_share_of_refusals_is_found_in_twice_the_intervals():
    """A smaller wrong than the planted ones takes longer to tell from chance."""
    watch, _ = run_intervals(random.Random(8), refused_thrice, 2 * INTERVALS)
    found = [each for each in watch.findings() if each.measure is Measure.REFUSED]
    assert [each.organisation for each in found] == ["club-4"]


def test_refusals_of_whoever_asks_too_much_are_no_unfairness():
    """One organisation sends ten times its share and is refused for that."""

    chooser = random.Random(2)
    watch = FairnessMonitor()
    for step in range(INTERVALS):
        for name in ORGANISATIONS * 15:
            watch.observe(observe_fair(chooser, name))
        for index in range(150):
            refused = index >= 15
            seen = observe_fair(
                chooser, "hot", answered=not refused, refused=refused, wait=2.0
            )
            watch.observe(seen)
        judge_all(watch, float(step))
    of_demand = {Measure.WAIT, Measure.REFUSED}
    assert not [each for each in watch.findings() if each.measure in of_demand]
