"""Check when refused callers are told to come back, and how they wait then."""

import asyncio
import random

from support.clock import run_paused

from fescuedrum.decisions.retries import SharedRetryBudget
from fescuedrum.decisions.returns import Outage, UsualPatience, return_after
from fescuedrum.decisions.rooms import MAXIMUM_RETURNED
from fescuedrum_gateway.process.returns import ReturnQueue


def test_callers_of_a_long_outage_come_back_late_and_not_together():
    """A group is down for three seconds, and every caller's second try is refused too.

    The group refuses at one moment all that waited in it; they must neither be back
    while it is down nor all at once, and none may be told more than it keeps to.
    """
    chance = random.Random(1)
    waits = [return_after(Outage.LONG, 6.5, 0.5, chance) for _ in range(100)]
    assert min(waits) > 1.5
    assert max(waits) <= 6.5 / 3
    assert max(waits) - min(waits) > 0.4


def test_callers_of_a_full_service_come_back_soon():
    chance = random.Random(1)
    waits = [return_after(Outage.FULL, 8.0, 0.5, chance) for _ in range(100)]
    assert min(waits) >= 0.5
    assert max(waits) <= 1.0
    assert return_after(Outage.FULL, 0.6, 0.5, chance) <= 0.2


def test_a_caller_with_less_patience_than_usual_has_come_back():
    usual = UsualPatience()
    assert usual.is_fresh(8.05)
    assert usual.is_fresh(8.0)
    assert usual.is_fresh(6.9)
    assert not usual.is_fresh(5.4)
    assert usual.is_fresh(None)


def test_returned_callers_get_places_in_order():
    async def story():
        queue = ReturnQueue()
        free = []
        served = []

        async def wait(name):
            found = await queue.find(lambda: free.pop() if free else None, 10.0)
            served.append((name, found))

        tasks = [asyncio.create_task(wait(name)) for name in "abc"]
        await asyncio.sleep(1)
        free.append("place")
        await asyncio.sleep(1)
        assert served == [("a", "place")]
        free.append("place")
        await asyncio.sleep(1)
        assert [name for name, _ in served] == ["a", "b"]
        await asyncio.gather(*tasks)
        assert served[2] == ("c", None)

    run_paused(story())


def test_a_caller_behind_too_many_is_refused_at_once():
    async def story():
        loop = asyncio.get_running_loop()
        queue = ReturnQueue()
        waiting = [
            asyncio.create_task(queue.find(lambda: None, 5.0))
            for _ in range(MAXIMUM_RETURNED)
        ]
        await asyncio.sleep(0.1)
        began = loop.time()
        assert await queue.find(lambda: None, 5.0) is None
        assert loop.time() == began
        await asyncio.gather(*waiting)

    run_paused(story())


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
