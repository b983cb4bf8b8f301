"""Check who gets the next place of a contested service, without a network."""

import asyncio
import math
import random
from dataclasses import replace

from hypothesis import given, settings, strategies as st
from support.clock import run_paused
from support.contested import (
    SERVICE,
    ContestedFleet,
    ContestedShape,
    build_call,
    build_contested_document,
)

from fescuedrum.conf.routing import RoutingTable
from fescuedrum.decisions.admitting.demand import DemandMeter
from fescuedrum.decisions.admitting.floors import Floors
from fescuedrum.decisions.admitting.places import (
    PassBound,
    PassModel,
    PlaceRefusal,
    PlaceRequest,
    PlaceState,
    Refuse,
    Serve,
    Wait,
    decide,
    reserve,
)
from fescuedrum.decisions.admitting.rooms import request_limit
from fescuedrum.decisions.placing.placement import (
    Chosen,
    Load,
    PlacementLimits,
    choose_endpoint,
)
from fescuedrum.decisions.returning.returns import RETRY_RANK_PENALTY
from fescuedrum.wire.gen.gateways.ttypes import OrganisationLoad, RankDemand
from fescuedrum_gateway.process.beacons.demand import (
    decode_demand,
    decode_organisations,
)

SLOTS = 5
PAUSE_SECONDS = 0.12
# A pass of seven steps takes 36 ms in an idle group and 88 ms in a full one.
MODEL = PassModel(7, 0.0052, 0.0015)
ENGINES = 63
PLACES = ENGINES * SLOTS
loads = st.lists(st.integers(0, SLOTS + 2), min_size=1, max_size=8)


def build_state(**changes):
    values = {
        "places": 100,
        "taken": 50,
        "bound": 100,
        "demand": {0: 30.0, 1: 30.0, 2: 30.0},
        "age": 0.1,
        "mean_seconds": 1.0,
        "organisations": {},
    }
    return PlaceState(**values | changes)


def ask(rank=0, wait_seconds=0.0, organisation="club", **changes):
    request = PlaceRequest(rank, organisation, wait_seconds)
    return decide(request, build_state(**changes))


def build_fleet(**shape):
    return ContestedFleet(ContestedShape(gateways=1, **shape))


def only_gateway(fleet):
    (directory,) = fleet.gateways
    return directory, fleet.places_of[directory.settings.host]


@settings(deadline=None)
@given(loads, loads, st.booleans(), st.integers(0, 9), st.booleans())
def test_an_uncontested_service_is_served_as_before(
    own, others, is_caller_retry, seed, has_idle_routes
):
    """Guard against a change for services whose routes are equally urgent, or idle."""

    async def run():
        priorities = (0, 1, 2) if has_idle_routes else (1, 1, 1)
        fleet = build_fleet(engines=len(own), priorities=priorities)
        directory, places = only_gateway(fleet)
        directory.peers.add_host("10.0.9.9")
        peer = directory.peers.hosts["10.0.9.9"]
        peer.last_heard_at = 0.0
        peer.loads = {f"engine-{n}": Load(each) for n, each in enumerate(others)}
        for number, each in enumerate(own):
            directory.histories[f"engine-{number}"].own.requests = each
        call = build_call(fleet.configuration.table, 0, 0.0)
        place = await places.take(call)
        assert place is None or place.filling is None
        assert places.urgency(call) == call.priority
        directory.random = random.Random(seed)
        placed = directory.choose_endpoint(SERVICE, set(), is_caller_retry)
        usable = directory.usable(SERVICE)
        limits = PlacementLimits(
            lambda endpoint: request_limit(
                endpoint.slots,
                is_engine=True,
                is_caller_retry=is_caller_retry,
                ranks=len(usable),
            )
        )
        known = directory.peers.loads()
        options = [directory.build_option(each, known[each.name]) for each in usable]
        assert placed == choose_endpoint(options, limits, 0.0, random.Random(seed))

    run_paused(run())


@given(
    st.integers(0, 5),
    st.integers(1, 400),
    st.dictionaries(st.integers(0, 5), st.floats(0, 10_000)),
    st.floats(0, 2),
)
def test_every_rank_is_served_while_few_places_are_taken(rank, places, demand, age):
    """Guard against refusals for a reserve that is not needed."""
    taken = places // 2
    state = {"places": places, "bound": places, "demand": demand, "age": age}
    assert ask(rank, taken=taken, **state) == Serve()


def test_less_urgent_ranks_leave_places_for_more_urgent_ones():
    served = [taken for taken in range(101) if ask(0, taken=taken) == Serve()]
    less = [taken for taken in range(101) if ask(2, taken=taken) == Serve()]
    assert max(served) == 99
    assert 80 <= max(less) <= 90
    assert ask(2, taken=95) == Refuse(PlaceRefusal.RESERVED)
    assert ask(0, taken=100, wait_seconds=0.05) == Wait(0.05)
    assert ask(0, taken=100) == Refuse(PlaceRefusal.ALL_FULL)
    assert ask(2, taken=95, owes_rank=True) == Serve()
    assert ask(2, taken=100, owes_rank=True) == Refuse(PlaceRefusal.ALL_FULL)


def test_an_organisation_is_cut_only_while_places_are_scarce():
    large = {"organisations": {"club": 60, "small": 10}}
    assert ask(**large) == Serve()
    refused = Refuse(PlaceRefusal.ORGANISATION_OVER_SHARE)
    assert ask(is_scarce=True, **large) == refused
    assert ask(is_scarce=True, owes_organisation=True, **large) == Serve()
    assert ask(organisation="small", is_scarce=True, **large) == Serve()


def settle(slowness, rate, seconds=6.0):
    """Return bounds and pass lengths of a group under a load; all times are seconds."""
    bound, taken, now, lengths, bounds = PassBound(), 0.0, 0.0, [], []
    while now < seconds:
        length = slowness * MODEL.seconds(taken / ENGINES)
        bound.observe(MODEL, length, taken / ENGINES, now)
        bounds.append(bound.value(MODEL, PAUSE_SECONDS, ENGINES, PLACES, now))
        arriving = rate * length
        taken += max(min(arriving, bounds[-1] - taken), 0.0) - taken / 23
        lengths.append(length)
        now += length
    return bounds, lengths


def test_places_are_filled_until_passes_take_nearly_the_pause():
    """Guard against an hour in which every stream of a slower group is late."""
    assert settle(1.0, 300)[0][-1] == PLACES
    bounds, lengths = settle(1.6, 300)
    assert PLACES / 3 < bounds[-1] < PLACES
    assert 0.85 * PAUSE_SECONDS < lengths[-1] <= 0.96 * PAUSE_SECONDS


def test_all_places_are_used_where_refusals_do_not_shorten_passes():
    """Guard against refusals that bring no stream back on time."""
    bounds, _ = settle(3.0, 300)
    assert set(bounds[20:]) == {PLACES}


def test_a_floor_serves_a_part_and_keeps_the_order_of_ranks():
    floors = Floors(random.Random(1))
    granted = {1: 0, 2: 0}
    for step in range(400):
        now = step / 10
        for rank in range(3):
            floors.ask(rank, now)
        if step % 2:
            floors.serve(0, now)
        for rank in granted:
            if floors.owes_rank(rank, now):
                floors.serve(rank, now)
                granted[rank] += 1
    everywhere = (200 + sum(granted.values())) / 1200
    assert granted[1] / 400 > granted[2] / 400 >= everywhere / 4


def test_counts_of_floors_take_bounded_memory():
    floors = Floors(random.Random(1))
    for step in range(1000):
        floors.ask("club", step / 10)
        floors.serve("club", step / 10)
    counts = (floors.total, floors.by_key["club"])
    assert max(len(each.asked.times) for each in counts) <= 51
    assert max(len(each.served.times) for each in counts) <= 51


def test_demand_is_forgotten_within_a_second():
    meter = DemandMeter()
    for step in range(100):
        meter.observe(0, step / 100)
    assert 90 <= meter.rates(1.0)[0] <= 100
    assert meter.rates(1.6) == {}


def test_impossible_counts_of_other_gateways_are_discarded():
    rates = [-1.0, math.nan, math.inf, 10_001.0, None, 5.0]
    reports = [RankDemand(SERVICE, n, each) for n, each in enumerate(rates)]
    reports += [RankDemand(SERVICE, -1, 1.0), RankDemand(SERVICE, 65, 1.0)]
    assert decode_demand(reports) == {SERVICE: {5: 5.0}}
    counts = [OrganisationLoad(SERVICE, "a", n) for n in (-5, None, 10_001)]
    assert decode_organisations(counts) == {}


def test_a_wrong_count_at_one_endpoint_fills_only_that_one():
    async def run():
        directory, _ = only_gateway(build_fleet(engines=4))
        directory.peers.add_host("10.0.9.9")
        peer = directory.peers.hosts["10.0.9.9"]
        peer.last_heard_at = 0.0
        peer.loads = {"engine-0": Load(-900), "engine-1": Load(10**9)}
        filling = directory.filling(SERVICE)
        assert (filling.places, filling.taken) == (4 * SLOTS, 2 * SLOTS)

    run_paused(run())


def test_a_gateway_that_hears_nobody_takes_the_others_for_its_like():
    async def run():
        directory, places = only_gateway(build_fleet())
        for number in range(9):
            directory.peers.add_host(f"10.0.9.{number}")
        table = directory.configuration.table
        for kind in (0, 1):
            await places.take(build_call(table, kind, 0.0))
        service = places.find(SERVICE)
        await asyncio.sleep(0.2)
        service.refresh(0.2)
        assert service.view.factor == 10
        assert service.view.demand == {0: 20.0, 1: 20.0}

    run_paused(run())


def test_a_gateway_that_wakes_after_four_seconds_forgets_what_it_measured():
    async def run():
        directory, places = only_gateway(build_fleet())
        table = directory.configuration.table
        for step in range(20):
            await places.take(build_call(table, step % 2, step / 10))
            await asyncio.sleep(0.1)
        service = places.find(SERVICE)
        assert service.is_in_force(2.0)
        again = replace(build_call(table, 2, 2.0), priority=1 + RETRY_RANK_PENALTY)
        again = replace(again, is_caller_retry=True)
        assert places.rank(again) == 3
        assert places.urgency(again) == 2 + RETRY_RANK_PENALTY
        await asyncio.sleep(4.0)
        assert not service.is_in_force(6.0)
        assert service.view.demand == {}

    run_paused(run())


def test_ranks_follow_the_organisation_before_the_route():
    document = build_contested_document()
    table = RoutingTable(document)
    assert table.contested_services == {SERVICE: [0, 1, 2]}
    assert table.urgencies == {SERVICE: [(1, 0), (1, 1), (1, 2)]}


def test_no_place_is_kept_for_the_time_that_urgent_callers_may_wait():
    """Guard against refusals beside places that stay free for those who can wait."""
    small = {"places": 24, "bound": 24, "taken": 21, "age": 0.03}
    state = build_state(**small, mean_seconds=0.9, demand={0: 22.0})
    waiting = replace(state, urgent_wait_seconds=0.0625)
    assert reserve(1, state) > 4
    assert reserve(1, waiting) == reserve(1, replace(state, mean_seconds=0.0)) < 3
    # A wait shorter than the time until the next place comes free covers a part of it.
    partly = replace(state, urgent_wait_seconds=0.02)
    assert reserve(1, waiting) < reserve(1, partly) < reserve(1, state)


def test_a_returned_caller_that_is_granted_a_place_gets_it():
    """Guard against callers who are let in for a place and refused beside it."""

    async def run():
        fleet = build_fleet(engines=10)
        directory, places = only_gateway(fleet)
        table, loop = fleet.configuration.table, asyncio.get_running_loop()
        for kind in (0, 1, 2) * 5:
            place = await places.take(build_call(table, kind, loop.time()))
            place.leave()
            await asyncio.sleep(0.05)
        # Four of the five places of each engine are taken.
        for each in directory.usable(SERVICE):
            directory.histories[each.name].own.requests = SLOTS - 1
        call = replace(
            build_call(table, 0, loop.time()),
            is_caller_retry=True,
            priority=1 + RETRY_RANK_PENALTY,
        )
        place = await places.take(call)
        assert place.was_decided
        return directory.choose_endpoint(
            SERVICE, set(), True, place.filling, has_place=place.was_decided
        )

    assert isinstance(run_paused(run()), Chosen)


def test_a_wait_that_ends_as_places_are_granted_leaves_nobody_behind():
    """Guard against waiting requests that get no place because one gave up."""

    async def run():
        fleet = build_fleet(engines=1)
        _, places = only_gateway(fleet)
        service = places.find(SERVICE)
        requests = [PlaceRequest(0, "club", 1.0) for _ in range(3)]
        waits = [
            asyncio.create_task(places.wait(service, request, deadline, 1.0))
            for deadline, request in enumerate(requests)
        ]
        await asyncio.sleep(0.1)
        # The first wait is over, and its task has not run since.
        service.waiting[0].granted.cancel()
        places.grant()
        results = await asyncio.wait_for(asyncio.gather(*waits[1:]), 0.5)
        assert service.rank_floors.total.served.value(0.1) == 2
        waits[0].cancel()
        return results

    assert run_paused(run()) == [True, True]
