"""Check the membership, the circuit breaker and the choice of groups."""

import asyncio
import random

from hypothesis import given, settings, strategies as st
from support.clock import run_paused
from support.fleet import SERVICE, FleetShape
from support.group_fleet import GroupFleet, SimulatedGroup
from support.keepers import RANKS, build_group, build_group_keeper

from fescuedrum.decisions.experts.pace import PassTimers
from fescuedrum.decisions.placing.group_breakers import (
    CONFIRMATION_SECONDS,
    LONGEST_RETURN_DELAY_SECONDS,
    GroupBreaker,
    GroupReport,
)
from fescuedrum.decisions.placing.groups import (
    EMPTY_GROUP_SECONDS,
    GroupMembership,
    GroupSlice,
    Member,
)
from fescuedrum.decisions.placing.placement import (
    Chosen,
    RecentRefusals,
    RefusalCause,
    Refused,
    choose_endpoint,
    choose_healthy,
)
from fescuedrum.decisions.placing.presence import EndpointPresence
from fescuedrum.wire.gen.gateways.ttypes import GroupMembers, GroupState
from fescuedrum_gateway.process.beacons.groups import (
    REPEAT_SECONDS,
    SliceTurns,
    decode_members,
    decode_states,
)
from fescuedrum_gateway.process.group_exchange import GroupExchange
from fescuedrum_gateway.process.peer_gateway import PeerGateway


def with_gateway(story, groups=2, **shape):
    """Return story(directory, fleet) of a gateway that is alone with its engines."""
    values = {"zones": 1, "gateways": 1, "engines": 6, "cold_per_second": 0.0}

    async def run():
        simulated = [SimulatedGroup() for _ in range(groups)]
        fleet = GroupFleet(FleetShape(**values | shape), simulated, True)
        return await story(fleet.gateways[0], fleet)

    return run_paused(run())


def endpoints_of(directory, group):
    endpoints = directory.presences.ready(SERVICE)
    return [each for each in endpoints if directory.group_of(each) == group]


def choose_without_groups(directory, tried, is_caller_retry, now):
    """Return the choice among all endpoints as those of one group."""
    usable = directory.presences.ready(SERVICE)
    untried = [each for each in usable if each.name not in tried]
    if not untried and tried:
        return Refused(RefusalCause.NONE_LISTED)
    loads = directory.peers.loads()
    limits = directory.limits(SERVICE, is_caller_retry, len(usable))
    options = [directory.build_option(each, loads[each.name]) for each in untried]
    mesh = [each for each in options if each.in_mesh]
    placed = None
    if len(mesh) < len(options):
        placed = choose_healthy(mesh, limits, now, directory.random)
    return placed or choose_endpoint(options, limits, now, directory.random)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["send", "refuse", "answer", "report", "pass", "wait"]),
        st.integers(0, 5),
        st.booleans(),
    ),
    max_size=25,
)


@settings(max_examples=60, deadline=None)
@given(groups=st.integers(0, 1), seed=st.integers(0, 99), steps=STEPS)
def test_decisions_are_unchanged_with_fewer_than_two_groups(groups, seed, steps):
    """Guard against any change for a service of one group, or of none that is known."""

    async def story(directory, fleet):
        loop, exchange = asyncio.get_running_loop(), GroupExchange(directory.groups)
        if groups:
            directory.groups.learn(fleet.slices(directory))
        refusals, tried = RecentRefusals(), set()
        for step, number, flag in steps:
            endpoint = directory.presences.by_name[f"engine-{number}"].endpoint
            match step:
                case "send":
                    directory.random = random.Random(seed)
                    expected = choose_without_groups(
                        directory, tried, flag, loop.time()
                    )
                    directory.random = random.Random(seed)
                    placed = directory.choose_endpoint(SERVICE, tried, flag)
                    assert placed == expected
                    if isinstance(placed, Chosen):
                        directory.reserve(placed.endpoint, 10)
                    tried = {endpoint.name} if flag else set()
                case "refuse":
                    directory.groups.refused(endpoint)
                    refusals.refused(endpoint.name, loop.time())
                case "answer":
                    directory.groups.opened(endpoint)
                    directory.groups.ran(endpoint, loop.time())
                    refusals.answered()
                case "report":
                    report = (SERVICE, "group-0", GroupReport(flag, loop.time()))
                    exchange.merge(PeerGateway("10.0.0.9", group_states=[report]))
                case "pass":
                    timer = directory.groups.timer(
                        SERVICE, directory.group_of(endpoint)
                    )
                    assert timer is directory.pass_timers.of(SERVICE)
                    timer.observe(0.05 * (number + 1), loop.time())
                case "wait":
                    await asyncio.sleep(number / 10)
            everywhere = refusals.is_service_wide(loop.time())
            assert directory.groups.refuses_everywhere(SERVICE) == everywhere

    with_gateway(story, groups=1)


def test_the_timer_of_a_service_survives_the_return_to_one_group():
    """Guard against a keeper that takes no slowdown for one, as its timer is empty."""
    timers = PassTimers()
    before = timers.of(SERVICE, "b")
    timers.of(SERVICE, "a")
    timers.keep_only(SERVICE, "b")
    assert timers.of(SERVICE) is before
    assert len(timers.timers) == 1


def test_membership_prefers_the_higher_epoch_and_forgets_what_is_gone():
    membership = GroupMembership()
    for number in range(4):
        member = Member(SERVICE, f"group-{number % 2}", 5)
        membership.assign(f"e-{number}", member, 0.0)
    assert not membership.assign("e-0", Member(SERVICE, "group-1", 4), 1.0)
    assert membership.assign("e-0", Member(SERVICE, "group-1", 6), 1.0)
    assert membership.group_of(SERVICE, "e-0") == "group-1"
    assert membership.group_of(SERVICE, "e-9") == ""
    membership.forget("e-2", 2.0)
    # The engines of a group that restarts are not in a group with all others.
    assert membership.expire(2.0 + EMPTY_GROUP_SECONDS / 2) == []
    assert membership.is_split(SERVICE)
    expired = membership.expire(2.0 + EMPTY_GROUP_SECONDS)
    assert expired == [(SERVICE, "group-0")]
    assert membership.group_of(SERVICE, "e-1") == ""


def test_the_only_group_of_a_service_may_return_under_another_name():
    """Guard against a service of one group that is treated as two after a restart."""
    membership = GroupMembership()
    for name in ("first", "second"):
        membership.assign("e-0", Member(SERVICE, name, 1), 0.0)
        assert membership.names(SERVICE) == [name]


def test_the_leader_learns_the_groups_of_endpoints_from_their_reports():
    """Guard against a timer that starts anew when the only group becomes known."""

    async def story(directory, fleet):
        keeper = build_group_keeper(build_group())
        directory.groups.presences = EndpointPresence()
        for each in keeper.finder.endpoints():
            directory.groups.presences.listed(each)
        timer = directory.groups.timer(SERVICE, "")
        learn = directory.groups.learn_addresses
        keeper.finder.on_members = lambda members: learn(SERVICE, members)
        await keeper.check_groups()
        assert directory.groups.membership.names(SERVICE) == ["g"]
        assert len(directory.groups.membership.by_endpoint) == RANKS
        assert directory.groups.timer(SERVICE, "g") is timer
        learn(SERVICE, {("h", 1): [("engine", 0)], ("g", 2**64): [("engine", 1)]})
        assert directory.groups.membership.group_of(SERVICE, "e-0") == "h"
        assert directory.groups.timer(SERVICE, "g") is not timer

    with_gateway(story)


def test_each_audience_gets_all_slices_in_turn_and_again_after_a_pause():
    """Guard against a zone that learns of every other slice only."""
    slices = [GroupSlice(SERVICE, f"group-{n}", 1, ("e",)) for n in range(3)]
    turns, got, now = SliceTurns(), {"mesh": [], "others": []}, 0.0
    sent_at = dict.fromkeys(got, -1.0)
    while now < 2 * REPEAT_SECONDS:
        for audience in got:
            now += 0.3
            sent_at[audience] = now
            if each := turns.next(slices, 1, sent_at, now):
                got[audience].append(each)
            # A beacon to a single gateway belongs to no turn.
            assert turns.next(slices, 1, sent_at, now) is None
    assert all(each == slices * 2 for each in got.values())


def test_a_gateway_that_begins_to_lead_sends_each_audience_all_slices():
    """Guard against a mesh that misses the first slice, as others got it instead."""

    async def story(directory, fleet):
        directory.groups.learn(fleet.slices(directory))
        exchange, peers = GroupExchange(directory.groups), directory.peers
        peers.others_sent_at = peers.mesh_sent_at = 1.0
        assert exchange.next_slice(leads=False) is None
        peers.others_sent_at = 2.0
        assert exchange.next_slice(leads=True).group == "group-0"
        peers.mesh_sent_at = 2.0
        assert exchange.next_slice(leads=True).group == "group-0"

    with_gateway(story)


def test_impossible_reports_are_discarded():
    """Guard against a group that no gateway uses because of a false report."""
    ages = (-1.0, float("nan"), float("inf"), 5.1, None)
    states = [GroupState(SERVICE, "group-0", down=True, age=age) for age in ages]
    assert decode_states(states, 10.0) == []
    members = [
        GroupMembers(SERVICE, "", 1, ["engine-0"]),
        GroupMembers(SERVICE, "group-0", -1, ["engine-0"]),
        GroupMembers(SERVICE, "group-0", 1, None),
    ]
    assert decode_members(members) == []

    async def story(directory, fleet):
        directory.groups.learn(fleet.slices(directory))
        unknown = GroupSlice(SERVICE, "group-9", 1, ("nobody",) * 40)
        reports = [
            (SERVICE, f"group-{number}", GroupReport(True, 0.0))
            for number in range(9, 99)
        ]
        peer = PeerGateway("10.0.0.9", group_members=[unknown], group_states=reports)
        GroupExchange(directory.groups).merge(peer)
        assert directory.groups.membership.names(SERVICE) == ["group-0", "group-1"]
        assert len(directory.groups.states) <= 3

    with_gateway(story)


def test_a_breaker_that_nobody_confirms_becomes_half_open():
    """Guard against a healthy group that gets no requests after a false report."""
    breaker = GroupBreaker()
    assert breaker.accept(GroupReport(True, 1.0), 1.0)
    assert not breaker.accept(GroupReport(False, 0.9), 1.1)
    assert not breaker.is_half_open(1.0 + CONFIRMATION_SECONDS / 2)
    assert breaker.is_half_open(1.0 + CONFIRMATION_SECONDS)
    assert breaker.is_probe_due(1.0 + CONFIRMATION_SECONDS, 6.0, random.Random(1))
    assert not breaker.answered(sent_at=0.9, now=1.2)
    assert breaker.answered(sent_at=3.0, now=3.1)
    # What was observed before this answer changes nothing any more.
    assert not breaker.accept(GroupReport(True, 3.05), 3.2)
    assert not breaker.is_out


def test_refusals_of_full_engines_open_no_breaker_while_the_group_makes_passes():
    """Guard against a healthy group that gets no requests because it is full."""
    breaker, now = GroupBreaker(), 0.0
    for number in range(40):
        breaker.record_event(now)
        assert not breaker.refused(f"e-{number % 3}", 3, now + 0.01, 0.12)
        assert not breaker.refused(f"e-{number % 2}", 3, now + 0.11, 0.12)
        now += 0.12
    now += 0.12
    assert not breaker.refused("e-0", 3, now, 0.12)
    assert breaker.refused("e-1", 3, now + 0.1, 0.12)


def test_events_disprove_a_report_that_a_group_is_down():
    """Guard against one gateway's refusals that take a full group from all others."""

    async def story(directory, fleet):
        loop, groups = asyncio.get_running_loop(), directory.groups
        groups.learn(fleet.slices(directory))
        exchange = GroupExchange(groups)
        first, *_ = endpoints_of(directory, "group-0")
        groups.passed(first, 0.1)
        report = (SERVICE, "group-0", GroupReport(True, loop.time() + 0.05))
        await asyncio.sleep(0.06)
        peer = PeerGateway("10.0.0.9", group_states=[report])
        exchange.merge(peer)
        assert exchange.reports() == []
        await asyncio.sleep(0.04)
        groups.passed(first, 0.1)
        exchange.merge(peer)
        ((_, _, disproof),) = exchange.reports()
        other = GroupBreaker()
        other.refused("e-1", 2, report[2].observed_at - 0.01)
        assert other.refused("e-2", 2, report[2].observed_at)
        assert other.accept(disproof, loop.time() + 0.01)
        assert not other.is_out
        # Once the events end, a report is accepted.
        await asyncio.sleep(0.5)
        later = (SERVICE, "group-0", GroupReport(True, loop.time()))
        exchange.merge(PeerGateway("10.0.0.9", group_states=[later]))
        assert groups.states[SERVICE, "group-0"].breaker.is_out

    with_gateway(story)


def test_requests_return_spread_out_and_later_to_a_flapping_group():
    """Guard against all gateways sending to a group as soon as it answers once."""
    breaker, now, delays, rng = GroupBreaker(), 0.0, [], random.Random(1)
    for _ in range(6):
        assert not breaker.refused("a", 2, now)
        assert breaker.refused("b", 2, now)
        breaker.answered(sent_at=now, now=now)
        delays.append(round(breaker.back_at - now, 3))
        assert breaker.has_returned(breaker.back_at + 0.3, rng)
        now += 3.0
    assert delays == [0.0, 0.2, 0.4, 0.8, 1.6, LONGEST_RETURN_DELAY_SECONDS]
    at_a_third = breaker.back_at + 0.1
    assert 60 < sum(breaker.has_returned(at_a_third, rng) for _ in range(300)) < 140
    assert len(breaker.refusals.times) <= 2


def test_limits_of_endpoints_bind_within_each_group():
    """Guard against requests at cold, limited, full or resting endpoints of a group."""

    async def story(directory, fleet):
        directory.groups.learn(fleet.slices(directory))
        for each in endpoints_of(directory, "group-0"):
            directory.notices.ask_rest(each.name, 5.0, 0.0)
        cold = directory.build_cold_bound(
            directory.configuration.table.services[SERVICE]
        )
        placed = []
        while isinstance(
            each := directory.choose_endpoint(SERVICE, set(), False), Chosen
        ):
            directory.reserve(each.endpoint, 10).release()
            placed.append(directory.group_of(each.endpoint))
        others = endpoints_of(directory, "group-1")
        assert placed == ["group-1"] * sum(cold(each) for each in others)
        assert each == Refused(RefusalCause.ALL_AT_COLD_BOUND)

    with_gateway(story, cold_per_second=2.0)


def test_places_of_a_group_that_is_out_are_not_counted():
    """Guard against requests that are let in for places that nobody can use."""

    async def story(directory, fleet):
        directory.groups.learn(fleet.slices(directory))
        slots = fleet.shape.slots
        for name in ("group-0", "group-1"):
            for each in endpoints_of(directory, name):
                directory.reserve(each, 10)
        fillings = [directory.filling(SERVICE)]
        for name in ("group-0", "group-1"):
            first, second, _ = endpoints_of(directory, name)
            directory.groups.refused(first)
            directory.groups.refused(second)
            fillings.append(directory.filling(SERVICE))
        counted = [(each.places, each.taken, each.endpoints) for each in fillings]
        assert counted == [(6 * slots, 6, 6), (3 * slots, 3, 3), (0, 0, 0)]
        assert all(len(each.usable) == 6 for each in fillings)
        assert directory.count_places(SERVICE) == 6 * slots

    with_gateway(story)


def test_places_of_endpoints_that_rest_or_failed_are_not_counted():
    """Guard against requests that are let in for places that nobody can use."""

    async def story(directory, fleet):
        slots, now = fleet.shape.slots, asyncio.get_running_loop().time()
        directory.notices.ask_rest("engine-0", 5.0, now)
        directory.histories["engine-1"].failed(now)
        filling = directory.filling(SERVICE)
        assert (filling.places, filling.endpoints) == (4 * slots, 4)
        assert directory.count_places(SERVICE) == 6 * slots

    with_gateway(story)


def test_a_request_without_a_retry_left_is_no_probe():
    """Guard against callers who are refused so that others learn of an outage."""

    async def story(directory, fleet):
        directory.groups.learn(fleet.slices(directory))
        first, second, _ = endpoints_of(directory, "group-0")
        directory.groups.refused(first)
        directory.groups.refused(second)
        await asyncio.sleep(0.2)

        def choose(*, tried=(), is_caller_retry=False, has_retry=True):
            return directory.choose_endpoint(
                SERVICE, set(tried), is_caller_retry, reserve_retry=lambda: has_retry
            )

        other = endpoints_of(directory, "group-1")[0].name
        for changes in (
            {"has_retry": False},
            {"is_caller_retry": True},
            {"tried": {other}},
        ):
            placed = choose(**changes)
            assert not placed.is_probe
            assert directory.group_of(placed.endpoint) == "group-1"
        assert choose().is_probe

    with_gateway(story)


def test_a_probe_that_no_endpoint_can_get_reserves_one_retry():
    """Guard against a group that returns cold and takes the retries of all requests."""

    async def story(directory, fleet):
        directory.groups.learn(fleet.slices(directory))
        cold = endpoints_of(directory, "group-0")
        for each in cold[:2]:
            directory.groups.refused(each)
        await asyncio.sleep(0.2)
        for each in cold:
            while directory.history(each).arrivals.value(0.2) < 20:
                directory.history(each).sent(0.2)
        reserved = []

        def reserve_retry():
            reserved.append(True)
            return True

        for _ in range(3):
            placed = directory.choose_endpoint(
                SERVICE, set(), False, reserve_retry=reserve_retry
            )
            assert directory.group_of(placed.endpoint) == "group-1"
        assert len(reserved) == 1

    with_gateway(story, cold_per_second=2.0)


def test_all_groups_out_is_what_everywhere_means():
    """Guard against a request refused to its caller that the other group could run."""

    async def story(directory, fleet):
        groups = directory.groups
        groups.learn(fleet.slices(directory))
        for name in ("group-0", "group-1"):
            assert not groups.refuses_everywhere(SERVICE)
            first, second, _ = endpoints_of(directory, name)
            groups.refused(first)
            placed = directory.choose_endpoint(SERVICE, {first.name}, False)
            other = {"group-0": "group-1", "group-1": "group-1"}[name]
            assert directory.group_of(placed.endpoint) == other
            groups.refused(second)
        assert groups.refuses_everywhere(SERVICE)
        placed = directory.choose_endpoint(SERVICE, set(), False)
        assert placed == Refused(RefusalCause.GROUPS_OUT)
        await asyncio.sleep(0.2)
        assert isinstance(directory.choose_endpoint(SERVICE, set(), True), Chosen)

    with_gateway(story)
