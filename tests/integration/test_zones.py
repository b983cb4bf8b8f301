"""Check that a zone is taken out and put back without truncated requests."""

import asyncio
import random

from fescuedrum.conf.document import ZoneState
from fescuedrum.outcomes import Outcome
from fescuedrum_bench.checker import judge
from fescuedrum_bench.experiments.zones import ZONE, Traffic
from fescuedrum_bench.site import Site, SiteShape

SHAPE = SiteShape(zones=3, entries=3, engines=3, services=3, warm_limit=8)


async def wait_for_work(site, known):
    """Wait until more requests than the known number have started in the zone."""
    async with asyncio.timeout(20):
        while await site.count_started(ZONE) == known:
            await asyncio.sleep(0.05)


async def test_a_zone_is_taken_out_and_put_back_under_load_without_loss():
    """Guard against requests that are lost when operators take their zone out.

    Running requests must finish. New ones must go to other zones within seconds, and
    return with the zone, few at first.
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
