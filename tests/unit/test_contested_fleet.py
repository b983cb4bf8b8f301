"""Check what callers get by rank and organisation where many gateways share places."""

import collections
import statistics

import pytest
from support.contested import ORGANISATIONS, compete

# The engines of a simulation serve some 170 requests per second. Until gateways
# have met they fill the engines' queues, which are empty again after this time.
SETTLED_SECONDS = 4
SETTLED = range(SETTLED_SECONDS, 10)


def in_order(fleet):
    """Return the shares served by kind after checking that they are in order."""
    shares = [fleet.served(kind, seconds=SETTLED) for kind in range(3)]
    assert shares == sorted(shares, reverse=True)
    return shares


def test_urgent_callers_are_served_while_the_least_urgent_are_in_threefold_excess():
    """Urgent callers are refused as often as nightly work, and most are late."""
    rates = (30, 40, 400)
    fleet = compete(rates=lambda now: rates)
    urgent, less, least = in_order(fleet)
    assert urgent >= 0.95
    assert less >= 0.85
    assert least >= fleet.served() / 4
    before = compete(rates=lambda now: rates, share_places="off", seconds=6.0)
    assert before.served(0) < 0.6


def test_no_kind_starves_while_the_most_urgent_is_in_excess():
    """Thirty gateways that hear of each other late stay near the bound, too."""
    fleet = compete(rates=lambda now: (400, 40, 40))
    shares = in_order(fleet)
    assert min(shares) >= fleet.served() / 4
    settled = [taken for at, taken in fleet.taken if at >= SETTLED_SECONDS]
    assert max(settled) <= 1.1 * fleet.places


def test_small_organisations_are_served_more_often_than_one_in_excess():
    """One organisation sends two thirds of all requests, and the rest are refused."""
    fleet = compete(rates=lambda now: (60, 80, 140), first_part=2 / 3)
    in_order(fleet)
    large, *small = [fleet.served(organisation=name) for name in ORGANISATIONS]
    assert large >= fleet.served() / 4
    assert min(small) > large


def test_nobody_is_refused_while_there_is_room():
    fleet = compete(rates=lambda now: (30, 40, 30), first_part=2 / 3)
    assert fleet.served() == 1.0


def test_reserved_places_are_used_a_second_after_urgent_demand_ends():
    fleet = compete(rates=lambda now: (130 if now < 7 else 0, 1, 300))
    taken = collections.defaultdict(list)
    for at, requests in fleet.taken:
        taken[int(at)].append(requests)
    assert statistics.mean(taken[8]) >= 0.9 * fleet.places


def test_gateways_that_have_just_met_keep_the_bound():
    """Thirty gateways fill the engines' queues before they know of each other."""
    fleet = compete(rates=lambda now: (400, 40, 40), seconds=SETTLED_SECONDS)
    assert max(taken for _, taken in fleet.taken) <= 1.1 * fleet.places


@pytest.mark.parametrize("seed", range(1, 10))
def test_gateways_keep_the_bound_when_demand_grows_fivefold(seed):
    """Thirty gateways fill the same free places before they have measured demand."""
    fleet = grow_fivefold(seed, seconds=7.0)
    assert max(taken for _, taken in fleet.taken) <= 1.1 * fleet.places


@pytest.mark.parametrize("seed", range(1, 10))
def test_ranks_are_served_in_order_when_demand_grows_fivefold(seed):
    """The least urgent are served more often than those above them."""
    in_order(grow_fivefold(seed))


def grow_fivefold(seed, **shape):
    """Return a fleet after a simulation in which demand grows at once."""
    usual, grown = (40, 40, 40), (200, 200, 200)
    return compete(rates=lambda now: grown if now >= 5 else usual, seed=seed, **shape)
