"""Check that requests are served while most callers connect to one gateway."""

import collections

import pytest
from support.clock import run_paused
from support.fleet import WARM_UP_SECONDS, FleetShape, FleetSimulation

CROWDED_AT = 7.0
# Time in which gateways learn of changes, and the share of before that callers expect.
CONTACT_SECONDS = 3.0
LEAST_RATIO = 0.75


class CrowdedFleet(FleetSimulation):
    """Let all callers, or those of its zone, connect to one gateway from a time on."""

    def __init__(self, shape, *, is_whole_area):
        super().__init__(shape)
        self.is_whole_area = is_whole_area
        self.by_second = collections.defaultdict(collections.Counter)

    async def send_callers(self):
        self.loop.call_at(CROWDED_AT, self.crowd)
        await super().send_callers()

    def crowd(self):
        chosen = self.gateways[0]
        zone = chosen.settings.zone
        self.clients = [
            chosen if self.is_whole_area or each.settings.zone == zone else each
            for each in self.clients
        ]

    def count(self, began, outcome):
        super().count(began, outcome)
        self.by_second[int(began)][outcome] += 1

    def served(self, since, until):
        """Return the share of the requests in a time that were not refused."""
        counts = sum(
            (self.by_second[second] for second in range(int(since), int(until))),
            collections.Counter(),
        )
        return 1 - counts["refused"] / counts.total()


@pytest.mark.parametrize("is_whole_area", [False, True], ids=["zone", "area"])
@pytest.mark.parametrize(
    ("gateways", "engines", "rate"), [(7, 12, 33.0), (38, 63, 112.0)]
)
def test_a_gateway_to_which_most_callers_connect_serves_them(
    gateways, engines, rate, is_whole_area
):
    """Guard against bounds that take one gateway's share to be one of many."""

    async def play():
        shape = FleetShape(
            zones=3,
            gateways=gateways,
            engines=engines,
            slots=5,
            rate=rate,
            seconds=14.0,
        )
        return await CrowdedFleet(shape, is_whole_area=is_whole_area).run()

    fleet = run_paused(play())
    before = fleet.served(WARM_UP_SECONDS, CROWDED_AT)
    crowded = fleet.served(CROWDED_AT + CONTACT_SECONDS, fleet.shape.seconds)
    assert crowded >= LEAST_RATIO * before
