"""Check leases on a paused clock against a table in memory."""

import asyncio
import random

from support.clock import run_paused
from support.tables import MemoryTable

from fescuedrum.platform.leases import Lease


def build_lease(table, holder, seed=1):
    return Lease(table, "zone-1", holder, random.Random(seed), duration=6.0)


def test_a_paused_holder_no_longer_holds_and_has_a_lower_fence():
    """The holder is paused past its lease, and another entry takes over.

    Afterwards the first must see that it no longer holds the lease. Its old fence must
    be lower than the new one, so that receivers refuse orders that are under way.
    """

    async def scenario():
        table = MemoryTable()
        first, second = build_lease(table, "a#1"), build_lease(table, "b#1")
        await first.step()
        old = first.fence
        task = asyncio.create_task(second.run())
        await asyncio.sleep(5.9)
        assert second.fence is None
        await asyncio.sleep(4)
        assert first.fence is None
        assert second.fence > old
        await first.step()
        assert first.fence is None
        task.cancel()

    run_paused(scenario())


def test_a_renewed_lease_keeps_its_holder_and_fence():
    async def scenario():
        table = MemoryTable()
        leases = [build_lease(table, name, index) for index, name in enumerate("abc")]
        await leases[0].step()
        fence = leases[0].fence
        tasks = [asyncio.create_task(lease.run()) for lease in leases]
        for _ in range(100):
            await asyncio.sleep(1)
            assert [lease.fence for lease in leases] == [fence, None, None]
        for task in tasks:
            task.cancel()

    run_paused(scenario())


def test_a_write_without_a_response_is_resolved_by_the_next_read():
    """The table applies the write, but its response is lost.

    If the entry assumed a failure, nobody would hold the lease for a whole term; if it
    assumed success, two processes could hold it.
    """

    async def scenario():
        table = MemoryTable()
        lease = build_lease(table, "a#1")
        table.lost_answers = 1
        task = asyncio.create_task(lease.run())
        await asyncio.sleep(0.1)
        assert lease.fence is None
        await asyncio.sleep(2)
        assert lease.fence == 1
        task.cancel()

    run_paused(scenario())


def test_a_released_lease_is_acquired_at_once_with_a_higher_fence():
    async def scenario():
        table = MemoryTable()
        first, second = build_lease(table, "a#1"), build_lease(table, "a#2")
        await first.step()
        old = first.fence
        await first.release()
        await second.step()
        assert first.fence is None
        assert second.fence > old

    run_paused(scenario())


def test_two_processes_never_hold_a_lease_despite_pauses_and_lost_responses():
    async def scenario(seed):
        chooser = random.Random(seed)
        table = MemoryTable()
        leases = [build_lease(table, name, index) for index, name in enumerate("abcd")]
        highest = 0
        for _ in range(400):
            await asyncio.sleep(chooser.uniform(0, 3))
            table.lost_answers = chooser.choice([0, 0, 1])
            table.down = chooser.random() < 0.1
            await asyncio.gather(chooser.choice(leases).step(), return_exceptions=True)
            fences = [lease.fence for lease in leases if lease.fence is not None]
            assert len(fences) <= 1
            assert all(fence >= highest for fence in fences)
            highest = max([highest, *fences])
        assert highest > 1

    for seed in range(10):
        run_paused(scenario(seed))
