"""Measure the load of the fleet on the platform's table and lists."""

import asyncio
import random

from fescuedrum.decisions.placing.topology import READERS_PER_ZONE
from fescuedrum_bench.capacity.size import Size
from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.experiments.spread import change_weight
from fescuedrum_bench.site import Site, SiteShape

STORY = (
    "Nine entries of one zone at rest, then ten changes. The calls that the platform's "
    "stand-in counts are split into those of the two readers and of the seven others "
    "by another run with two entries. What the fleet would ask is worked out from "
    "both; claims of keyed requests and leases of rank groups come on top. The budget "
    "is 2,000 reads a second."
)
ENTRIES = 9
SETTLE_SECONDS = 4.0
OBSERVED_SECONDS = 20.0
CHANGES = 10
READ_BUDGET = 2_000
# The other half of the budget is for claims.
READ_SHARE = READ_BUDGET / 2


async def run(scale, seed):
    """Compute the fleet's calls from runs with few and with many entries in a zone."""
    seconds = OBSERVED_SECONDS * scale
    few, _ = await observe(READERS_PER_ZONE, seconds, seed)
    many, writes = await observe(ENTRIES, seconds, seed)
    reader = few / READERS_PER_ZONE
    other = (many - few) / (ENTRIES - READERS_PER_ZONE)
    size = Size()
    readers = READERS_PER_ZONE * size.zones
    fleet = readers * reader + (size.nodes - readers) * other
    return Experiment(
        "store",
        STORY,
        [
            Figure("reads a second of one reader", reader, "1/s"),
            Figure("reads a second of one other entry", other, "1/s", baseline=reader),
            Figure("writes of one change", writes, at_most=2.0),
            Figure(
                "reads a second at the size to design for",
                fleet,
                "1/s",
                baseline=size.nodes * reader,
                at_most=READ_SHARE,
            ),
        ],
    )


async def observe(entries, seconds, seed):
    """Return the reads per second of an idle site and the writes of one change."""
    shape = SiteShape(zones=1, entries=entries, engines=1, services=1)
    async with Site(shape, ["club"]) as site:
        await site.wait_in_force(1)
        await asyncio.sleep(SETTLE_SECONDS)
        before = await count_calls(site)
        await asyncio.sleep(seconds)
        after = await count_calls(site)
        chooser = random.Random(seed)
        for _ in range(CHANGES):
            await change_weight(site, chooser)
        end = await count_calls(site)
    reads = sum(after.values()) - sum(before.values())
    writes = sum(
        end.get(name, 0) - after.get(name, 0)
        for name in ("POST /table", "PUT /objects")
    )
    return reads / seconds, writes / CHANGES


async def count_calls(site):
    """Return the platform's number of calls by kind."""
    return await site.fetch_json(f"{site.platform.url}/calls")
