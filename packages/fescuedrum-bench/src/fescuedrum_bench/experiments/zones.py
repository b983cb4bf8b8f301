"""Measure the service for callers while a zone is taken out and brought back."""

import asyncio
import itertools
import random
from dataclasses import dataclass

from fescuedrum.conf.document import ZoneState
from fescuedrum.outcomes import Outcome
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.experiments.spread import percentile
from fescuedrum_bench.site import Site, SiteShape

STORY = (
    "Three zones with six entries, twelve engines and three plain services, at a "
    "steady rate of completions, lookups and keyed bookings through entries that say "
    "they are ready. Zone 3 is taken out, stays out and comes back, with a steady part "
    "before as the baseline. New work in the zone is read off its engines' counts "
    "every 20 ms."
)
SHAPE = SiteShape(
    zones=3, entries=6, engines=12, services=3, step_seconds=0.02, warm_limit=8
)
ZONE = "zone-3"
ORGANISATIONS = ("club", "county")
REQUESTS_PER_SECOND = 60
WARM_UP_SECONDS = 6.0
PHASE_SECONDS = 10.0
# Excluded from the delays after each change, as the target says.
EXCLUDED_SECONDS = 3.0
READY_POLL_SECONDS = 0.25
COUNT_POLL_SECONDS = 0.02


@dataclass(slots=True)
class Sent:
    """Hold the record of a request and the time of sending."""

    at: float
    record: object


class Traffic:
    """Send requests at a steady rate through the entries that are ready."""

    __slots__ = ("chooser", "loop", "rate", "ready", "sent", "site", "tasks")

    def __init__(self, site, chooser, *, requests_per_second=REQUESTS_PER_SECOND):
        self.rate = requests_per_second
        self.site = site
        self.chooser = chooser
        self.loop = asyncio.get_running_loop()
        self.ready = list(site.entries)
        self.sent = []
        self.tasks = set()

    async def run(self):
        """Send until cancelled, at a rate that does not depend on the answers."""
        watch = asyncio.create_task(self.watch_ready())
        number, due = 0, self.loop.time()
        try:
            while True:
                task = asyncio.create_task(self.send(number))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                number += 1
                due += self.chooser.expovariate(self.rate)
                await asyncio.sleep(max(due - self.loop.time(), 0))
        finally:
            watch.cancel()

    async def watch_ready(self):
        """Keep the list of ready entries, as the platform's load balancer does."""
        while True:
            answers = [
                await self.site.answers(f"{entry.url}/readyz")
                for entry in self.site.entries
            ]
            ready = zip(self.site.entries, answers, strict=True)
            self.ready = [entry for entry, answer in ready if answer]
            await asyncio.sleep(READY_POLL_SECONDS)

    async def send(self, number):
        """Send one request, of a kind that follows from its number."""
        entry = self.chooser.choice(self.ready)
        name = ORGANISATIONS[number % len(ORGANISATIONS)]
        caller = Caller(self.site.session, entry.url, name, self.site.keys[name])
        at = self.loop.time()
        match number % 4:
            case 0:
                record = await caller.book(f"booking-{number}")
            case 1:
                record = await caller.look_up(f"item-{number}")
            case 2:
                record = await caller.stream(f"advice {number}")
            case _:
                record = await caller.complete(f"summary {number}")
        self.sent.append(Sent(at, record))

    async def finish(self):
        """Wait for the answers to all requests."""
        await asyncio.gather(*self.tasks)


async def run(scale, seed):
    """Take a zone out and bring it back under load and return the figures."""
    async with Site(SHAPE, ORGANISATIONS) as site:
        traffic = Traffic(site, random.Random(seed))
        sending = asyncio.create_task(traffic.run())
        await asyncio.sleep(WARM_UP_SECONDS)
        seconds = PHASE_SECONDS * scale
        marks = [traffic.loop.time()]
        await asyncio.sleep(seconds)
        marks.append(traffic.loop.time())
        last_work = await take_out(site, traffic, seconds)
        marks.append(traffic.loop.time())
        await site.set_zone(ZONE, ZoneState.IN)
        await asyncio.sleep(seconds)
        marks.append(traffic.loop.time())
        sending.cancel()
        await traffic.finish()
        executions = await site.count_executions()
        returned = await site.count_started(ZONE)
    return summarise(traffic.sent, marks, last_work, executions, returned)


async def take_out(site, traffic, seconds):
    """Take the zone out; return the seconds until the last work began in it."""
    await site.set_zone(ZONE, ZoneState.OUT)
    accepted = traffic.loop.time()
    until = accepted + seconds
    known, last = await site.count_started(ZONE), 0.0
    while traffic.loop.time() < until:
        await asyncio.sleep(COUNT_POLL_SECONDS)
        started = await site.count_started(ZONE)
        if started != known:
            last, known = traffic.loop.time() - accepted, started
    return last


def summarise(sent, marks, last_work, executions, returned):
    """Return the experiment from the records and the times of the changes."""
    steady, leaving, returning = (
        [each for each in sent if begin <= each.at < end]
        for begin, end in itertools.pairwise(marks)
    )
    verdict = judge([each.record for each in sent], executions)
    breaches = (
        verdict.doubled + verdict.lost + verdict.false_not_run + verdict.wrong_answers
    )
    usual = p95_delay(steady, marks[0])
    changed = leaving + returning
    cut = sum(each.record.outcome == Outcome.UNKNOWN for each in changed)
    figures = [
        Figure("zone out to the last new work in it", last_work, "s", at_most=2.0),
        Figure(
            "answered while it leaves",
            answered(leaving),
            baseline=answered(steady),
            at_least=0.98,
        ),
        Figure(
            "answered while it returns",
            answered(returning),
            baseline=answered(steady),
            at_least=0.98,
        ),
        Figure("requests cut", cut, at_most=0),
        Figure("promises broken", breaches, at_most=0),
        Figure(
            "p95 while it is out over p95 before",
            p95_delay(leaving, marks[1] + EXCLUDED_SECONDS) / usual,
            at_most=1.3,
        ),
        Figure(
            "p95 after its return over p95 before",
            p95_delay(returning, marks[2] + EXCLUDED_SECONDS) / usual,
            at_most=1.3,
        ),
        Figure("requests that its engines began in all", returned),
    ]
    return Experiment("zones", STORY, figures)


def answered(sent):
    """Return the share of requests that were answered."""
    good = sum(each.record.outcome == Outcome.ANSWERED for each in sent)
    return good / max(len(sent), 1)


def p95_delay(sent, since):
    """Return the 95th percentile of the delays of completions."""
    delays = [
        each.record.seconds
        for each in sent
        if each.at >= since and each.record.kind == "completion"
    ]
    return percentile(delays, 0.95)
