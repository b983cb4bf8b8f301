"""Check requests through a site of real processes."""

import asyncio

from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.site import Site, SiteShape


async def test_a_key_that_is_sent_through_two_entries_runs_once():
    """Guard against running a request twice that two entries get at the same time.

    A caller repeats a key at once, and the balancer chooses another entry. Without the
    claim, each entry would send the booking to the service.
    """
    async with Site(SiteShape(engines=1), ["club"]) as site:
        callers = [
            Caller(site.session, entry.url, "club", site.keys["club"])
            for entry in site.entries
        ]
        waiting = [
            caller.book(f"order-{index}") for index in range(20) for caller in callers
        ]
        records = await asyncio.gather(*waiting)
        executions = await site.count_executions()
    verdict = judge(records, executions)
    assert verdict.answered == 40
    assert verdict.kept
    assert sum(executions.values()) == 20


async def test_invalid_requests_are_refused_and_reach_no_endpoint():
    async with Site(SiteShape(entries=1, engines=1), ["club"]) as site:
        (entry,) = site.entries
        caller = Caller(site.session, entry.url, "club", "club.wrong")
        status, outcome, _, _ = await caller.send("/v1/completions", {})
        assert (status, outcome) == (401, "not-run")
        caller = Caller(site.session, entry.url, "club", site.keys["club"])
        status, outcome, _, _ = await caller.send("/v1/completions", {"model": "x"})
        assert (status, outcome) == (404, "not-run")
        status, outcome, _, _ = await caller.send("/v1/completions", {"model": 1})
        assert (status, outcome) == (400, "not-run")
        engine = site.members["engine-0"]
        load = await site.fetch_json(f"{engine.url}/load")
        assert load["answered"] == 0
