"""Check how the route and the service of a request are chosen."""

import collections
import random

from support.routing import build_route, build_routing_document

from fescuedrum.conf.routing import RoutingTable, ServiceShare, choose_service


def test_the_longest_prefix_of_the_host_wins():
    """Guard against a shorter prefix or another host's route taking a request."""
    routes = (
        build_route("short", prefix="/a/"),
        build_route("long", prefix="/a/b/"),
        build_route("other", host="else.example", prefix="/a/b/c/"),
    )
    table = RoutingTable(build_routing_document(routes=routes))
    assert table.find_route("club.example", "/a/b/c/d").name == "long"
    assert table.find_route("club.example", "/a/x").name == "short"
    assert table.find_route("club.example", "/b/") is None
    assert table.find_route("nowhere.example", "/a/") is None


def test_services_share_a_route_by_their_weights():
    """Guard against a split of traffic that ignores the services' weights."""
    shares = (ServiceShare("old", 90), ServiceShare("new", 10))
    route = build_route(shares=shares)
    chance = random.Random(1)
    drawn = collections.Counter(choose_service(route, chance) for _ in range(2000))
    assert 0.07 < drawn["new"] / 2000 < 0.13


def test_a_route_whose_weights_are_all_zero_still_has_a_service():
    """Guard against a route without a service when all weights are zero."""
    route = build_route(shares=(ServiceShare("only", 0), ServiceShare("other", 0)))
    assert choose_service(route, random.Random(1)) == "only"
