"""Check when refused callers are told to come back, and what that is worth."""

import random

from support.overload import OverloadPlay, count

from fescuedrum.decisions.retries import SharedRetryBudget
from fescuedrum.decisions.returns import PatienceTracker, retry_delay


def test_refused_callers_come_back_late_and_not_together():
    """A group is down for three seconds, and every caller's second try is refused too.

    The group refuses at one moment all that waited in it; they must neither be back
    while it is down nor all at once, and none may be told more than it keeps to.
    """
    chance = random.Random(1)
    waits = [retry_delay(6.5, chance) for _ in range(100)]
    assert min(waits) > 1.5
    assert max(waits) <= 6.5 / 3
    assert max(waits) - min(waits) > 0.4


def test_callers_who_come_back_are_told_from_new_ones():
    """Callers who are late already take the places of those who would be on time.

    Told to come back within a second they have as much time left as new ones.
    """
    chance = random.Random(1)
    usual = PatienceTracker()
    usual.is_fresh(8.0)
    back = [8.0 - retry_delay(8.0, chance) for _ in range(100)]
    assert not any(usual.is_fresh(patience) for patience in back)


def test_a_caller_with_less_patience_than_usual_has_come_back():
    usual = PatienceTracker()
    assert usual.is_fresh(8.05)
    assert usual.is_fresh(8.0)
    assert usual.is_fresh(6.9)
    assert not usual.is_fresh(5.4)
    assert usual.is_fresh(None)


def test_a_service_in_trouble_is_not_repeated_beyond_the_common_budget():
    """Every request of a service fails, and repeats double its load.

    Seven gateways send 10 requests a second each and would repeat each one.
    """
    budgets = [SharedRetryBudget(0.2, 90, 10.0) for _ in range(7)]
    repeats = 0
    for tick in range(100):
        now = tick / 10
        for budget in budgets:
            budget.request(now)
            repeats += budget.spend(now, entries=7)
    assert 0.6 * (0.2 * 700 + 90) < repeats <= 0.2 * 700 + 90


def test_as_many_are_on_time_during_a_burst_as_before_it():
    """Three times the callers come, and fewer of them are on time than before.

    Those who were refused a moment ago take the places of those who have just come.
    """
    usual, factor = 40, 3
    burst = range(10, 18)

    def rate(now):
        return usual * (factor if int(now) in burst else 1)

    for seed in range(5):
        outcomes = OverloadPlay(rate, seconds=25.0, seed=seed).run()
        before = count(outcomes, range(2, 10))
        during = count(outcomes, burst)
        after = count(outcomes, range(19, 24))
        assert during["on time"] >= before["on time"]
        assert after["on time"] >= 0.9 * after.total()
