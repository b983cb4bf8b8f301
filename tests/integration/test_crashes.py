"""Check bookings when an entry or an agent crashes at any step of the protocol."""

import asyncio

import pytest

from fescuedrum.faults import ProtocolStep
from fescuedrum.outcomes import Outcome
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.site import Site, SiteShape

ORDERS = 6
# A crashed entry is away for 1 to 2 s; an agent's crash is reported at once.
TRIES = {"entry": 60, "agent": 12}
# Steps that only a repeated key reaches, after its first attempt has failed.
REPEAT_STEPS = {
    ProtocolStep.ENTRY_BEFORE_FENCE,
    ProtocolStep.ENTRY_FENCED,
    ProtocolStep.AGENT_FENCED,
}


async def book_until_answered(callers, reference, records, tries):
    """Send a booking through one entry after the other until it is answered."""
    for attempt in range(tries):
        record = await callers[attempt % len(callers)].book(reference)
        records.append(record)
        if record.outcome == Outcome.ANSWERED:
            return
        await asyncio.sleep(0.2)


async def restart_after_crash(site, member):
    """Wait for the crash of a process and start it again."""
    await member.process.wait()
    await site.restart(member)


@pytest.mark.parametrize("step", list(ProtocolStep))
async def test_a_crash_at_any_step_loses_and_doubles_nothing(step):
    """Guard against lost and doubled bookings when a process is killed at a step.

    The caller repeats the key through another entry. A booking that ran must not run
    again or be reported as not run; one that never started must run.
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
        restarting = [
            asyncio.create_task(restart_after_crash(site, site.members[name]))
            for name in site.fault_steps
        ]
        records = []
        callers = [
            Caller(site.session, site.members[name].url, "club", site.keys["club"])
            for name in entries
        ]
        await asyncio.gather(
            *(
                book_until_answered(callers, f"o-{i}", records, tries)
                for i in range(ORDERS)
            )
        )
        # The test is valid only if the step was reached.
        async with asyncio.timeout(5):
            await asyncio.gather(*restarting)
        executions = await site.count_executions()
    verdict = judge(records, executions)
    assert verdict.kept, (verdict, records, executions)
    told = {record.reference for record in records if record.outcome == "answered"}
    unknown = {record.reference for record in records if record.outcome == "unknown"}
    assert told | unknown == {f"o-{index}" for index in range(ORDERS)}
    if victim == "entry-0":
        assert len(told) == ORDERS
