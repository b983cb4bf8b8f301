"""Check that a group never passes with two maps, whatever becomes of the orders."""

import asyncio
import random

import pytest
from support.clock import run_paused
from support.groups import REPORT_LAG_SECONDS, StandInGroup

from fescuedrum.decisions.experts.even import initial_map
from fescuedrum.groups.engines import (
    ArmMap,
    DisarmMap,
    HoldPass,
    OrderResult,
    PrepareMap,
)
from fescuedrum.groups.switching import (
    HOLDING_RANK,
    MapChange,
    MapSwitch,
    SwitchResult,
    recover_held_group,
    steps_ahead,
)

RANKS = 4
EXPERTS = 8


def build_held(shift=0):
    held = initial_map(EXPERTS, RANKS, 2)
    moved = [layer[shift:] + layer[:shift] for layer in held]
    return [[sorted(experts) for experts in layer] for layer in moved]


def build_change(version=1000, shift=1, **changes):
    return MapChange(
        version, build_held(shift), build_held(), copy_seconds=0.1, **changes
    )


def play(story, **faults):
    """Run story(group) beside the group's passes; return the group."""

    async def run():
        group = StandInGroup(build_held(), **faults)
        passes = asyncio.create_task(group.run())
        await asyncio.sleep(0.5)
        await story(group)
        # Orders that come late must find nothing that they could harm.
        await asyncio.sleep(10)
        passes.cancel()
        return group

    return run_paused(run())


def versions(group):
    return {rank.map_version for rank in group.ranks}


def test_all_ranks_switch_at_one_pass_and_the_group_is_not_held_up():
    async def story(group):
        switch = MapSwitch(group, group.addresses, 1, build_change())
        assert await switch.run() is SwitchResult.SWITCHED

    group = play(story)
    assert versions(group) == {1000}
    assert group.mixed_passes == []
    assert group.passes_held == 0


@pytest.mark.parametrize("pass_seconds", [0.044, 0.11, 0.3])
def test_a_new_map_comes_two_passes_after_what_a_report_lags_by(pass_seconds):
    """Every stream is late for half a second more after each move of demand.

    The switch is set six passes ahead, as many as a report lags behind when passes are
    short; but a change is due when they are long, and then it lags by two.
    """

    async def story(group):
        lag = REPORT_LAG_SECONDS
        change = build_change(steps_ahead=steps_ahead(lag, group.pass_seconds))
        switch = MapSwitch(group, group.addresses, 1, change)
        assert await switch.run() is SwitchResult.SWITCHED
        await asyncio.sleep(lag + 2 * pass_seconds)
        assert group.step >= switch.step

    group = play(story, pass_seconds=pass_seconds)
    assert versions(group) == {1000}
    assert group.mixed_passes == []
    assert group.passes_held <= 1


def test_an_arming_that_is_refused_leaves_the_old_map_everywhere():
    """One rank can't switch, and a pass runs with two maps.

    Every rank but one is armed; that one was given another map to prepare meanwhile.
    The armed ranks must be disarmed before the pass may begin.
    """

    async def story(group):
        switch = MapSwitch(group, group.addresses, 1, build_change())
        running = asyncio.create_task(switch.run())
        await asyncio.sleep(0.05)
        group.take(2, 1, PrepareMap(5000, build_held()))
        assert await running is SwitchResult.ABANDONED

    group = play(story)
    assert versions(group) == {0}
    assert group.mixed_passes == []


def test_a_late_arming_is_void_when_its_pass_begins():
    """A rank switches alone, seconds after the change was given up.

    The arming of one rank gets no answer, and the change is abandoned. The order is
    carried out just before the held pass begins. The rank has been given a newer map
    to prepare by then, so the order names nothing that it has.
    """

    async def story(group):
        give = group.send_order

        async def lose_arming(address, epoch, order):
            if isinstance(order, ArmMap) and address[1] == 3:
                return OrderResult.UNANSWERED
            return await give(address, epoch, order)

        group.send_order = lose_arming
        switch = MapSwitch(group, group.addresses, 1, build_change())
        assert await switch.run() is SwitchResult.ABANDONED
        late = ArmMap(1000, group.step + 1)
        assert group.take(3, 1, late) is OrderResult.REFUSED

    group = play(story)
    assert versions(group) == {0}
    assert group.mixed_passes == []


def test_a_hold_without_an_answer_does_not_leave_the_group_standing():
    """A group stands still for good, and every request to it is lost.

    The hold was carried out, but its answer was lost, and the change is given up.
    """

    async def story(group):
        give = group.send_order

        async def lose_answer(address, epoch, order):
            result = await give(address, epoch, order)
            return OrderResult.UNANSWERED if isinstance(order, HoldPass) else result

        group.send_order = lose_answer
        switch = MapSwitch(group, group.addresses, 1, build_change())
        assert await switch.run() is SwitchResult.ABANDONED

    group = play(story)
    assert group.ranks[HOLDING_RANK].held_step is None
    assert group.step > 150


def test_a_new_epoch_ends_a_change():
    async def story(group):
        switch = MapSwitch(group, group.addresses, 1, build_change())
        running = asyncio.create_task(switch.run())
        await asyncio.sleep(0.05)
        group.restart()
        assert await running in (SwitchResult.ABANDONED, SwitchResult.EPOCH_ENDED)

    group = play(story)
    assert versions(group) == {0}
    assert group.mixed_passes == []


def test_a_late_arming_is_void_though_the_rank_was_armed_by_a_second_order():
    """Ranks of a group compute with two maps, and answers are wrong.

    One rank is cut off, so that the change is given up, and the pass stays held until
    the rank is back. Another rank's first arming got no answer, its second one did, and
    it was disarmed; then the first order is carried out, while the pass is held.
    """

    async def story(group):
        give = group.send_order
        loop = asyncio.get_running_loop()
        cut_until = loop.time() + 4.0
        late = []

        async def give_faultily(address, epoch, order):
            is_cut = address[1] == 3 and loop.time() < cut_until
            if is_cut and not isinstance(order, PrepareMap):
                await asyncio.sleep(0.08)
                return OrderResult.UNANSWERED
            if address[1] == 2 and isinstance(order, ArmMap) and not late:
                task = group.take_late(2.5, 2, epoch, order)
                late.append(asyncio.create_task(task))
                return OrderResult.UNANSWERED
            return await give(address, epoch, order)

        group.send_order = give_faultily
        switch = MapSwitch(group, group.addresses, 1, build_change())
        assert await switch.run() is SwitchResult.ABANDONED
        assert late[0].done()

    group = play(story)
    assert group.mixed_passes == []
    assert versions(group) == {0}


def test_a_rank_with_a_higher_version_does_not_hold_the_group_for_good():
    """A group stands still because one rank refuses to forget a map it never had.

    Another process gave that rank a higher version meanwhile.
    """

    async def story(group):
        switch = MapSwitch(group, group.addresses, 1, build_change())
        running = asyncio.create_task(switch.run())
        await asyncio.sleep(0.05)
        group.take(2, 1, PrepareMap(3500, build_held()))
        async with asyncio.timeout(5):
            assert await running is SwitchResult.ABANDONED
        assert switch.void_version > 3500

    assert play(story).mixed_passes == []


def test_ranks_that_began_anew_are_not_flooded_with_orders():
    """A group's engines are kept busy by thousands of orders a second.

    One arming is refused, and the change is given up. The group begins anew before the
    others are disarmed: all refuse at once, while reports still tell of the old epoch.
    """
    given = []

    async def story(group):
        give = group.send_order

        async def count(address, epoch, order):
            given.append(order)
            if isinstance(order, DisarmMap) and group.epoch == 1:
                group.restart()
            return await give(address, epoch, order)

        group.send_order = count
        switch = MapSwitch(group, group.addresses, 1, build_change())
        running = asyncio.create_task(switch.run())
        await asyncio.sleep(0.05)
        group.take(2, 1, PrepareMap(5000, build_held()))
        assert await running is SwitchResult.EPOCH_ENDED

    play(story)
    assert len(given) < 100


@pytest.mark.parametrize("seed", range(60))
def test_passes_have_one_map_under_lost_and_late_orders(seed):
    """Ranks of a group compute with two maps, and answers are wrong.

    A third of the orders get no answer; some of these are carried out up to six
    seconds later. Changes follow one another, and some end halfway because the process
    that leads them dies; another one then settles what it finds.
    """
    chance = random.Random(seed)

    async def story(group):
        for number in range(1, 6):
            change = build_change(number * 1000, shift=number % RANKS)
            switch = MapSwitch(group, group.addresses, 1, change)
            running = asyncio.create_task(switch.run())
            if chance.random() < 0.5:
                await asyncio.sleep(chance.uniform(0.0, 0.6))
                running.cancel()
                await asyncio.gather(running, return_exceptions=True)
                await recover_when_abandoned(group)
            else:
                await running

    group = play(story, seed=seed, late=0.2, lost=0.1)
    assert group.mixed_passes == []
    assert len(versions(group)) == 1


async def recover_when_abandoned(group):
    """Do as a successor: settle a hold that stands for a while."""
    for _ in range(20):
        await asyncio.sleep(1.0)
        report = await group.read_report(group.addresses[HOLDING_RANK])
        if report.held_step is None:
            return
        reports = {
            rank: await group.read_report(address)
            for rank, address in group.addresses.items()
        }
        held = [
            [group.ranks[rank].held[layer] for rank in range(RANKS)]
            for layer in range(2)
        ]
        await recover_held_group(group, group.addresses, reports, held)
