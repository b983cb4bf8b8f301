"""Compare sources of a lost rank's weights: store, peers and coded blocks."""

import random
from dataclasses import dataclass

from fescuedrum.decisions.experts import placement, planner
from fescuedrum.decisions.experts.cost import ChangeCosts
from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.popularity import Pattern, Trace

EXPERTS = 64
LAYERS = 8
GROUPS = (8, 32, 256)
# Bytes per second that a rank receives from peers while it runs steps.
PEER_RATE = 5e9
# Data blocks of a code with as many parity blocks; a repair reads half of them.
DATA_BLOCKS = 4

STORY = """\
Each rank of a group is lost in turn, under a map planned for Zipf popularity, and its
experts are fetched again: all from the weight store (baseline); from a peer where the
map has a replica, the rest from the store; and by a minimum-storage code with four data
and four parity blocks, whose repair of one block reads two others. The code needs as
many parity blocks as there are experts, that is 2 times the memory in place of 1.25."""


@dataclass(slots=True, frozen=True)
class Recovery:
    """Hold the means over all lost ranks, by source of the weights."""

    store_seconds: float
    peer_seconds: float
    coded_seconds: float
    # With a second copy of each expert, which takes as much memory as the code.
    copied_seconds: float
    from_peers: float
    coded_reads: float


def recover(ranks, seed):
    """Return the means over losing each rank in turn."""
    topology = placement.build_topology(ranks, EXPERTS, LAYERS)
    trace = Trace(Pattern.STEADY, ranks, EXPERTS, LAYERS, random.Random(seed))
    expert_map = planner.build_expert_map(trace.loads(0.0, shifted=False), topology)
    lost = replicated = 0
    for layer_map in expert_map.layers:
        for hosts in layer_map.hosts:
            lost += len(hosts)
            replicated += len(hosts) if len(hosts) > 1 else 0
    costs = ChangeCosts()
    lost_bytes = lost * costs.expert_bytes / ranks
    part = replicated / lost
    reads = DATA_BLOCKS / 2
    from_store = lost_bytes * (1 - part) / costs.store_bytes_per_second
    from_peers = lost_bytes * part / PEER_RATE
    return Recovery(
        store_seconds=lost_bytes / costs.store_bytes_per_second,
        # Both transfers run concurrently.
        peer_seconds=max(from_store, from_peers),
        coded_seconds=lost_bytes * reads / PEER_RATE,
        copied_seconds=lost_bytes / PEER_RATE,
        from_peers=part,
        coded_reads=reads,
    )


async def run(scale=1.0, seed=1):
    """Compare the sources for all sizes of group."""
    figures = []
    for ranks in GROUPS:
        result = recover(ranks, seed)
        name = f"{ranks} ranks"
        baseline = result.store_seconds
        figures += [
            Figure(
                f"{name}: plain peer copies",
                result.peer_seconds,
                unit="s",
                baseline=baseline,
            ),
            Figure(
                f"{name}: coded, twice the memory",
                result.coded_seconds,
                unit="s",
                baseline=baseline,
            ),
            Figure(
                f"{name}: plain second copies, twice the memory",
                result.copied_seconds,
                unit="s",
                baseline=baseline,
            ),
            Figure(f"{name}: part of a rank with a replica", result.from_peers),
            Figure(
                f"{name}: bytes read for a byte, coded",
                result.coded_reads,
                baseline=1.0,
            ),
        ]
    return Experiment("expert_weights", STORY, figures)
