"""Check that maps follow demand with few copies."""

import random
from dataclasses import replace

import pytest

from fescuedrum.conf.routing import ExpertProfile
from fescuedrum.decisions.experts import even
from fescuedrum.decisions.experts.demand import Demand
from fescuedrum.decisions.experts.worth import build_map_limits, min_improvement

RANKS = 12
EXPERTS = 72
LIMITS = even.MapLimits(places=8, spare=1, copies=8, min_gain=0.15)


def build_loads(seed, skew=1.3, experts=EXPERTS):
    """Return loads of one layer: few experts carry most, in random order."""
    chance = random.Random(seed)
    loads = [1 / (place + 1) ** skew for place in range(experts)]
    chance.shuffle(loads)
    total = sum(loads)
    return [load / total for load in loads]


def rebalance(held, loads, limits=LIMITS):
    rebalancer = even.MapRebalancer([held], [loads], limits)
    rebalancer.run()
    return rebalancer.held[0]


def copies(before, after):
    return [len(new - old) for new, old in zip(after, before, strict=True)]


@pytest.mark.parametrize("seed", range(10))
def test_one_change_with_one_copy_a_rank_takes_most_of_a_shift(seed):
    """Demand moves, and every pass takes three times as long until the next move.

    The first map has each expert once, so the rank of the hottest one holds up all.
    """
    (held,) = even.initial_map(EXPERTS, RANKS, 1)
    loads = build_loads(seed)
    before = even.max_to_mean_load(held, loads)
    mended = rebalance(held, loads)
    assert before > 2.5
    assert even.max_to_mean_load(mended, loads) < 1.45
    assert max(copies(held, mended)) <= 1


@pytest.mark.parametrize("seed", range(10))
def test_maps_stay_whole_through_many_shifts(seed):
    (held,) = even.initial_map(EXPERTS, RANKS, 1)
    for shift in range(8):
        loads = build_loads(seed * 100 + shift)
        mended = rebalance(held, loads)
        assert set().union(*mended) == set(range(EXPERTS))
        assert max(len(experts) for experts in mended) <= LIMITS.places
        assert max(copies(held, mended)) <= LIMITS.spare
        assert even.max_to_mean_load(mended, loads) <= even.max_to_mean_load(
            held, loads
        )
        held = mended
    assert even.max_to_mean_load(held, loads) < 1.6


@pytest.mark.parametrize("seed", range(5))
def test_the_copies_of_all_layers_are_bounded_at_each_rank(seed):
    """A shift hits every layer, and the map follows half a second late.

    Each layer's copies were bounded by themselves, so one rank got a copy in each, and
    all others waited for that rank. With one bound for all, the last layer got none.
    """
    layers = 4
    held = even.initial_map(EXPERTS, RANKS, layers)
    loads = [build_loads(seed * 10 + layer) for layer in range(layers)]
    limits = replace(LIMITS, spare=3, copies=2)
    rebalancer = even.MapRebalancer(held, loads, limits)
    rebalancer.run()
    taken = [copies(held[layer], rebalancer.held[layer]) for layer in range(layers)]
    assert max(sum(each) for each in zip(*taken, strict=True)) <= 2
    assert even.skew(held, loads) > 2.5
    assert even.skew(rebalancer.held, loads) < 1.7


def test_a_large_group_of_small_experts_gets_an_even_map():
    """Passes of a large group stay two thirds longer than they need be.

    With many ranks one step relieves one of many full ranks, a small part of the whole,
    and the mender stopped after a step for each rank.
    """
    profile = ExpertProfile(
        layers=1,
        experts=252,
        places=5,
        spare=2,
        copy_seconds=0.0142,
        report_lag=0.2,
    )
    held = even.initial_map(profile.experts, 63, 1)
    loads = [build_loads(1, skew=0.67, experts=profile.experts)]
    rebalancer = even.MapRebalancer(held, loads, build_map_limits(profile, 63))
    rebalancer.run()
    assert even.skew(held, loads) > 2.5
    assert even.skew(rebalancer.held, loads) < 1.25


def test_large_experts_are_copied_less_and_only_for_more():
    small = ExpertProfile(
        layers=4,
        experts=72,
        places=8,
        spare=3,
        copy_seconds=0.0142,
        report_lag=0.2,
    )
    large = replace(small, copy_seconds=0.098)
    assert build_map_limits(small, 12).copies > build_map_limits(large, 12).copies == 2
    assert build_map_limits(small, 12).min_gain < build_map_limits(large, 12).min_gain
    assert min_improvement(small) < min_improvement(large)


def test_an_expert_that_takes_long_to_copy_may_still_be_copied():
    huge = ExpertProfile(
        layers=1, experts=8, places=4, spare=1, copy_seconds=5.0, report_lag=0.2
    )
    assert build_map_limits(huge, 4).copies == 1


def test_an_even_map_is_left_alone():
    (held,) = even.initial_map(EXPERTS, RANKS, 1)
    assert rebalance(held, [1.0] * EXPERTS) == held


def test_the_mender_knows_the_times_of_its_map():
    (held,) = even.initial_map(EXPERTS, RANKS, 1)
    loads = build_loads(3)
    rebalancer = even.LayerRebalancer(held, loads, LIMITS, [0] * RANKS)
    while not rebalancer.done:
        rebalancer.take_step()
    max_time = even.max_to_mean_load(rebalancer.held, loads)
    assert max(rebalancer.times) == pytest.approx(max_time, rel=1e-6)


def test_demand_follows_a_shift_at_once_and_noise_slowly():
    demand = Demand()
    counts = [0.0] * 4
    steady = [400.0, 300.0, 200.0, 100.0] * 10

    def observe(part):
        for expert, count in enumerate(part[:4]):
            counts[expert] += count * 10
        return demand.observe(list(counts), layers=1)

    assert not observe(steady)
    assert observe(steady)
    observe([440.0, 260.0, 200.0, 100.0])
    assert demand.mean_shares[0][0] == pytest.approx(0.42)
    observe([100.0, 100.0, 100.0, 700.0])
    assert demand.mean_shares[0] == pytest.approx([0.1, 0.1, 0.1, 0.7])


def test_counts_that_began_anew_are_not_taken_for_demand():
    demand = Demand()
    demand.observe([5000, 5000], layers=1)
    assert not demand.observe([10, 20], layers=1)
    assert demand.mean_shares is None


def build_rebalancer(seed, ranks=40, experts=80):
    """Return a mender of one layer whose experts have from one to many hosts."""
    chance = random.Random(seed)
    limits = even.MapLimits(places=4, spare=3, copies=9, min_gain=0.0)
    (held,) = even.initial_map(experts, ranks, 1)
    loads = build_loads(seed, experts=experts)
    rebalancer = even.LayerRebalancer(held, loads, limits, [0] * ranks)
    for _ in range(chance.randrange(60)):
        rebalancer.take_step()
    return rebalancer


@pytest.mark.parametrize("seed", range(12))
def test_the_gain_of_a_step_is_what_the_step_takes_off(seed):
    """The map of a large group follows demand a second late.

    Each step of mending weighs dozens of others, and each weighing added up all ranks
    that hold an expert. What steps have in common is worked out once now; a gain that
    is not the true one would choose steps that bring nothing.
    """
    rebalancer = build_rebalancer(seed)
    before = sum(rebalancer.time_powers)
    tried = 0
    for gain, kind, details in list(rebalancer.candidates()):
        step = kind(*details)
        time_changes = rebalancer.time_changes(step)
        times = [
            time + time_changes.get(rank, 0.0)
            for rank, time in enumerate(rebalancer.times)
        ]
        taken_off = before - sum(time**even.LOAD_EXPONENT for time in times)
        copies = count_copies(rebalancer, step)
        assert gain * copies == pytest.approx(taken_off, rel=1e-6, abs=before * 1e-9)
        tried += 1
    assert tried


def count_copies(rebalancer, step):
    match step:
        case even.Replicate(expert, rank):
            taken = ((expert, rank),)
        case even.Exchange(expert, rank, other_expert, other_rank):
            taken = ((expert, other_rank), (other_expert, rank))
    return max(
        sum(each not in rebalancer.initial_held[rank] for each, rank in taken), 0.5
    )


@pytest.mark.parametrize("seed", range(4))
def test_the_times_that_a_mender_keeps_are_those_of_its_map(seed):
    rebalancer = build_rebalancer(seed)
    assert rebalancer.max_time == max(rebalancer.times)
    assert rebalancer.max_time == pytest.approx(
        even.max_to_mean_load(rebalancer.held, rebalancer.loads), rel=1e-6
    )
    assert rebalancer.time_powers == [
        time**even.LOAD_EXPONENT for time in rebalancer.times
    ]
