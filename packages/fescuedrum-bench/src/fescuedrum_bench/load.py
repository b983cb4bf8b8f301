"""Generate open-loop load and summarise what the callers received.

Requests are sent at times drawn in advance, independent of earlier answers, and each
latency counts from the intended time of sending. Otherwise a system that stalls, or a
sender that falls behind, would hide the waits (coordinated omission).
"""

import asyncio
import json
import random
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from fescuedrum.outcomes import OUTCOME_HEADER, Outcome
from fescuedrum_bench.callers import MODEL, STREAMING

HIGHEST_MICROSECONDS = 3_600_000_000
DIGITS = 3
MICROSECONDS = 1_000_000
PERCENTILES = (50, 95, 99)
TARDINESS_BOUND = 0.1


@dataclass(slots=True, frozen=True)
class Job:
    """Describe one kind of request in a mix."""

    tokens: int
    share: float = 1.0
    prompt: str = "a short question"
    streamed: bool = False


@dataclass(slots=True)
class Mix:
    """Describe what one organisation sends."""

    organisation: str
    key: str
    # Requests a second.
    rate: float
    jobs: list[Job]
    deadline: float = 10.0
    priority: int = 5
    # Names the mix in results, where one organisation sends several.
    label: str = ""

    def __post_init__(self):
        self.label = self.label or self.organisation


@dataclass(slots=True, frozen=True)
class Sample:
    """Hold the outcome of one request; seconds count from its intended time."""

    label: str
    sent_at: float
    outcome: str
    status: int
    seconds: float
    first_seconds: float
    tokens: int
    in_time: bool
    retry_after: str


@dataclass(slots=True)
class Results:
    """Hold the samples of one run."""

    seconds: float
    samples: list[Sample] = field(default_factory=list)
    # Longest delay of the sender itself, in seconds.
    tardiness: float = 0.0

    def chosen(self, label=None, outcome=Outcome.ANSWERED):
        """Return the samples with an outcome, of one label or all."""
        return [
            each
            for each in self.samples
            if each.outcome == outcome and label in (None, each.label)
        ]

    def percentile(self, share, label=None, *, settle=0.0):
        """Return a percentile of the latencies of answered requests, in seconds.

        Requests sent in the first `settle` seconds are left out.
        """
        values = [each.seconds for each in self.chosen(label) if each.sent_at >= settle]
        return percentile(values, share)

    def received(self, label=None, *, settle=0.0):
        """Return the tokens per second that arrived in time while requests were sent.

        Tokens that arrived in the first `settle` seconds are left out.
        """
        useful = sum(
            each.tokens
            for each in self.chosen(label)
            if each.in_time and settle <= each.sent_at + each.seconds < self.seconds
        )
        return useful / (self.seconds - settle)

    def summary(self):
        """Return the results in a form that JSON can hold."""
        labels = sorted({each.label for each in self.samples})
        return {
            "requests": len(self.samples),
            "seconds": self.seconds,
            "tokens_per_second": round(self.received(), 1),
            "sender_tardiness_ms": round(self.tardiness * 1000, 1),
            "organisations": {label: self.summary_of(label) for label in labels},
        }

    def summary_of(self, label):
        """Return the outcomes, rates and latencies of one label."""
        outcomes = {
            outcome.value: len(found)
            for outcome in Outcome
            if (found := self.chosen(label, outcome))
        }
        waits = {
            f"p{share}_ms": round(self.percentile(share, label) * 1000, 1)
            for share in PERCENTILES
        }
        first = [each.first_seconds for each in self.chosen(label)]
        return {
            "outcomes": outcomes,
            "tokens_per_second": round(self.received(label), 1),
            "first_byte_p95_ms": round(percentile(first, 95) * 1000, 1),
            **waits,
        }


def percentile(values, share):
    """Return a percentile of seconds by an HDR histogram; 0 without values."""
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, DIGITS)
    for value in values:
        histogram.record_value(max(1, int(value * MICROSECONDS)))
    return histogram.get_value_at_percentile(share) / MICROSECONDS


class OpenLoop:
    """Send the mixes of several organisations through several entries."""

    __slots__ = ("loop", "random", "results", "session", "tasks", "turn", "urls")

    def __init__(self, session, urls, seed):
        self.session = session
        self.urls = urls
        self.random = random.Random(seed)
        self.results = None
        self.tasks = set()
        self.turn = 0
        self.loop = asyncio.get_running_loop()

    async def run(self, mixes, seconds):
        """Send the mixes for some seconds and return the results of all requests."""
        self.results = Results(seconds)
        begin = self.loop.time()
        for at, mix, job in self.plan(mixes, seconds):
            due = begin + at
            await self.wait_until(due)
            task = asyncio.create_task(self.send(mix, job, due, at))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)
        return self.results

    async def wait_until(self, due):
        """Wait until a time, and record by how much it has passed already."""
        delay = due - self.loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        self.results.tardiness = max(self.results.tardiness, -delay)

    def plan(self, mixes, seconds):
        """Return all requests in order of time, with Poisson arrivals for each mix."""
        planned = []
        for number, mix in enumerate(mixes):
            at = self.random.expovariate(mix.rate) if mix.rate else seconds
            while at < seconds:
                planned.append((at, number, mix, self.draw(mix)))
                at += self.random.expovariate(mix.rate)
        planned.sort(key=lambda each: each[:2])
        return [(at, mix, job) for at, _, mix, job in planned]

    def draw(self, mix):
        """Draw a job of a mix by the shares."""
        shares = [job.share for job in mix.jobs]
        return self.random.choices(mix.jobs, shares)[0]

    def next_url(self):
        """Return the URL of the next entry in turn."""
        self.turn += 1
        return self.urls[self.turn % len(self.urls)]

    async def send(self, mix, job, due, at):
        """Send one request and record its sample."""
        body = {
            "model": MODEL,
            "prompt": job.prompt,
            "max_tokens": job.tokens,
            "user": mix.organisation,
            "stream": job.streamed,
        }
        headers = {
            "Authorization": f"Bearer {mix.key}",
            "Content-Type": "application/json",
            "Fescuedrum-Deadline-Ms": str(int(mix.deadline * 1000)),
            "Fescuedrum-Priority": str(mix.priority),
        }
        status, outcome, first, retry = 0, Outcome.UNKNOWN, due, ""
        try:
            async with self.session.post(
                self.next_url() + "/v1/completions",
                data=json.dumps(body),
                headers=headers,
            ) as response:
                async for _ in response.content.iter_any():
                    first = first if first != due else self.loop.time()
                status = response.status
                outcome = response.headers.get(OUTCOME_HEADER, Outcome.UNKNOWN)
                outcome = Outcome.ANSWERED if outcome == STREAMING else outcome
                retry = response.headers.get("Retry-After", "")
        except (aiohttp.ClientError, OSError):
            pass
        end = self.loop.time()
        answered = outcome == Outcome.ANSWERED
        self.results.samples.append(
            Sample(
                label=mix.label,
                sent_at=at,
                outcome=outcome,
                status=status,
                seconds=end - due,
                first_seconds=first - due,
                tokens=job.tokens if answered else 0,
                in_time=answered and end - due <= mix.deadline + TARDINESS_BOUND,
                retry_after=retry,
            )
        )


def open_session():
    """Return a client session without limits on connections and time."""
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(
        connector=connector, timeout=aiohttp.ClientTimeout(total=None)
    )


def jain(values):
    """Return Jain's index of fairness: 1 when all are equal."""
    total = sum(values)
    squares = sum(each**2 for each in values)
    return total**2 / (len(values) * squares) if squares else 1.0
