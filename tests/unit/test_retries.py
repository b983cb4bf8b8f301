"""Check retry budgets, hedges' delay and the joining of repeats."""

import asyncio

import pytest

from fescuedrum.decisions.retries import HedgeDelay, RetryBudget
from fescuedrum.outcomes import Outcome
from fescuedrum_entry.request.passage import Differs, Passage


def test_an_outage_of_everything_adds_only_the_budget_s_share():
    """A zone fails and every request of the next minute fails with it.

    With three retries for each, the rest would get four times the load and fail too.
    """
    budget = RetryBudget(share=0.2, minimum=3, window=10)
    granted = 0
    for index in range(6000):
        now = index / 100
        budget.request(now)
        granted += sum(budget.spend(now) for _ in range(3))
    assert granted <= 0.2 * 6000 * 1.1


def test_a_quiet_service_may_still_retry_and_yesterday_s_traffic_buys_nothing():
    budget = RetryBudget(share=0.2, minimum=3, window=10)
    for _ in range(1000):
        budget.request(0.0)
    assert sum(budget.spend(1000.0) for _ in range(10)) == 3


def test_the_hedge_delay_follows_the_slowest_twentieth():
    hedge = HedgeDelay()
    for index in range(4000):
        hedge.observe(1.0 if index % 50 == 0 else 0.1)
    assert 0.09 < hedge.delay() < 0.6


class Reply:
    """Stand for a caller that has begun to read, or not."""

    def __init__(self, started):
        self.started = started
        self.status = 200
        self.body = b""
        self.outcome = None

    async def start(self, status, headers):
        self.body = b""

    async def write(self, data):
        self.body += data

    async def finish(self, outcome):
        self.outcome = outcome


async def pass_two(reply, first, second):
    passage = Passage(reply)
    reply.started, started = False, reply.started
    await passage.start(200, [])
    await passage.write(first)
    reply.started = started
    await passage.start(200, [])
    for index in range(0, len(second), 3):
        await passage.write(second[index : index + 3])
    await passage.finish(Outcome.ANSWERED)


@pytest.mark.parametrize("started", [True, False])
def test_a_repeat_that_gives_the_same_text_completes_the_answer(started):
    reply = Reply(started)
    asyncio.run(pass_two(reply, b"tension 24", b"tension 24 kg"))
    assert reply.body == b"tension 24 kg"


@pytest.mark.parametrize("second", [b"tension 25 kg", b"tens"])
def test_a_repeat_that_gives_another_text_is_never_joined_to_the_first(second):
    """A stringer reads half of one advice and half of another as a single one.

    The engine behind the stream dies, the repeat samples other words, and the entry
    sends its rest after the first half.
    """
    with pytest.raises(Differs):
        asyncio.run(pass_two(Reply(True), b"tension 24", second))


def test_what_the_caller_has_not_seen_is_replaced():
    reply = Reply(False)
    asyncio.run(pass_two(reply, b"tension 24", b"other"))
    assert reply.body == b"other"
