"""Check that all gateways together send a cold endpoint no more than it bears."""

import asyncio

import pytest
from support.clock import run_paused
from support.gateways import build_settings

from fescuedrum.decisions.coldness import ColdShares, cold_requests
from fescuedrum_gateway.process import peers

GATEWAYS = [f"10.0.{number // 250}.{number % 250 + 1}" for number in range(390)]
ENDPOINTS = [f"engine-{number}" for number in range(72)]
FACTOR, SLACK = 1.5, 5


def build_shares(hosts):
    """Return what each gateway knows of its part when all know each other."""
    shares = []
    for host in hosts:
        share = ColdShares(host)
        share.follow(each for each in hosts if each != host)
        shares.append(share)
    return shares


def total_sent(shares, endpoint, total):
    return sum(share.allowed(endpoint, total) for share in shares)


@pytest.mark.parametrize("count", [1, 6, 7, 20, 39, 40, 46, 390])
@pytest.mark.parametrize("cold_per_second", [14, 26, 36])
def test_any_number_of_gateways_stays_under_the_bound_together(count, cold_per_second):
    """A cold engine that bears 26 requests a second fails under one from each of 40."""
    shares = build_shares(GATEWAYS[:count])
    total = cold_requests(cold_per_second, FACTOR, SLACK)
    for endpoint in ENDPOINTS[:10]:
        sent = total_sent(shares, endpoint, total)
        assert sent == total <= cold_per_second * FACTOR + SLACK


def test_every_gateway_has_endpoints_to_choose_from_and_they_differ():
    """A gateway finds no engine that it may send to, while others' callers are served.

    With the same gateways in front at each engine all the rest would be left out.
    """
    shares = build_shares(GATEWAYS[:46])
    total = cold_requests(14, FACTOR, SLACK)
    reach = [
        sum(share.allowed(endpoint, total) for endpoint in ENDPOINTS)
        for share in shares
    ]
    mean = total * len(ENDPOINTS) / len(shares)
    assert min(reach) > mean / 2
    assert max(reach) < mean * 2


def test_a_gateway_that_comes_or_goes_moves_one_place_at_each_endpoint():
    """Parts that were dealt anew at each restart would not add up for a moment."""
    hosts = GATEWAYS[:40]
    total = cold_requests(14, FACTOR, SLACK)
    share = build_shares(hosts)[0]
    before = [share.allowed(endpoint, total) for endpoint in ENDPOINTS]
    places = dict(share.positions)
    share.follow(hosts[1:-1])
    assert all(0 <= places[name] - share.positions[name] <= 1 for name in places)
    share.follow(hosts[1:])
    assert [share.allowed(endpoint, total) for endpoint in ENDPOINTS] == before


def test_gateways_that_know_different_members_overrun_by_no_more_than_those():
    """Some have not yet heard of the last ones that started; the bound has room."""
    total = cold_requests(14, FACTOR, SLACK)
    old, new = GATEWAYS[:36], GATEWAYS[36:40]
    shares = build_shares(old) + build_shares(old + new)[-len(new) :]
    most = max(total_sent(shares, endpoint, total) for endpoint in ENDPOINTS)
    assert most <= 14 * FACTOR + SLACK


def test_a_service_without_a_bound_has_none():
    assert cold_requests(0, FACTOR, SLACK) is None


def test_gateways_that_were_only_told_of_count_until_they_are_forgotten():
    """One that has just started takes the whole bound: it has heard nobody yet."""

    async def run():
        known = peers.Peers(build_settings("one", GATEWAYS[0], (1, 2, 3)), 1)
        for host in GATEWAYS[1:40]:
            known.add_host(host)
        at_once = known.count_entries()
        await asyncio.sleep(peers.FORGOTTEN_SECONDS + 1)
        return at_once, known.count_entries()

    assert run_paused(run()) == (40, 1)


def test_a_gateway_that_leaves_counts_as_long_as_it_runs():
    """Its callers' requests still go to the endpoints, and the others fill its part."""

    async def run():
        known = peers.Peers(build_settings("one", GATEWAYS[0], (1, 2, 3)), 1)
        known.add_host(GATEWAYS[1])
        peer = known.hosts[GATEWAYS[1]]
        peer.heard_at, peer.leaving = known.loop.time(), True
        while_it_runs = known.count_entries()
        await asyncio.sleep(peers.LOAD_SECONDS + 1)
        return while_it_runs, known.count_entries()

    assert run_paused(run()) == (2, 1)
