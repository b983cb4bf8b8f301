"""Check the choice of an endpoint."""

import random
from collections import Counter

from support.builders import build_candidate

from fescuedrum.decisions import routing


def test_the_own_zone_goes_first_while_it_has_room():
    near = build_candidate("near", running=3)
    far = build_candidate("far", zone="zone-2")
    chosen = routing.choose([near, far], "zone-1", random.Random(1))
    assert chosen is near
    near.running = 4
    assert routing.choose([far, near], "zone-1", random.Random(1)) is far


def test_entries_do_not_all_choose_the_endpoint_that_looked_idle_last():
    """Ten entries see the same late report in which one endpoint is idle.

    If each took the least loaded, that endpoint would get every request at once
    and fall over while eleven others stood idle.
    """
    candidates = [build_candidate(f"e{index}", running=1) for index in range(12)]
    candidates[0].running = 0
    chosen = Counter(
        routing.choose(candidates, "zone-1", random.Random(seed)).name
        for seed in range(1000)
    )
    assert chosen["e0"] < 250
