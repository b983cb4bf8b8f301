"""Check that no pass runs with two maps although orders are lost or late."""

import asyncio
import random
from dataclasses import replace

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
    ReleasePass,
)
from fescuedrum.groups.orders import GroupOrders
from fescuedrum.groups.settling import HOLDING_RANK, SwitchResult, settle_held_group
from fescuedrum.groups.switching import MapChange, MapSwitch, steps_ahead

RANKS = 4
EXPERTS = 8


def build_held(shift=0):
    """Return the initial map with each rank's experts moved by shift ranks."""
    held = initial_map(EXPERTS, RANKS, 2)
    moved = [layer[shift:] + layer[:shift] for layer in held]
    return [[sorted(experts) for experts in layer] for layer in moved]


def build_change(version=1000, shift=1, **changes):
    return MapChange(
        version, build_held(shift), build_held(), copy_seconds=0.1, **changes
    )


def build_next_change(group, version, held, **changes):
    """Return a change from the map that is in force now."""
    return MapChange(
        version,
        held,
        group.map_in_force(),
        previous_version=group.ranks[0].map_version,
        **{"copy_seconds": 0.1, **changes},
    )


def play(story, held=None, **faults):
    """Run story(group) while the group makes passes; return the group."""

    async def run():
        group = StandInGroup(held or build_held(), **faults)
        passes = asyncio.create_task(group.run())
        await asyncio.sleep(0.5)
        await story(group)
        # Wait for late orders, which must not have an effect.
        await asyncio.sleep(10)
        passes.cancel()
        return group

    return run_paused(run())


def versions(group):
    return {rank.map_version for rank in group.ranks}


def test_all_ranks_switch_at_one_pass_without_a_delay():
    async def story(group):
        switch = MapSwitch(group, group.addresses, 1, build_change())
        assert await switch.run() is SwitchResult.SWITCHED

    group = play(story)
    assert versions(group) == {1000}
    assert group.mixed_passes == []
    assert group.passes_held == 0


@pytest.mark.parametrize("pass_seconds", [0.044, 0.11, 0.3])
def test_switch_is_at_most_two_passes_after_the_report_lag(pass_seconds):
    """Guard against streams that are late for another half second after each shift.

    The switch was set six passes ahead, as needed for the lag of a report when passes
    are short. But changes are made when passes are long, and then it lags by two.
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


def test_refused_arming_keeps_the_old_map_on_all_ranks():
    """Guard against a pass with two maps when one rank can't switch.

    All ranks but one are armed; that one has been ordered to prepare another map. The
    armed ranks must be disarmed before the pass may begin.
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


def test_late_arming_has_no_effect_when_its_pass_begins():
    """Guard against a single rank that switches seconds after an abandoned change.

    The order to arm one rank gets no answer, and the change is abandoned. The order is
    carried out just before the held pass begins. The rank has prepared a newer map by
    then, so it must refuse the order.
    """

    async def story(group):
        send_order = group.send_order

        async def lose_arming(address, epoch, order):
            if isinstance(order, ArmMap) and address[1] == 3:
                return OrderResult.UNANSWERED
            return await send_order(address, epoch, order)

        group.send_order = lose_arming
        switch = MapSwitch(group, group.addresses, 1, build_change())
        assert await switch.run() is SwitchResult.ABANDONED
        late = ArmMap(1000, group.step + 1)
        assert group.take(3, 1, late) is OrderResult.REFUSED

    group = play(story)
    assert versions(group) == {0}
    assert group.mixed_passes == []


def test_unanswered_hold_does_not_stop_the_group():
    """Guard against a group that stops forever and loses all its requests.

    The hold is carried out, but its answer is lost, and the change is abandoned.
    """

    async def story(group):
        send_order = group.send_order

        async def lose_answer(address, epoch, order):
            result = await send_order(address, epoch, order)
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


def test_late_arming_has_no_effect_after_a_second_order_was_accepted():
    """Guard against wrong answers from a pass with two maps.

    One rank is unreachable, so the change is abandoned, and the pass is held until the
    rank is back. The first order to arm another rank gets no answer, the second one is
    accepted, and the rank is disarmed. Then the first order is carried out, while the
    pass is still held.
    """

    async def story(group):
        send_order = group.send_order
        loop = asyncio.get_running_loop()
        cut_until = loop.time() + 4.0
        late = []

        async def send_faultily(address, epoch, order):
            is_cut = address[1] == 3 and loop.time() < cut_until
            if is_cut and not isinstance(order, PrepareMap):
                await asyncio.sleep(0.08)
                return OrderResult.UNANSWERED
            if address[1] == 2 and isinstance(order, ArmMap) and not late:
                task = group.carry_out_late(2.5, 2, epoch, order)
                late.append(asyncio.create_task(task))
                return OrderResult.UNANSWERED
            return await send_order(address, epoch, order)

        group.send_order = send_faultily
        switch = MapSwitch(group, group.addresses, 1, build_change())
        assert await switch.run() is SwitchResult.ABANDONED
        assert late[0].done()

    group = play(story)
    assert group.mixed_passes == []
    assert versions(group) == {0}


def test_rank_with_a_higher_version_does_not_stop_the_group():
    """Guard against a group that stops because one rank refuses a replacement map.

    Another process has sent that rank a higher version meanwhile.
    """

    async def story(group):
        switch = MapSwitch(group, group.addresses, 1, build_change())
        running = asyncio.create_task(switch.run())
        await asyncio.sleep(0.05)
        group.take(2, 1, PrepareMap(3500, build_held()))
        async with asyncio.timeout(5):
            assert await running is SwitchResult.ABANDONED
        assert switch.highest_version > 3500

    assert play(story).mixed_passes == []


def test_restarted_ranks_are_not_flooded_with_orders():
    """Guard against thousands of orders per second to a group's engines.

    One order to arm is refused, and the change is abandoned. The group restarts before
    the other ranks are disarmed: all of them refuse orders at once, while their reports
    still show the old epoch.
    """
    sent = []

    async def story(group):
        send_order = group.send_order

        async def count_orders(address, epoch, order):
            sent.append(order)
            if isinstance(order, DisarmMap) and group.epoch == 1:
                group.restart()
            return await send_order(address, epoch, order)

        group.send_order = count_orders
        switch = MapSwitch(group, group.addresses, 1, build_change())
        running = asyncio.create_task(switch.run())
        await asyncio.sleep(0.05)
        group.take(2, 1, PrepareMap(5000, build_held()))
        assert await running is SwitchResult.EPOCH_ENDED

    play(story)
    assert len(sent) < 100


@pytest.mark.parametrize("seed", range(60))
def test_passes_have_one_map_despite_lost_and_late_orders(seed):
    """Guard against wrong answers from a pass with two maps.

    A third of the orders get no answer; some of these are carried out up to six seconds
    later. Changes follow one another, and some stay unfinished because their process
    ends; another process then recovers the group.
    """
    chance = random.Random(seed)

    async def story(group):
        for number in range(1, 6):
            shifted = build_held(number % RANKS)
            change = build_next_change(group, number * 1000, shifted)
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
    """Recover the group like a successor does once a pass is held for some time."""
    for _ in range(20):
        await asyncio.sleep(1.0)
        report = await group.read_report(group.addresses[HOLDING_RANK])
        if report.held_step is None:
            return
        orders = GroupOrders(group, group.addresses, group.epoch)
        reports = await orders.read_reports()
        await settle_held_group(orders, reports, group.map_in_force())


def swap(held, first, second):
    """Return a one-layer map with two experts exchanged."""
    exchanged = {first: second, second: first}
    return [
        [sorted(exchanged.get(each, each) for each in experts) for experts in layer]
        for layer in held
    ]


async def change_map_twice(group):
    """Change a group's map twice, as other leaders do while one is frozen."""
    for version, pair in ((2000, (1, 4)), (3000, (0, 6))):
        exchanged = swap(group.map_in_force(), *pair)
        change = build_next_change(group, version, exchanged)
        switch = MapSwitch(group, group.addresses, 1, change)
        assert await switch.run() is SwitchResult.SWITCHED
        await asyncio.sleep(1.0)


async def expect_passes_after(switching, group):
    """Check that a change is abandoned soon, and that the group makes passes then."""
    async with asyncio.timeout(5):
        assert await switching is SwitchResult.ABANDONED
    step = group.step
    await asyncio.sleep(2.0)
    assert group.step > step + 30


def test_leader_that_sleeps_before_its_hold_does_not_stop_the_group():
    """Guard against a group that makes no pass for as long as it lives.

    A leader freezes between preparing and holding, others change the map twice, and the
    leader goes on with its old change. No rank can be armed for it, and none accepts
    the leader's previous map, of which too many experts are new to it.
    """
    held = [[[0, 1], [2, 3], [4, 5], [6, 7]]]

    async def story(group):
        slow = build_next_change(group, 1000, swap(held, 0, 2), copy_seconds=4.0)
        sleeping = asyncio.create_task(MapSwitch(group, group.addresses, 1, slow).run())
        await asyncio.sleep(0.5)
        await change_map_twice(group)
        await expect_passes_after(sleeping, group)

    group = play(story, held=held, spare=1)
    assert group.mixed_passes == []
    assert versions(group) == {3000}


def test_a_change_is_undone_although_the_map_in_force_is_another():
    """Guard against a group that makes no pass for as long as it lives.

    A leader freezes after its look at a report and before its hold. The hold is carried
    out when others have changed the map, and no rank accepts the leader's old one.
    """
    held = [[[0, 1], [2, 3], [4, 5], [6, 7]]]

    async def story(group):
        send_order = group.send_order
        resumed = asyncio.Event()

        async def freeze(address, epoch, order):
            if isinstance(order, HoldPass) and not resumed.is_set():
                await resumed.wait()
                order = replace(order, step=group.step + 3)
            return await send_order(address, epoch, order)

        group.send_order = freeze
        old = build_next_change(group, 1000, swap(held, 0, 2))
        frozen = MapSwitch(group, group.addresses, 1, old)
        freezing = asyncio.create_task(frozen.run())
        await asyncio.sleep(0.5)
        group.send_order = send_order
        await change_map_twice(group)
        frozen.step = group.step + 3
        resumed.set()
        await expect_passes_after(freezing, group)

    group = play(story, held=held, spare=1)
    assert group.mixed_passes == []
    assert versions(group) == {3000}


def test_a_late_release_does_not_begin_a_pass_that_is_being_settled():
    """Guard against wrong answers from a pass with two maps.

    A leader freezes when all ranks are armed. Another one disarms them, and the first
    one's release arrives when half of the ranks are disarmed.
    """

    async def story(group):
        send_order = group.send_order
        disarmed = []

        async def release_late(address, epoch, order):
            if isinstance(order, DisarmMap):
                disarmed.append(address)
                if len(disarmed) == RANKS // 2:
                    group.take(HOLDING_RANK, epoch, ReleasePass(switch.step))
                await asyncio.sleep(0.06 * len(disarmed))
            return await send_order(address, epoch, order)

        async def freeze(address, epoch, order):
            if isinstance(order, ReleasePass):
                await asyncio.sleep(100)
            return await send_order(address, epoch, order)

        group.send_order = freeze
        switch = MapSwitch(group, group.addresses, 1, build_change())
        freezing = asyncio.create_task(switch.run())
        await asyncio.sleep(1.5)
        freezing.cancel()
        assert {rank.armed.version for rank in group.ranks} == {1000}
        group.send_order = release_late
        await recover_when_abandoned(group)

    group = play(story)
    assert group.mixed_passes == []
    assert versions(group) == {0}
    assert group.step > 200
