"""Measure the time from accepting a change until it is in force everywhere."""

import asyncio
import dataclasses
import random
import uuid

from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.logfiles import moments_accepted, moments_in_force
from fescuedrum_bench.site import Site, SiteShape

STORY = (
    "Three zones with six entries, twelve engines and three plain services. Changes go "
    "through entries chosen at random, one after the other; the time from the log line "
    "of acceptance to the last process's log line of the version in force is taken. "
    "The second part has the platform answer each call 100 ms late. The third, on a "
    "site of its own, delays all that entries and the agents of one zone tell each "
    "other by 1 s each way. A version that a process skipped because a newer one "
    "reached it first counts from the newer one."
)
SHAPE = SiteShape(zones=3, entries=6, engines=12, services=3)
CHANGES = 100
PAUSE_SECONDS = 0.05
SETTLE_SECONDS = 3.0
SLOW_PLATFORM_SECONDS = 0.1
TARGET_SECONDS = 1.0
DELAYED_ZONE = "zone-3"
DELAY_SECONDS = 1.0
DELAYED_CHANGES = 10
DELAYED_TARGET_SECONDS = 5.0


async def run(scale, seed):
    """Apply changes to a healthy site, with a slow platform and with a slow zone."""
    chooser = random.Random(seed)
    count = max(int(CHANGES * scale), 10)
    async with Site(SHAPE, ["club"]) as site:
        await asyncio.sleep(SETTLE_SECONDS)
        healthy = await measure(site, chooser, count)
        await site.set_faults(delay_seconds=SLOW_PLATFORM_SECONDS)
        slow = await measure(site, chooser, max(count // 4, 10))
    delayed = await measure_delayed(chooser)
    series = {
        "healthy": curve(healthy),
        "slow platform": curve(slow),
        "one zone delayed": curve(delayed),
    }
    return Experiment(
        "spread",
        STORY,
        [
            Figure("accepted to in force, median", percentile(healthy, 0.5), "s"),
            Figure(
                "accepted to in force, p99",
                percentile(healthy, 0.99),
                "s",
                at_most=TARGET_SECONDS,
            ),
            Figure(
                "the same with a slow platform, p99",
                percentile(slow, 0.99),
                "s",
                at_most=TARGET_SECONDS,
            ),
            Figure(
                "the same with one zone delayed, longest",
                max(delayed),
                "s",
                at_most=DELAYED_TARGET_SECONDS,
            ),
        ],
        series=series,
        axes=("share of changes", "seconds"),
    )


async def measure_delayed(chooser):
    """Measure with the heartbeats of one zone's agents delayed."""
    shape = dataclasses.replace(SHAPE, engines=3, proxied=True)
    async with Site(shape, ["club"]) as site:
        await site.wait_in_force(1)
        for index, agent in enumerate(site.members_of("engine")):
            if site.zone(index) == DELAYED_ZONE:
                proxy = site.proxies[f"entries-agent-{agent.name}"]
                proxy.delay_seconds = DELAY_SECONDS
        return await measure(site, chooser, DELAYED_CHANGES, DELAYED_TARGET_SECONDS)


async def measure(site, chooser, count, settle=SETTLE_SECONDS):
    """Apply changes and return the seconds that each took to be in force."""
    versions = []
    for _ in range(count):
        versions.append(await change_weight(site, chooser))
        await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.sleep(settle)
    accepted = moments_accepted(site.entries)
    processes = [moments_in_force(each) for each in [*site.entries, *site.agents]]
    return [
        max(reached(moments, version) for moments in processes) - accepted[version]
        for version in versions
    ]


def reached(moments, version):
    """Return the time at which a process had a version or a newer one in force."""
    return min(moment for number, moment in moments.items() if number >= version)


async def change_weight(site, chooser):
    """Change a weight through a random entry and return the version."""
    entry = chooser.choice(site.entries)
    _, shown = await site.operate(entry, "configuration")
    document = shown["document"]
    organisation = document["organisations"][0]
    organisation["weight"] = organisation.get("weight", 1.0) + 1
    data = {
        "base_version": shown["version"],
        "document": document,
        "change": uuid.uuid4().hex,
    }
    status, answer = await site.operate(entry, "apply", data)
    assert status == 200, answer
    return answer["version"]


def percentile(values, share):
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def curve(values):
    """Return the points (share of values, value) of the distribution."""
    ordered = sorted(values)
    return [(index / len(ordered), value) for index, value in enumerate(ordered)]
