"""Check that a zone goes out and comes back without a request cut."""

import asyncio
import random

from fescuedrum.conf.document import ZoneState
from fescuedrum.outcomes import Outcome
from fescuedrum_bench.checker import judge
from fescuedrum_bench.experiments.zones import ZONE, Traffic
from fescuedrum_bench.site import Site, SiteShape

SHAPE = SiteShape(zones=3, entries=3, engines=3, services=3, warm_limit=8)


async def wait_for_work(site, known):
    async with asyncio.timeout(20):
        while await site.count_started(ZONE) == known:
            await asyncio.sleep(0.05)


async def test_a_zone_goes_out_and_comes_back_under_load_and_nobody_is_cut():
    """A club's booking is cut when operators take its zone out for repairs.

    The zone is taken out while requests run in it. They must end whole; new ones must
    go elsewhere within seconds, and come back, a few at first, with the zone.
    """
    async with Site(SHAPE, ["club", "county"]) as site:
        traffic = Traffic(site, random.Random(7), requests_per_second=25)
        sending = asyncio.create_task(traffic.run())
        await wait_for_work(site, 0)
        await site.set_zone(ZONE, ZoneState.OUT)
        await asyncio.sleep(2)
        left = await site.count_started(ZONE)
        await asyncio.sleep(1.5)
        assert await site.count_started(ZONE) == left
        out = next(each for each in site.entries if each not in traffic.ready)
        assert out.name == "entry-2"
        await site.set_zone(ZONE, ZoneState.IN)
        await wait_for_work(site, left)
        sending.cancel()
        await traffic.finish()
        records = [each.record for each in traffic.sent]
        verdict = judge(records, await site.count_executions())
    assert verdict.kept, verdict
    outcomes = [record.outcome for record in records]
    assert outcomes.count(Outcome.UNKNOWN) == 0
    assert outcomes.count(Outcome.ANSWERED) > 0.98 * len(outcomes)
