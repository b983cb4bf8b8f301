"""Check what callers get while one of two groups of engines is down or slow."""

import asyncio
import collections

import pytest
from support.fleet import SERVICE
from support.group_fleet import SimulatedGroup, play_groups, share_to

from fescuedrum.decisions.placing.group_breakers import PROBE_INTERVAL_SECONDS

OUTAGE = (4.0, 7.0)


def cut_off(number, start, end):
    """Return a story in which a gateway hears nobody for some time."""

    async def story(fleet):
        host = fleet.gateways[number].settings.host
        await asyncio.sleep(start)
        fleet.network.cut([{host}])
        await asyncio.sleep(end - start)
        fleet.network.cut(())

    return story


def lose_leader(at):
    """Return a story in which the gateway that leads the groups crashes."""

    async def story(fleet):
        await asyncio.sleep(at)
        leads = [each.peers.is_leader() for each in fleet.gateways]
        fleet.replace_gateway(leads.index(True))

    return story


def test_callers_are_served_by_the_other_group_and_an_outage_costs_probes():
    """Guard against hundreds of refused arrivals and callers at a group that is down.

    Its engines look idle, and each gateway sends them one request after the other.
    """
    plays = {}
    for knows_groups in (False, True):
        groups = SimulatedGroup(outages=(OUTAGE,)), SimulatedGroup()
        fleet = play_groups(*groups, knows_groups=knows_groups)
        plays[knows_groups] = fleet, len(groups[0].refused_at)
    before, refused_before = plays[False]
    after, refused_after = plays[True]
    assert before.share("refused") > 0.3
    assert refused_before > 150
    assert after.share("refused") == 0
    assert after.share("on time") > 0.97
    assert refused_after < 50


def test_thirty_gateways_share_the_probes_of_a_group_that_is_out():
    """Guard against probes that use up the retries of a few gateways."""
    groups = SimulatedGroup(outages=(OUTAGE,)), SimulatedGroup()
    play_groups(*groups, rate=300.0)
    start, end = OUTAGE
    probes = groups[0].count(groups[0].refused_at, start + 0.5, end)
    assert 2 <= probes <= 1.5 * (end - start - 0.5) / PROBE_INTERVAL_SECONDS
    back = min(at for at in groups[0].ran_at if at >= end)
    assert back - end <= 5 * PROBE_INTERVAL_SECONDS


def test_a_group_that_is_too_slow_is_used_only_when_the_other_has_no_place():
    """Guard against a quarter of the streams being late beside empty fast engines."""
    groups = SimulatedGroup(pass_seconds=0.2), SimulatedGroup()
    fleet = play_groups(*groups, rate=40.0, seconds=16.0)
    # By then each gateway has seen passes of both groups.
    assert share_to(groups[0], groups, 6.0) < 0.05
    assert fleet.share("on time") > 0.95
    # More than the fast group can run, but not more than both.
    groups = SimulatedGroup(pass_seconds=0.2), SimulatedGroup()
    fleet = play_groups(*groups, rate=80.0)
    assert fleet.share("refused") == 0
    assert share_to(groups[0], groups, 6.0) > 0.05


def test_healthy_groups_share_the_requests_of_a_large_fleet():
    """Guard against all gateways changing to the other group at once, in turns.

    Each hears of the load in other zones a second late.
    """
    groups = SimulatedGroup(), SimulatedGroup()
    shape = {"gateways": 61, "engines": 64, "slots": 5, "rate": 105.0}
    fleet = play_groups(*groups, **shape)
    assert fleet.share("on time") > 0.99
    for second in range(3, 8):
        assert 0.35 < share_to(groups[0], groups, second, second + 1) < 0.65


def test_a_flapping_group_serves_no_caller_worse_than_the_other_can():
    """Guard against callers who pay for each outage of a group that comes and goes."""
    outages = tuple((start + 3.5, start + 4.0) for start in range(7))
    groups = SimulatedGroup(outages=outages), SimulatedGroup()
    fleet = play_groups(*groups, seconds=12.0)
    assert fleet.share("refused") < 0.01
    assert fleet.share("on time") > 0.95
    last = fleet.gateways[0].groups.states[SERVICE, "group-0"].breaker
    assert not last.is_out


def test_a_group_that_returns_to_thirty_gateways_is_not_overrun():
    """Guard against every gateway sending its requests to the empty group at once."""
    groups = SimulatedGroup(outages=(OUTAGE,)), SimulatedGroup()
    fleet = play_groups(*groups, seconds=10.0)
    ran = groups[0].ran_at
    _, end = OUTAGE
    # 60 requests a second come in all.
    assert all(
        groups[0].count(ran, end + tenth / 10, end + (tenth + 1) / 10) <= 12
        for tenth in range(10)
    )
    assert groups[0].count(ran, end + 1.0, end + 3.0) > 40
    assert fleet.share("on time") > 0.97


@pytest.mark.parametrize("at", [0.35, 3.5, 5.0])
def test_the_loss_of_the_leader_leaves_the_groups_known(at):
    """Guard against a fleet without groups when its leader crashes.

    It crashes before the membership is sent, after it, and while a group is down.
    """
    groups = SimulatedGroup(outages=(OUTAGE,)), SimulatedGroup()
    fleet = play_groups(*groups, story=lose_leader(at))
    assert all(each.groups.membership.is_split(SERVICE) for each in fleet.gateways)
    assert fleet.share("refused") == 0


@pytest.mark.parametrize("at", [4.2, 4.9, 5.6, 6.3])
def test_a_gateway_that_joins_learns_the_groups_within_a_second(at):
    """Guard against a new gateway that takes two groups for one that refuses."""
    known = []

    async def story(fleet):
        await asyncio.sleep(at)
        last = len(fleet.gateways) - 1
        fleet.replace_gateway(last)
        await asyncio.sleep(1.0)
        membership = fleet.gateways[last].groups.membership
        known.append(len(membership.by_endpoint))

    play_groups(SimulatedGroup(), SimulatedGroup(), story=story)
    assert known == [32]


@pytest.mark.parametrize(("start", "end"), [(3.5, 8.0), (4.5, 6.0)])
def test_a_gateway_that_hears_nobody_finds_out_for_itself(start, end):
    """Guard against a healthy group that stays unused because no report arrives.

    A gateway is cut off before the outage and for good, or in the middle of it.
    """
    groups = SimulatedGroup(outages=((4.0, 5.5),)), SimulatedGroup()
    alone = 17
    fleet = play_groups(*groups, story=cut_off(alone, start, end))
    assert fleet.share("refused") == 0
    breaker = fleet.gateways[alone].groups.states[SERVICE, "group-0"].breaker
    assert not breaker.is_out
    assert breaker.closed_at < 8.0


def test_all_groups_down_are_refused_at_once_and_return_together():
    """Guard against arrivals at groups that are all down, and a late return."""
    groups = tuple(SimulatedGroup(outages=(OUTAGE,)) for _ in range(2))
    fleet = play_groups(*groups, seconds=10.0)
    assert sum(len(each.refused_at) for each in groups) < 120
    ran = sorted(at for each in groups for at in each.ran_at if at >= OUTAGE[1])
    assert ran[0] - OUTAGE[1] < 0.5
    by_second = collections.Counter(int(at) for at in ran)
    assert by_second[8] > 40
    assert fleet.share("late") < 0.05
