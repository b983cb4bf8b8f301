"""Check the arithmetic of the capacity page."""

import json

import pytest

from fescuedrum.decisions.pacing import BEATS_PER_SECOND
from fescuedrum.decisions.topology import REMOTE_LINKS
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


def test_heartbeats_are_charged_by_the_members_of_one_zone_and_a_few_others():
    found = {line.name: line for line in build_slopes()}
    size = Size(engines=40, nodes=20, zones=10)
    few = roles.link_costs(found, size, Budget(), 100)[0]
    links = 4 + 2 + REMOTE_LINKS
    each = 100 + roles.SEGMENT_OVERHEAD_BYTES
    assert few.amount == pytest.approx(links / roles.HEARTBEAT_SECONDS * each)


def test_heartbeats_slow_down_so_that_a_larger_zone_costs_no_more():
    found = {line.name: line for line in build_slopes()}
    costs = [
        roles.link_costs(found, Size(engines=count, zones=1), Budget(), 100)[0].amount
        for count in (100, 1000)
    ]
    each = 100 + roles.SEGMENT_OVERHEAD_BYTES
    assert costs == pytest.approx([BEATS_PER_SECOND * each] * 2)


def test_the_page_lists_every_slope_of_its_run():
    run = json.loads(page.dump(build_slopes(), heartbeat_bytes=100))
    text = page.render(run)
    assert all(f"| {name} |" in text for name in NAMES)
