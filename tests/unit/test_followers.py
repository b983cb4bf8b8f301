"""Check how a gateway's copy of a table follows the store."""

import asyncio
import itertools
import random
from dataclasses import replace

import pytest
from support.clock import run_paused
from support.dialect import MemoryRowStore
from support.silent_store import SilentStore

from fescuedrum_gateway.process.followers import TableFollower
from fescuedrum_gateway.version.replica import Replica

CHANGES = 40
APART_SECONDS = 0.025
MOST_CALLS = 15
LONGEST_DELAY_SECONDS = 0.2
# A version is in force this long after it was confirmed, and this long after the end of
# an outage of the store.
IN_FORCE_SECONDS = 2.0
SETTLED_SECONDS = 3.0
# A row that has not been applied by then counts as this late.
LONGEST_WAIT_SECONDS = 60.0


class CountingStore(MemoryRowStore):
    """Count the calls that wait for changes."""

    def __init__(self):
        super().__init__()
        self.calls = 0

    async def wait_for_changes(self, table, after, wait_seconds):
        self.calls += 1
        return await super().wait_for_changes(table, after, wait_seconds)


class NoPeers:
    """Stand in for Peers of a gateway that is alone."""

    def must_follow_store(self):
        return True


def build_follower(name, store):
    """Return the follower of a gateway that is alone."""
    return TableFollower(
        name,
        Replica(name),
        store,
        NoPeers(),
        session=None,
        settings=None,
        random=random.Random(1),
    )


class StoreOfOthers(CountingStore):
    """Return no change, as all changed rows are of other parts of the table."""

    async def wait_for_changes(self, table, after, wait_seconds):
        changes = await super().wait_for_changes(table, after, wait_seconds)
        return replace(changes, rows=[], left_out=len(changes.rows))


def test_changes_of_other_parts_cost_few_calls():
    """Guard against a call to the store for each change that concerns others."""

    async def run():
        store = StoreOfOthers()
        following = asyncio.create_task(build_follower("endpoints", store).run())
        await asyncio.sleep(1.0)
        store.calls = 0
        for number in range(CHANGES):
            store.put("endpoints", f"engine-{number}", number)
            await asyncio.sleep(APART_SECONDS)
        following.cancel()
        return store.calls

    assert run_paused(run()) <= MOST_CALLS


def test_simultaneous_registrations_cost_few_calls_and_are_applied_promptly():
    """Each engine of many that start together costs every reader a call."""

    async def run():
        store = CountingStore()
        applied_at = {}
        loop = asyncio.get_running_loop()
        follower = build_follower("endpoints", store)
        follower.on_rows = lambda rows: applied_at.update(
            (row.key, loop.time()) for row in rows
        )
        following = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        store.calls = 0
        written_at = {}
        for number in range(CHANGES):
            written_at[f"engine-{number}"] = loop.time()
            store.put("endpoints", f"engine-{number}", number)
            await asyncio.sleep(APART_SECONDS)
        await asyncio.sleep(1.0)
        following.cancel()
        return store.calls, [applied_at[name] - at for name, at in written_at.items()]

    calls, delays = run_paused(run())
    assert calls <= MOST_CALLS
    assert max(delays) <= LONGEST_DELAY_SECONDS


def seconds_until_applied(table, silent_from, silent_seconds, confirmed_after):
    """Return how late a row is applied that is written after a silent outage.

    The result counts from the moment at which it has to be applied.
    """

    async def run():
        store = SilentStore()
        store.put(table, "document", 1)
        loop = asyncio.get_running_loop()
        applied = loop.create_future()
        follower = build_follower(table, store)

        def record(rows):
            if any(store.objects[row.value] == 2 for row in rows):
                applied.set_result(loop.time())

        follower.on_rows = record
        if not silent_from:
            store.fall_silent()
        following = asyncio.create_task(follower.run())
        await asyncio.sleep(silent_from)
        store.fall_silent()
        await asyncio.sleep(silent_seconds)
        store.return_to_service()
        returned = loop.time()
        await asyncio.sleep(confirmed_after)
        store.put(table, "document", 2)
        due = max(loop.time() + IN_FORCE_SECONDS, returned + SETTLED_SECONDS)
        await asyncio.wait([applied], timeout=LONGEST_WAIT_SECONDS)
        following.cancel()
        return applied.result() - due if applied.done() else LONGEST_WAIT_SECONDS

    return run_paused(run())


@pytest.mark.parametrize("table", ["operators", "endpoints"])
def test_rows_confirmed_after_a_silent_outage_of_the_store_are_applied_in_time(table):
    """Guard against readers whose open calls to the store are never answered."""
    late = {
        case: seconds_until_applied(table, *case)
        for case in itertools.product(
            (0.0, 0.3, 1.1, 7.0), (0.1, 1.0, 2.6, 4.0, 9.0, 14.0, 31.0), (0.0, 1.0, 3.0)
        )
    }
    assert {case: seconds for case, seconds in late.items() if seconds > 0} == {}
