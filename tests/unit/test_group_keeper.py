"""Check that maps are adapted to demand despite failures of ranks and leaders."""

import asyncio
from dataclasses import replace

import pytest
from support.clock import run_paused
from support.keepers import (
    EXPERTS,
    LAYERS,
    PROFILE,
    RANKS,
    build_group,
    build_group_keeper,
    grow,
)

from fescuedrum.decisions.experts import even
from fescuedrum.groups.engines import HoldPass, PrepareMap
from fescuedrum.groups.switching import MapChange, MapSwitch, SwitchResult
from fescuedrum_gateway.process.demand import DemandSample

MIN_SECONDS_BETWEEN_SHIFTS = 3.4


def play(story, group_faults=None, ranks=range(RANKS)):
    """Run story(keeper, group) while passes run and counts grow; return the group."""

    async def run():
        group = build_group(**group_faults or {})
        keeper = build_group_keeper(group)
        tasks = [
            asyncio.create_task(group.run()),
            asyncio.create_task(grow(group, ranks)),
        ]
        await asyncio.sleep(0.5)
        await story(keeper, group)
        for task in tasks:
            task.cancel()
        return group

    return run_paused(run())


async def check_for(keeper, seconds):
    """Let the keeper check its groups periodically for some seconds."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        await asyncio.sleep(0.25)
        await keeper.check_groups()


def count_hosts(group, expert, layer=0):
    """Return the number of ranks that hold an expert."""
    return sum(expert in rank.held[layer] for rank in group.ranks)


def test_hot_expert_gets_replicas():
    async def story(keeper, group):
        await check_for(keeper, 2.5)

    group = play(story)
    assert count_hosts(group, 0) > 1
    assert group.mixed_passes == []


def test_demand_is_measured_although_the_first_rank_gets_no_requests():
    """Guard against streams that are late for as long as a zone is out of service.

    The counts were read at one rank whose zone was out of service: it got no requests,
    and its counts did not change when demand shifted.
    """

    async def story(keeper, group):
        await check_for(keeper, 4.0)

    group = play(story, ranks=(2, 3))
    assert count_hosts(group, 0) > 1


def test_restarted_group_gets_a_balanced_map_again():
    async def story(keeper, group):
        await check_for(keeper, 2.5)
        assert count_hosts(group, 0) > 1
        group.restart()
        held = even.initial_map(EXPERTS, RANKS, LAYERS)
        for number, rank in enumerate(group.ranks):
            rank.held = [sorted(layer[number]) for layer in held]
        await check_for(keeper, 3.0)
        assert count_hosts(group, 0) > 1

    assert play(story).mixed_passes == []


def test_group_with_an_abandoned_hold_continues():
    """Guard against a group that stops forever.

    The process that changed its map froze between holding the pass and releasing it,
    when one rank had already been armed.
    """

    async def story(keeper, group):
        await check_for(keeper, 0.3)
        step = group.step + 5
        held = [[[0]] * RANKS] * LAYERS
        assert group.take(0, 1, PrepareMap(9000, held))
        assert group.take(0, 1, HoldPass(step))
        await check_for(keeper, 4.0)
        assert group.step > step

    assert play(story).mixed_passes == []


def test_a_hold_at_another_rank_is_found_although_it_appears_late():
    """Guard against a group that stops forever.

    A process that settled a hold ended before it released the second rank, and that
    rank's report shows the hold only after the group was searched for the first time.
    """

    async def story(keeper, group):
        await check_for(keeper, 0.5)
        loop, read_report = asyncio.get_running_loop(), group.read_report
        shown_at = loop.time() + 3.0

        async def hide_hold(address):
            report = await read_report(address)
            if loop.time() < shown_at:
                return replace(report, held_step=None)
            return report

        group.read_report = hide_hold
        step = group.step + 2
        assert group.take(1, 1, HoldPass(step))
        await check_for(keeper, 2.5)
        assert group.step < step
        await check_for(keeper, 5.0)
        assert group.step > step

    assert play(story).mixed_passes == []


def test_shift_while_demand_is_measured_is_detected():
    """Guard against streams that are late for another two seconds after a shift.

    An engine became slow, so the counts were read, and demand shifted between the two
    reads. The map seemed to suit the demand, and the long passes became the baseline.
    """
    shifted_at, adapted_at = [], []

    async def story(keeper, group):
        await check_for(keeper, 2.5)
        loop = asyncio.get_running_loop()
        group_state = next(iter(keeper.finder.groups.values()))
        measuring = asyncio.create_task(keeper.remeasure(group_state))
        await asyncio.sleep(0.24)
        group.hot = 7
        shifted_at.append(loop.time())
        assert await measuring
        while count_hosts(group, 7) == 1:
            observe_steady_passes(keeper, loop.time())
            await check_for(keeper, 0.25)
        adapted_at.append(loop.time())

    play(story)
    assert adapted_at[0] - shifted_at[0] < 1.9


def test_unsuitable_map_is_detected_before_demand_shifts_again():
    """Guard against streams that are late for nine seconds after a restart of gateways.

    Passes were already slow when the new leader started, so they became its baseline.
    """
    adapted_at = []

    async def story(keeper, group):
        loop = asyncio.get_running_loop()
        observe_steady_passes(keeper, loop.time())
        await check_for(keeper, 2.5)
        group.hot = 7
        shifted_at = loop.time()
        while count_hosts(group, 7) == 1:
            observe_steady_passes(keeper, loop.time())
            await check_for(keeper, 0.25)
        adapted_at.append(loop.time() - shifted_at)

    play(story)
    assert adapted_at[0] < MIN_SECONDS_BETWEEN_SHIFTS


def observe_steady_passes(keeper, now):
    """Report passes of constant length to the keeper."""
    for number in range(10):
        keeper.timer_of("g").observe(0.05, now - 0.2 + number / 50)


def test_resumed_leader_uses_the_map_in_force():
    """Guard against streams that are late until the group happens to restart.

    A leader's machine is suspended, and another gateway leads and changes the map. The
    first one resumes and plans from the old map: its changes add more new experts to a
    rank than it accepts, and each of them is refused, for twenty seconds.
    """

    async def story(keeper, group):
        await check_for(keeper, 2.5)
        before = [[rank.held[layer] for rank in group.ranks] for layer in range(LAYERS)]
        # Each rank gets the experts of the next rank.
        other = [layer[1:] + layer[:1] for layer in before]
        group.spare = None
        change = MapChange(
            50_000_000,
            other,
            before,
            copy_seconds=0.1,
            previous_version=group.ranks[0].map_version,
        )
        switch = MapSwitch(group, group.addresses, 1, change)
        assert await switch.run() is SwitchResult.SWITCHED
        group.spare = PROFILE.spare
        group.hot = 7
        await check_for(keeper, 4.0)
        assert count_hosts(group, 7) > 1

    assert play(story, {"spare": PROFILE.spare}).mixed_passes == []


def test_only_a_few_ranks_of_a_large_group_are_read():
    """Guard against reads that make long passes longer than the allowed pause."""
    sample = DemandSample()
    assert len(sample.ranks_to_read(12, counts_per_rank=288)) == 3
    assert len(sample.ranks_to_read(63, counts_per_rank=2016)) == 2
    assert sample.ranks_to_read(1, counts_per_rank=2016) == [0]


def test_counts_of_an_idle_group_are_not_read():
    """Guard against expensive reads of counts all night without any requests.

    An idle group makes no passes, and its counts do not change at any rank.
    """
    reads = []

    async def run():
        group = build_group()
        keeper = build_group_keeper(group)
        read_counts = group.read_counts

        async def record_read(address):
            reads.append(address)
            return await read_counts(address)

        group.read_counts = record_read
        await check_for(keeper, 10.0)

    run_paused(run())
    assert len(reads) <= 2


def test_balanced_demand_causes_no_change():
    async def story(keeper, group):
        await check_for(keeper, 3.0)

    async def run():
        group = build_group()
        keeper = build_group_keeper(group)
        passes = asyncio.create_task(group.run())
        growing = asyncio.create_task(grow(group, range(RANKS), [5] * EXPERTS))
        await story(keeper, group)
        passes.cancel()
        growing.cancel()
        return group

    group = run_paused(run())
    assert {rank.map_version for rank in group.ranks} == {0}


@pytest.mark.parametrize("size", [0, 1, EXPERTS * LAYERS - 1])
def test_counts_of_another_length_are_not_used(size):
    """Guard against a task that ends at the counts of faulty ranks."""

    async def story(keeper, group):
        for passes in range(1, 11):
            group.counts = [[passes * 1000] * size for _ in range(RANKS)]
            await check_for(keeper, 0.5)
        assert keeper.finder.groups

    play(story, ranks=())


@pytest.mark.parametrize("held", [[], [[0]], [[0], [EXPERTS]], [[0]] * (LAYERS + 1)])
def test_a_map_that_does_not_fit_the_service_is_not_used(held):
    """Guard against a task that ends at the map of one faulty rank."""

    async def story(keeper, group):
        for rank in group.ranks:
            rank.map_version = 5
        group.ranks[2].held = held
        await check_for(keeper, 1.0)
        assert not keeper.finder.groups

    play(story)
