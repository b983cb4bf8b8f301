"""Check that the map of a group follows demand, whatever its ranks and leaders do."""

import asyncio
import random

from support.clock import run_paused
from support.groups import REPORT_LAG_SECONDS, StandInGroup
from support.routing import build_endpoint

from fescuedrum.conf.routing import EngineProfile, ExpertProfile, RoutedService
from fescuedrum.decisions.experts import even
from fescuedrum.decisions.experts.pace import PassTimer
from fescuedrum.decisions.presence import EndpointPresence
from fescuedrum.groups.engines import HoldPass, PrepareMap
from fescuedrum.groups.switching import MapChange, MapSwitch, SwitchResult
from fescuedrum_gateway.process.demand import DemandSample
from fescuedrum_gateway.process.keeper import build_keeper
from fescuedrum_gateway.process.metrics import GatewayMetrics

RANKS = 4
SHORTEST_TIME_BETWEEN_MOVES = 3.4
EXPERTS = 16
LAYERS = 2
PROFILE = ExpertProfile(
    LAYERS,
    EXPERTS,
    places=6,
    spare=3,
    copy_seconds=0.1,
    report_lag=REPORT_LAG_SECONDS,
)


def hot_loads(hot):
    """Return loads in which one of sixteen experts carries half of all."""
    return [50 if expert == hot else 3 for expert in range(EXPERTS)]


def build(group):
    service = RoutedService("advice", engine=EngineProfile(6, experts=PROFILE))
    presences = EndpointPresence()
    for rank in range(RANKS):
        presences.listed(build_endpoint(f"e-{rank}", host="engine", port=rank))
    return build_keeper(
        service, group, presences, PassTimer(), GatewayMetrics(), random.Random(1)
    )


def build_group(**faults):
    held = even.initial_map(EXPERTS, RANKS, LAYERS)
    group = StandInGroup([[sorted(each) for each in layer] for layer in held], **faults)
    group.counts = [[0] * EXPERTS * LAYERS for _ in range(RANKS)]
    # The expert that is in demand.
    group.hot = 0
    return group


async def grow(group, ranks, loads=None):
    """Let the counts of some ranks grow as requests come in."""
    while True:
        await asyncio.sleep(0.05)
        for rank in ranks:
            grown = (loads or hot_loads(group.hot)) * LAYERS
            group.counts[rank] = [
                count + 100 * more
                for count, more in zip(group.counts[rank], grown, strict=True)
            ]


def play(story, group_faults=None, ranks=range(RANKS)):
    async def run():
        group = build_group(**group_faults or {})
        keeper = build(group)
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
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        await asyncio.sleep(0.25)
        await keeper.check_groups()


def hosts(group, expert, layer=0):
    return sum(expert in rank.held[layer] for rank in group.ranks)


def test_a_hot_expert_gets_replicas_soon():
    async def story(keeper, group):
        await check_for(keeper, 2.5)

    group = play(story)
    assert hosts(group, 0) > 1
    assert group.mixed_passes == []


def test_demand_is_seen_though_the_first_rank_gets_no_requests():
    """Every stream is late from when a zone is taken out until it is back.

    The counts are read at one rank, and that rank's zone is out: it gets no requests,
    and its counts stand still while demand moves.
    """

    async def story(keeper, group):
        await check_for(keeper, 4.0)

    group = play(story, ranks=(2, 3))
    assert hosts(group, 0) > 1


def test_a_group_that_begins_anew_gets_a_good_map_again():
    async def story(keeper, group):
        await check_for(keeper, 2.5)
        assert hosts(group, 0) > 1
        group.restart()
        held = even.initial_map(EXPERTS, RANKS, LAYERS)
        for number, rank in enumerate(group.ranks):
            rank.held = [sorted(layer[number]) for layer in held]
        await check_for(keeper, 3.0)
        assert hosts(group, 0) > 1

    assert play(story).mixed_passes == []


def test_a_group_that_was_left_held_goes_on():
    """A group stands still for good.

    The process that changed its map froze between holding the pass and releasing it;
    one rank had been armed already.
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


def test_a_move_while_demand_is_measured_is_noticed_soon():
    """Every stream is late for two seconds more than after another move of demand.

    An engine turned slow, and so the counts were read; demand moved between the two
    reads. The map seemed to suit it, and the long passes were taken for usual ones.
    """
    moved_at, followed_at = [], []

    async def story(keeper, group):
        await check_for(keeper, 2.5)
        loop = asyncio.get_running_loop()
        group_state = next(iter(keeper.finder.groups.values()))
        measuring = asyncio.create_task(keeper.remeasure(group_state))
        await asyncio.sleep(0.24)
        group.hot = 7
        moved_at.append(loop.time())
        assert await measuring
        while hosts(group, 7) == 1:
            observe_steady_passes(keeper, loop.time())
            await check_for(keeper, 0.25)
        followed_at.append(loop.time())

    play(story)
    assert followed_at[0] - moved_at[0] < 1.9


def test_a_map_that_never_suited_is_found_before_demand_moves_again():
    """Every stream is late for nine seconds after all gateways were restarted.

    Passes were slow when the new leader began, so that it takes them for usual.
    """
    followed_at = []

    async def story(keeper, group):
        loop = asyncio.get_running_loop()
        observe_steady_passes(keeper, loop.time())
        await check_for(keeper, 2.5)
        group.hot = 7
        moved_at = loop.time()
        while hosts(group, 7) == 1:
            observe_steady_passes(keeper, loop.time())
            await check_for(keeper, 0.25)
        followed_at.append(loop.time() - moved_at)

    play(story)
    assert followed_at[0] < SHORTEST_TIME_BETWEEN_MOVES


def observe_steady_passes(keeper, now):
    """Let the keeper see streams of a steady pace."""
    for number in range(10):
        keeper.pass_timer.observe(0.05, now - 0.2 + number / 50)


def test_a_leader_that_slept_takes_up_the_map_that_is_in_force_now():
    """Every stream is late for twenty seconds, until the group begins anew by chance.

    A leader's machine sleeps; another gateway leads meanwhile and changes the map. The
    first wakes, and plans by the map that it left behind: its changes bring a rank more
    new experts than it takes, and each one is refused.
    """

    async def story(keeper, group):
        await check_for(keeper, 2.5)
        before = [[rank.held[layer] for rank in group.ranks] for layer in range(LAYERS)]
        # All ranks take on the experts of the rank beside them.
        other = [layer[1:] + layer[:1] for layer in before]
        group.spare = None
        change = MapChange(50_000, other, before, copy_seconds=0.1)
        switch = MapSwitch(group, group.addresses, 1, change)
        assert await switch.run() is SwitchResult.SWITCHED
        group.spare = PROFILE.spare
        group.hot = 7
        await check_for(keeper, 4.0)
        assert hosts(group, 7) > 1

    assert play(story, {"spare": PROFILE.spare}).mixed_passes == []


def test_few_ranks_of_a_large_group_are_read():
    """Passes that are long already are made longer than the pause by reading counts."""
    sample = DemandSample()
    assert len(sample.ranks(12, counts_per_rank=288)) == 3
    assert len(sample.ranks(63, counts_per_rank=2016)) == 2
    assert sample.ranks(1, counts_per_rank=2016) == [0]


def test_an_idle_group_is_not_read():
    """Counts are paid for all night, though nothing is asked for.

    An idle group makes no passes, and its counts stand still at every rank.
    """
    reads = []

    async def run():
        group = build_group()
        keeper = build(group)
        read_counts = group.read_counts

        async def count(address):
            reads.append(address)
            return await read_counts(address)

        group.read_counts = count
        await check_for(keeper, 10.0)

    run_paused(run())
    assert len(reads) <= 2


def test_an_even_demand_changes_nothing():
    async def story(keeper, group):
        await check_for(keeper, 3.0)

    async def run():
        group = build_group()
        keeper = build(group)
        passes = asyncio.create_task(group.run())
        growing = asyncio.create_task(grow(group, range(RANKS), [5] * EXPERTS))
        await story(keeper, group)
        passes.cancel()
        growing.cancel()
        return group

    group = run_paused(run())
    assert {rank.map_version for rank in group.ranks} == {0}
