"""Check how many requests may be at an endpoint, and what that does to streams."""

import pytest
from support.routing import build_route, build_routing_document

from fescuedrum.conf.routing import RoutingTable
from fescuedrum.decisions.rooms import WAITING_STRAIN, request_limit

SLOTS = 5
PAUSE_SECONDS = 0.12
EVENTS = 23
# A pass of seven steps: its own length, and what each request at an engine adds.
BASE_SECONDS = 0.034
REQUEST_SECONDS = 0.003
# Part of a pass in which prompts are read: the longer a pass, the more of them.
PROMPT_PART = 0.3
ENGINES = 63


def engine_room(strain, is_caller_retry=False):
    return request_limit(
        SLOTS, is_engine=True, is_caller_retry=is_caller_retry, strain=strain
    )


def pass_seconds(at_each):
    """Return the length of a pass: longer passes have more prompts to read."""
    fixed = BASE_SECONDS + REQUEST_SECONDS * at_each
    return fixed / (1 - PROMPT_PART)


def play(arrivals, seconds, limit):
    """Play a group; limit(strain) bounds each engine. Return the passes' lengths."""
    running, lengths, now = 0.0, [], 0.0
    while now < seconds:
        length = pass_seconds(running / ENGINES)
        lengths.append(length)
        ended = running / EVENTS
        space = ENGINES * limit(length / PAUSE_SECONDS) - running + ended
        running += min(arrivals * length, space) - ended
        now += length
    return lengths


def test_all_places_and_a_little_more_are_used_while_passes_are_short():
    assert engine_room(0.0) > SLOTS
    assert engine_room(WAITING_STRAIN) > SLOTS


@pytest.mark.parametrize("strain", [0.51, 0.85, 1.0, 1.25])
def test_no_place_stands_empty_and_none_waits_while_passes_are_long(strain):
    """Callers are refused after an outage while a quarter of the places is empty."""
    assert engine_room(strain) == SLOTS
    assert 1 <= engine_room(strain, is_caller_retry=True) < SLOTS


def test_room_only_falls_with_strain():
    rooms = [engine_room(step / 20) for step in range(22)]
    assert rooms == sorted(rooms, reverse=True)


def test_a_group_that_a_slow_rank_holds_up_is_used_all_the_same():
    """Callers are refused although their late answers were worth waiting for.

    One slow rank makes every pass longer than the pause allowed; fewer requests would
    not make it shorter.
    """
    assert engine_room(1.25) == SLOTS


def test_streams_outlive_a_move_of_demand_in_a_large_group():
    """All streams of a large group are late after each move of demand.

    Passes that were within the pause allowed are three quarters longer for a second.
    With so many requests that calm passes take half of the pause, all is well in a
    group of a dozen ranks; in one of 63 the longer ones come near the whole of it.
    """
    strain = 0.5
    small = request_limit(
        SLOTS, is_engine=True, is_caller_retry=False, strain=strain, ranks=12
    )
    large = request_limit(
        SLOTS, is_engine=True, is_caller_retry=False, strain=strain, ranks=63
    )
    assert large < small
    calm = request_limit(
        SLOTS, is_engine=True, is_caller_retry=False, strain=0.3, ranks=63
    )
    assert calm > SLOTS


def test_plain_services_know_no_strain():
    assert (
        request_limit(SLOTS, is_engine=False, is_caller_retry=False, strain=9.0) > SLOTS
    )


def test_passes_stay_short_under_lasting_load():
    """Every stream is late for as long as more callers come than usual.

    Each engine takes what it has places for; passes grow with the requests in them,
    and longer passes keep requests for longer.
    """
    unbounded = play(250, 20.0, lambda strain: SLOTS + 2)
    bounded = play(250, 20.0, engine_room)
    assert bounded[-1] < unbounded[-1]
    assert bounded[-1] < 0.6 * PAUSE_SECONDS


def test_the_shortest_pause_of_a_services_routes_counts():
    routes = (
        build_route("a", longest_pause=0.2),
        build_route("b", longest_pause=0.12),
        build_route("c"),
    )
    table = RoutingTable(build_routing_document(routes=routes))
    assert table.allowed_pauses == {"advice": 0.12}
