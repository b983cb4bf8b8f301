"""Check a group whose leaders freeze at any step and resume beside their successors."""

import asyncio
import random

import pytest
from support.clock import run_paused
from support.keepers import RANKS, build_group, build_group_keeper, grow
from support.leaders import Leader, SuspendedEngines, Suspension, end_faults

LEADERS = 3
FAULT_SECONDS = 25.0
# Time between two shifts of demand.
SHIFT_SECONDS = 2.5
# Longest time without a pass once faults have ended.
MAX_STAND_STILL_SECONDS = 2.0
CHECKED_SECONDS = 12.0


def play(seed, mean_calls, **faults):
    """Run leaders that freeze; return the group and its longest final stand-still."""

    async def run():
        generator = random.Random(seed)
        group = build_group(spare=3, seed=seed, **faults)
        leaders = []
        for number in range(LEADERS):
            suspension = Suspension(generator, mean_calls)
            engines = SuspendedEngines(group, suspension)
            keeper = build_group_keeper(engines, seed=number)
            leaders.append(Leader(keeper, suspension, list(leaders)))
        work = [group.run(), grow(group, range(RANKS)), shift_demand(group, generator)]
        work += [leader.run() for leader in leaders]
        tasks = [asyncio.create_task(each) for each in work]
        await asyncio.sleep(FAULT_SECONDS)
        await end_faults(group, leaders)
        longest = await measure_stand_still(group)
        for task in tasks:
            assert not task.done()
            task.cancel()
        return group, longest

    return run_paused(run())


async def shift_demand(group, generator):
    """Let another expert be in demand every few seconds."""
    while True:
        await asyncio.sleep(SHIFT_SECONDS)
        group.hot = generator.randrange(8)


async def measure_stand_still(group):
    """Return the longest time without a pass from now on, in seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + CHECKED_SECONDS
    step, since, longest = group.step, loop.time(), 0.0
    while loop.time() < end:
        await asyncio.sleep(group.pass_seconds)
        if group.step != step:
            step, since = group.step, loop.time()
        longest = max(longest, loop.time() - since)
    return longest


@pytest.mark.parametrize("seed", range(20))
def test_frozen_leaders_leave_one_map_and_a_group_that_makes_passes(seed):
    """Guard against a group that stands still, and against passes with two maps.

    Leaders freeze for up to five seconds between any two calls, and resume while a
    successor leads.
    """
    group, longest = play(seed, mean_calls=60)
    assert group.mixed_passes == []
    assert longest <= MAX_STAND_STILL_SECONDS


@pytest.mark.parametrize("seed", range(20))
def test_frozen_leaders_and_late_orders_leave_one_map(seed):
    """Guard against the same while orders are lost or carried out seconds later."""
    group, longest = play(seed, mean_calls=60, late=0.1, lost=0.1)
    assert group.mixed_passes == []
    assert longest <= MAX_STAND_STILL_SECONDS
