"""Measure the cost of choosing an endpoint by the number of endpoints."""

import random
import time

from fescuedrum.decisions.placing.routing import (
    Candidate,
    EndpointView,
    RoutingPreference,
)
from fescuedrum_bench.experiments.base import Experiment, Figure

SIZES = (10, 100, 1100)
ZONES = 19
CHOICES = 20_000


async def run(scale, seed):
    """Compare the maintained view of endpoints with a scan of all."""
    count = int(CHOICES * scale)
    built = {size: measure(size, count, seed, choose_kept) for size in SIZES}
    scanned = {
        size: measure(size, max(1, count // size), seed, choose_scanned)
        for size in SIZES
    }
    small, large = SIZES[0], SIZES[-1]
    return Experiment(
        "routing_cost",
        f"A choice, its sending and its end in one process, among {SIZES[0]} to "
        f"{SIZES[-1]} endpoints. Baseline: a scan of all for the least loaded.",
        [
            Figure(
                f"cost at {large} endpoints over cost at {small}",
                built[large] / built[small],
                "",
                scanned[large] / scanned[small],
                at_most=2.0,
            ),
            Figure(
                f"cost at {large} endpoints",
                built[large],
                "us",
                scanned[large],
            ),
        ],
        {"kept view": list(built.items()), "scan": list(scanned.items())},
        ("endpoints", "microseconds"),
    )


def measure(size, count, seed, choose):
    """Return the mean microseconds to choose, send and end among endpoints."""
    chooser = random.Random(seed)
    view = EndpointView()
    for index in range(size):
        view.add(Candidate(f"e{index}", f"zone-{index % ZONES}", limit=16))
    pending = []
    begin = time.perf_counter()
    for index in range(count):
        prefix = f"prefix-{index % 7}" if index % 2 else ""
        chosen = choose(view, RoutingPreference(zone="zone-1", prefix=prefix), chooser)
        view.sent(chosen)
        pending.append(chosen)
        if len(pending) > size:
            view.ended(pending.pop(0))
    return (time.perf_counter() - begin) / count * 1e6


def choose_kept(view, preference, chooser):
    """Choose by the maintained view."""
    return view.choose(preference, chooser)


def choose_scanned(view, preference, chooser):
    """Choose the least loaded by a scan of all endpoints."""
    return min(view.candidates.values(), key=lambda each: each.load)
