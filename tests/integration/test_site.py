"""Check the whole path with real processes."""

import asyncio

from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.site import Site, SiteShape


async def test_a_key_sent_through_two_entries_books_once():
    """A receptionist taps twice and the balancer picks another entry each time.

    Both entries get the same key at the same moment; without the claim each would
    send it to the service, and the order would be packed and charged twice.
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


async def test_bad_input_gets_a_clear_refusal_and_costs_no_endpoint_anything():
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
