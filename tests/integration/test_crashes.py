"""Kill entry and agent at every step of the protocol."""

import asyncio

import pytest

from fescuedrum.faults import ProtocolStep
from fescuedrum.outcomes import Outcome
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.site import Site, SiteShape

ORDERS = 6
# The entries are gone for a second or two; an agent's crash is told at once.
TRIES = {"entry": 60, "agent": 12}
# Steps that only a repeat of a key reaches: its first sending must fail before them.
REPEAT_STEPS = {
    ProtocolStep.ENTRY_BEFORE_FENCE,
    ProtocolStep.ENTRY_FENCED,
    ProtocolStep.AGENT_FENCED,
}


async def insist(callers, reference, records, tries):
    """Send a booking until its caller has an answer, each time by the next entry."""
    for attempt in range(tries):
        record = await callers[attempt % len(callers)].book(reference)
        records.append(record)
        if record.outcome == Outcome.ANSWERED:
            return
        await asyncio.sleep(0.2)


async def revive(site, member):
    await member.process.wait()
    await site.restart(member)


@pytest.mark.parametrize("step", list(ProtocolStep))
async def test_a_crash_at_any_step_loses_and_doubles_nothing(step):
    """A club sends a booking again after its connection broke.

    The entry or the agent that had it in hand was killed at that step. The repeat,
    through another entry, must find what became of the first sending: not book again
    what ran, not report as not run what did, and book what never started.
    """
    victim = "agent-service-0" if step.startswith("agent") else "entry-0"
    tries = TRIES[step.partition("-")[0]]
    site = Site(SiteShape(zones=1, engines=0), ["club"])
    site.fault_steps[victim] = step
    entries = ["entry-0", "entry-1"]
    if step in REPEAT_STEPS:
        entries.reverse()
        site.fault_steps["entry-1"] = ProtocolStep.ENTRY_CLAIMED
    async with site:
        reviving = [
            asyncio.create_task(revive(site, site.members[name]))
            for name in site.fault_steps
        ]
        records = []
        callers = [
            Caller(site.session, site.members[name].url, "club", site.keys["club"])
            for name in entries
        ]
        await asyncio.gather(
            *(insist(callers, f"o-{i}", records, tries) for i in range(ORDERS))
        )
        # Nothing is proved unless the step was reached.
        async with asyncio.timeout(5):
            await asyncio.gather(*reviving)
        executions = await site.count_executions()
    verdict = judge(records, executions)
    assert verdict.kept, (verdict, records, executions)
    told = {record.reference for record in records if record.outcome == "answered"}
    unknown = {record.reference for record in records if record.outcome == "unknown"}
    assert told | unknown == {f"o-{index}" for index in range(ORDERS)}
    if victim == "entry-0":
        assert len(told) == ORDERS
