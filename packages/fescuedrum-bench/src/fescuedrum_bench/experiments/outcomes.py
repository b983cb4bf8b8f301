"""Measure the cost of running at most once and how soon a lost entry's keys settle."""

import asyncio
import statistics

from fescuedrum.outcomes import Outcome
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.site import Site, SiteShape

NAME = "outcomes"
ORGANISATION = "club"
WORKERS = 4
BOOKINGS = 60
KEYS = 200
LATENCY_RATIO = 2.5
SETTLING_SECONDS = 2.0
PERCENTILE = 0.99
REPEAT_SECONDS = 0.05


async def run(scale, seed):
    """Measure latency by key, then kill an entry and repeat its keys."""
    shape = SiteShape(entries=3, engines=0, services=3)
    async with Site(shape, [ORGANISATION]) as site:
        callers = [build_caller(site, entry) for entry in site.entries]
        count = max(10, int(BOOKINGS * scale))
        await measure_latency(callers, "warm", 5)
        keyed, unkeyed = await measure_latency(callers, "latency", count)
        records, waits = await kill_an_entry(site, callers, max(20, int(KEYS * scale)))
        verdict = judge(records, await site.count_executions())
    breaches = verdict.doubled + verdict.lost + verdict.false_not_run
    waits.sort()
    return Experiment(
        NAME,
        "Bookings with and without a key, by turns; then one of three entries is "
        "killed with bookings in hand and their callers repeat the keys elsewhere.",
        [
            Figure(
                "keyed median latency",
                statistics.median(keyed) * 1000,
                "ms",
                baseline=statistics.median(unkeyed) * 1000,
            ),
            Figure(
                "keyed to unkeyed median",
                statistics.median(keyed) / statistics.median(unkeyed),
                at_most=LATENCY_RATIO,
            ),
            Figure(
                "settling of repeated keys, p99",
                waits[int((len(waits) - 1) * PERCENTILE)],
                "s",
                at_most=SETTLING_SECONDS,
            ),
            Figure("keys in hand at the kill", len(waits)),
            Figure("promises broken", breaches, at_most=0),
        ],
    )


def build_caller(site, entry):
    """Return a caller at an entry."""
    key = site.keys[ORGANISATION]
    return Caller(site.session, entry.url, ORGANISATION, key)


async def measure_latency(callers, label, count):
    """Return the seconds of bookings with and without a key, sent in turns."""
    keyed, unkeyed = [], []

    async def work(worker):
        for index in range(count):
            caller = callers[index % len(callers)]
            reference = f"{label}-{worker}-{index}"
            keyed.append((await caller.book(reference)).seconds)
            record = await caller.book(f"{reference}-once", keyed=False)
            unkeyed.append(record.seconds)

    await asyncio.gather(*(work(worker) for worker in range(WORKERS)))
    return keyed, unkeyed


async def kill_an_entry(site, callers, count):
    """Kill an entry while it handles bookings; return all records and the waits.

    A wait is the time from the kill to the answer, for each key that was unanswered.
    All keys are first sent to the entry that is killed.
    """
    loop = asyncio.get_running_loop()
    first, others = callers[0], callers[1:]
    records = []
    killed = loop.create_future()

    async def book_until_answered(index):
        """Repeat a booking until it is answered; return the time since the kill."""
        reference = f"kill-{index}"
        record = await first.book(reference)
        records.append(record)
        if record.outcome == Outcome.ANSWERED:
            return None
        turn = index
        while record.outcome != Outcome.ANSWERED:
            turn += 1
            record = await others[turn % len(others)].book(reference)
            records.append(record)
            await asyncio.sleep(REPEAT_SECONDS)
        return loop.time() - await killed

    waiting = [
        asyncio.create_task(book_until_answered(index)) for index in range(count)
    ]
    # Kill at a time when keys are answered, running, waiting and just claimed.
    while sum(task.done() for task in waiting) < count // 10:
        await asyncio.sleep(0.001)
    await site.entries[0].kill()
    killed.set_result(loop.time())
    ends = await asyncio.gather(*waiting)
    return records, [seconds for seconds in ends if seconds is not None]
