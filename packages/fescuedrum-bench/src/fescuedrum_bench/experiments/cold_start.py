"""Measure whether cold endpoints get more requests than they can run."""

import asyncio

from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.load import Job, Mix, OpenLoop, open_session
from fescuedrum_bench.site import Site
from fescuedrum_bench.trial import build_shape, capacity, count, inject_faults

ENGINES = 3
SECONDS = 14.0
TURN_COLD_EVERY = 3.0
LOAD = 0.6
DEADLINE = 5.0
JOBS = [Job(8), Job(32)]
MEAN_TOKENS = 20
ORGANISATIONS = ("club", "shop", "kitchen")
# Sends a cold endpoint its warm load at once, like a balancer without a slow start.
TRUSTING = {"cold_limit": 16, "warm_limit": 16, "pace_seconds": 0.0}


async def run(scale, seed):
    """Compare the limits for cold endpoints with none."""
    careful = await measure({}, scale, seed)
    trusting = await measure(TRUSTING, scale, seed)
    return Experiment(
        "cold_start",
        "Three engines start cold under load from two entries, and every "
        f"{TURN_COLD_EVERY:g} s one turns cold without warning and cuts what it runs. "
        "A cold engine falls over above two requests. Baseline: no cold floor.",
        [
            Figure("falls", careful.falls, "", trusting.falls, at_most=0),
            Figure(
                "answered in time",
                careful.in_time,
                "of sent",
                trusting.in_time,
            ),
        ],
    )


class Run:
    """Hold the crashes of engines and the share answered in time of one run."""

    __slots__ = ("falls", "in_time")

    def __init__(self, falls, in_time):
        self.falls = falls
        self.in_time = in_time


async def measure(agent, scale, seed):
    """Run the load with these settings of agents and return the result."""
    shape = build_shape(ENGINES, agent=agent)
    rate = capacity(shape) * LOAD / MEAN_TOKENS / len(ORGANISATIONS)
    mixes = [
        Mix(name, f"{name}.secret", rate, JOBS, DEADLINE) for name in ORGANISATIONS
    ]
    async with Site(shape, ORGANISATIONS) as site, open_session() as session:
        sender = OpenLoop(session, [entry.url for entry in site.entries], seed)
        turning = asyncio.create_task(turn_cold(site))
        results = await sender.run(mixes, SECONDS * scale)
        turning.cancel()
        falls = await count(site, "falls")
    in_time = sum(each.in_time for each in results.samples)
    return Run(falls, in_time / len(results.samples))


async def turn_cold(site):
    """Turn the engines cold in turn until cancelled."""
    turn = 0
    while True:
        await asyncio.sleep(TURN_COLD_EVERY)
        await inject_faults(site, {f"engine-{turn % ENGINES}": {"cold": True}})
        turn += 1
