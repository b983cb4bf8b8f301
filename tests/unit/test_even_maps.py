"""Check that maps follow demand with few copies."""

import random

import pytest

from fescuedrum.decisions.experts import even
from fescuedrum.decisions.experts.demand import Demand

RANKS = 12
EXPERTS = 72
LIMITS = even.MapLimits(places=8, spare=1)


def build_loads(seed, skew=1.3):
    """Return loads of one layer: few experts carry most, in random order."""
    chance = random.Random(seed)
    loads = [1 / (rank + 1) ** skew for rank in range(EXPERTS)]
    chance.shuffle(loads)
    total = sum(loads)
    return [load / total for load in loads]


def mend(held, loads, limits=LIMITS):
    mender = even.LayerMender(held, loads, limits)
    mender.run()
    return mender.held


def copies(before, after):
    return [len(new - old) for new, old in zip(after, before, strict=True)]


@pytest.mark.parametrize("seed", range(10))
def test_one_change_with_one_copy_a_rank_takes_most_of_a_shift(seed):
    """Demand moves, and every pass takes three times as long until the next move.

    The first map has each expert once, so the rank of the hottest one holds up all.
    """
    (held,) = even.initial_map(EXPERTS, RANKS, 1)
    loads = build_loads(seed)
    before = even.fullest_time(held, loads)
    mended = mend(held, loads)
    assert before > 2.5
    assert even.fullest_time(mended, loads) < 1.45
    assert max(copies(held, mended)) <= 1


@pytest.mark.parametrize("seed", range(10))
def test_maps_stay_whole_through_many_shifts(seed):
    (held,) = even.initial_map(EXPERTS, RANKS, 1)
    for shift in range(8):
        loads = build_loads(seed * 100 + shift)
        mended = mend(held, loads)
        assert set().union(*mended) == set(range(EXPERTS))
        assert max(len(experts) for experts in mended) <= LIMITS.places
        assert max(copies(held, mended)) <= LIMITS.spare
        assert even.fullest_time(mended, loads) <= even.fullest_time(held, loads)
        held = mended
    assert even.fullest_time(held, loads) < 1.6


def test_an_even_map_is_left_alone():
    (held,) = even.initial_map(EXPERTS, RANKS, 1)
    assert mend(held, [1.0] * EXPERTS) == held


def test_the_mender_knows_the_times_of_its_map():
    (held,) = even.initial_map(EXPERTS, RANKS, 1)
    loads = build_loads(3)
    mender = even.LayerMender(held, loads, LIMITS)
    mender.run()
    fullest = even.fullest_time(mender.held, loads)
    assert max(mender.times) == pytest.approx(fullest, rel=1e-6)


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
    assert demand.mean[0][0] == pytest.approx(0.42)
    observe([100.0, 100.0, 100.0, 700.0])
    assert demand.mean[0] == pytest.approx([0.1, 0.1, 0.1, 0.7])


def test_counts_that_began_anew_are_not_taken_for_demand():
    demand = Demand()
    demand.observe([5000, 5000], layers=1)
    assert not demand.observe([10, 20], layers=1)
    assert demand.mean is None
