"""Check the arithmetic of the capacity page."""

import json

import pytest

from fescuedrum_bench.capacity import page, roles, slopes
from fescuedrum_bench.capacity.size import Budget, Size

NAMES = (
    "entry.request",
    "entry.token",
    "entry.idle-connection",
    "agent.request",
    "agent.token",
    "link.heartbeats",
    "document.take",
    "document.size",
)


def build_slopes(value=0.001):
    points = [(0, 0.0), (1, value), (2, 2 * value)]
    return [slopes.fit(name, points, per="step", unit="s") for name in NAMES]


def test_a_line_is_found_again_from_its_points():
    line = slopes.fit("x", [(1, 5.0), (2, 7.0), (3, 9.0)], per="step", unit="s")
    assert (line.slope, line.intercept, line.fit) == pytest.approx((2, 3, 1))


def test_an_entry_is_charged_for_its_share_of_the_fleets_requests():
    found = {line.name: line for line in build_slopes(0.001)}
    cost = roles.entry_costs(found, Size(nodes=10, requests_per_second=1000))[0]
    assert cost.amount == pytest.approx(0.1)


def test_heartbeats_are_charged_by_the_agents_of_one_zone_only():
    found = {line.name: line for line in build_slopes()}
    small = roles.link_costs(found, Size(engines=100, zones=1), Budget(), 100)
    split = roles.link_costs(found, Size(engines=100, zones=10), Budget(), 100)
    assert small[0].amount == pytest.approx(10 * split[0].amount)


def test_the_page_lists_every_slope_of_its_run():
    run = json.loads(page.dump(build_slopes(), heartbeat_bytes=100))
    text = page.render(run)
    assert all(f"| {name} |" in text for name in NAMES)
