"""Check changes of the configuration during restarts and outages of the platform."""

import asyncio
import uuid

import aiohttp
from support.proposals import build_change

from fescuedrum_bench.logfiles import read_events
from fescuedrum_bench.site import Site, SiteShape

SMALL = SiteShape(zones=2, entries=2, engines=2, services=1)


async def keep_changing(site, stopped):
    """Apply changes through all entries until stopped; return the number accepted."""
    accepted = 0
    while not stopped.is_set():
        for entry in site.entries:
            try:
                status, shown = await site.operate(entry, "configuration")
                if status == 200 and shown["from_platform"]:
                    status, _ = await site.operate(entry, "apply", build_change(shown))
                    accepted += status == 200
            except (OSError, aiohttp.ServerDisconnectedError):
                # The entry is being restarted; a change without a response may still be
                # accepted. A closing port can accept a connection.
                continue
        await asyncio.sleep(0.05)
    return accepted


async def test_no_process_falls_back_while_all_are_restarted_during_changes():
    """Guard against processes that return to an older version after a restart.

    A process starts without state and takes the version of the first peer that answers,
    which may lag. The versions of a process must only increase, and in the end all
    processes must have the newest one.
    """
    async with Site(SMALL, ["club"]) as site:
        stopped = asyncio.Event()
        changing = asyncio.create_task(keep_changing(site, stopped))
        await asyncio.sleep(0.5)
        for member in [*site.agents, *site.entries]:
            await member.stop()
            await member.start()
            await asyncio.sleep(0.3)
        for entry in site.entries:
            await site.wait_ready(f"{entry.url}/readyz")
        stopped.set()
        accepted = await changing
        _, trail = await site.operate(site.entries[0], "audit?count=1000")
        assert trail["findings"] == []
        assert trail["version"] >= accepted > 5
        await site.wait_in_force(trail["version"])
        for member in [*site.agents, *site.entries]:
            events = read_events(member, "version in force")
            versions = [event["version"] for event in events]
            assert versions == sorted(versions), member.name


async def test_a_change_during_an_outage_is_accepted_at_most_once():
    """Guard against a change that is applied twice or reported wrongly in an outage.

    The platform fails during the change, so the response must not claim a result. A
    repeat with the same id shows the result, and the audit has the change once.
    """
    async with Site(SMALL, ["club"]) as site:
        entry = site.entries[0]
        _, shown = await site.operate(entry, "configuration")
        change = build_change(shown, change=uuid.uuid4().hex)
        await site.set_faults(down=True)
        status, answer = await site.operate(entry, "apply", change)
        assert (status, answer["error"]["code"]) == (503, "store-unavailable")
        _, known = await site.operate(entry, "configuration")
        assert (known["version"], known["from_platform"]) == (1, False)
        await site.set_faults(down=False, lost_answers=1)
        for _ in range(2):
            status, answer = await site.operate(entry, "apply", change)
            assert (status, answer["version"]) == (200, 2)
        _, trail = await site.operate(entry, "audit")
        assert [each["change"] for each in trail["records"]].count(
            change["change"]
        ) == 1
        await site.wait_in_force(2)
