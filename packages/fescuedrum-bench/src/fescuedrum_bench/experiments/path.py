"""Compare the entry's cost of a request with that of a bare proxy."""

import asyncio
import json
import statistics

from fescuedrum_bench.callers import MODEL, Caller
from fescuedrum_bench.capacity.measures import (
    TOKENS_PER_STREAM,
    UNPACED,
    cpu_seconds,
    measure_idle,
    repeat,
)
from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.site import Site, SiteShape

STORY = (
    "One entry, one agent and one engine stand-in. The baseline is an aiohttp handler "
    "that proxies to the same engine and does nothing else. Processor time is read "
    "from the kernel's accounts, so that a busy machine changes it little. First "
    "tokens are timed in turns: engine alone, then through entry and agent."
)
REQUESTS = 600
STREAMS = 60
FIRST_TOKENS = 150
WARM_UP = 100


async def run(scale, seed):
    """Measure requests, token chunks, first tokens and idle connections."""
    shape = SiteShape(
        zones=1,
        entries=1,
        engines=1,
        services=0,
        step_seconds=0.0005,
        warm_limit=64,
        # Pacing would delay hundreds of requests per second at one engine.
        agent_settings=UNPACED,
    )
    async with Site(shape, ["club"]) as site:
        engine = site.endpoints[0]
        proxy = await site.start_standin(
            "bareproxy", "bareproxy", "--upstream", engine.url
        )
        await site.wait_listening(proxy)
        key = site.keys["club"]
        entry = site.entries[0]
        ours = Caller(site.session, entry.url, "club", key)
        bare = Caller(site.session, proxy.url, "club", key)
        figures = [
            *await compare_requests(entry, ours, proxy, bare, scale),
            *await compare_chunks(entry, ours, proxy, bare, scale),
            *await compare_first_tokens(site, ours, engine, scale),
            idle_figure(await measure_idle(site)),
        ]
    return Experiment("path", STORY, figures)


async def compare_requests(entry, ours, proxy, bare, scale):
    """Return the figures of processor time per request."""
    await repeat(ours.complete, WARM_UP)
    await repeat(bare.complete, WARM_UP)
    count = int(REQUESTS * scale)
    through_entry = await spend(entry, repeat(ours.complete, count)) / count
    through_proxy = await spend(proxy, repeat(bare.complete, count)) / count
    return [
        Figure(
            "entry's processor time a request",
            through_entry * 1e6,
            "us",
            baseline=through_proxy * 1e6,
        ),
        Figure(
            "the same as a multiple of the bare proxy's",
            through_entry / through_proxy,
            at_most=3.0,
        ),
    ]


async def compare_chunks(entry, ours, proxy, bare, scale):
    """Return the figure of token chunks per second of a core."""
    count = int(STREAMS * scale)
    chunks = count * TOKENS_PER_STREAM
    through_entry = await spend(entry, repeat(streams(ours), count))
    through_proxy = await spend(proxy, repeat(streams(bare), count))
    return [
        Figure(
            "token chunks forwarded for each second of one core",
            chunks / through_entry,
            "1/s",
            baseline=chunks / through_proxy,
            at_least=50_000,
        )
    ]


def streams(caller):
    """Return a function that requests a stream of TOKENS_PER_STREAM tokens."""

    async def stream(prompt):
        return await caller.stream(prompt, TOKENS_PER_STREAM)

    return stream


async def spend(member, action):
    """Return the processor seconds that a process spends during an action."""
    before = cpu_seconds(member)
    await action
    return cpu_seconds(member) - before


async def compare_first_tokens(site, ours, engine, scale):
    """Return the figures of the time that the path adds to a first token."""
    direct, through = [], []
    for index in range(int(FIRST_TOKENS * scale)):
        prompt = f"first {index}"
        direct.append(await first_token(site.session, engine.url, {}, prompt))
        through.append(await first_token(site.session, ours.url, ours.headers, prompt))
    added = [(late - early) * 1e3 for early, late in zip(direct, through, strict=True)]
    percentiles = statistics.quantiles(added, n=100)
    base = statistics.median(direct) * 1e3
    return [
        Figure(
            "time added to the first token, median",
            percentiles[49],
            "ms",
            baseline=base,
            at_most=2.0,
        ),
        Figure(
            "time added to the first token, p99",
            percentiles[98],
            "ms",
            baseline=base,
            at_most=8.0,
        ),
    ]


async def first_token(session, url, headers, prompt):
    """Return the seconds until the first part of a stream arrives."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 2, "stream": True}
    loop = asyncio.get_running_loop()
    begin = loop.time()
    async with session.post(
        f"{url}/v1/completions", data=json.dumps(body), headers=headers
    ) as response:
        await response.content.readany()
        seconds = loop.time() - begin
        await response.read()
    return seconds


def idle_figure(slope):
    """Return the figure of memory per idle connection."""
    return Figure(
        "memory of an idle caller's connection",
        slope.slope / 1e3,
        "kB",
        at_most=20.0,
    )
