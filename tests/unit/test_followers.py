"""Check how a gateway's copy of a table follows the store."""

import asyncio
import random

from support.clock import run_paused
from support.dialect import MemoryRowStore

from fescuedrum_gateway.process.followers import TableFollower
from fescuedrum_gateway.version.replica import Replica

CHANGES = 40
APART_SECONDS = 0.025
MOST_CALLS = 15
LONGEST_DELAY_SECONDS = 0.2


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


def test_simultaneous_registrations_cost_few_calls_and_are_applied_promptly():
    """Each engine of many that start together costs every reader a call."""

    async def run():
        store = CountingStore()
        applied_at = {}
        loop = asyncio.get_running_loop()
        follower = TableFollower(
            "endpoints",
            Replica("endpoints"),
            store,
            NoPeers(),
            session=None,
            settings=None,
            random=random.Random(1),
        )
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
