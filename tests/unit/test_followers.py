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
    """Count the calls for changes."""

    def __init__(self):
        super().__init__()
        self.calls = 0

    async def wait_for_changes(self, table, after, wait_seconds):
        self.calls += 1
        return await super().wait_for_changes(table, after, wait_seconds)


class NoPeers:
    """Leave the store to this gateway."""

    def must_follow_store(self):
        return True


def test_engines_that_register_together_cost_few_calls_and_are_known_at_once():
    """Each of a thousand engines that start together costs a call of every reader."""

    async def run():
        store = CountingStore()
        taken = {}
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
        follower.take = lambda rows: taken.update(
            (row.key, loop.time()) for row in rows
        )
        following = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        store.calls = 0
        written = {}
        for number in range(CHANGES):
            written[f"engine-{number}"] = loop.time()
            store.put("endpoints", f"engine-{number}", number)
            await asyncio.sleep(APART_SECONDS)
        await asyncio.sleep(1.0)
        following.cancel()
        return store.calls, [taken[name] - at for name, at in written.items()]

    calls, delays = run_paused(run())
    assert calls <= MOST_CALLS
    assert max(delays) <= LONGEST_DELAY_SECONDS
