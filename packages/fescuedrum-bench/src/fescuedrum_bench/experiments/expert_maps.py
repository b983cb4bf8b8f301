"""Compare the planner of expert maps with a static map and full re-plans."""

import random
import time
from dataclasses import dataclass

from fescuedrum.decisions.experts import packing, placement, planner, stragglers
from fescuedrum.decisions.experts.cost import ChangeCosts
from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.popularity import DAY_SECONDS, INTERVAL_SECONDS, Pattern, Trace

EXPERTS = 64
LAYERS = 8
TRACE_LAYERS = 2
GROUPS = (8, 32, 256)
NOON_SECONDS = 12 * 3600.0
FULL_TICKS = 240
LEAST_TICKS = 60
SKEW_TARGET = 1.05
SKEW_OVER_REPLAN = 1.02
MOVED_OF_REPLAN = 0.2
FLAPPING_CHANGES = 2.0
PLANNING_SECONDS = 1.0

STORY = """\
Popularity of 64 experts a layer follows Zipf (exponent 0.8, 1 % noise) and is steady,
drifts through the day, shifts from 12 to 14 o'clock, flaps at random, or one rank runs
at half speed for half of the trace. Maps change between intervals of one minute and
are late by the time that the weights take. The planner has seen the same hours of one
day before. Baselines: the first map for ever; a new map from the last interval's loads
at each interval, ranks named so that they keep the most; the same without replicas.
Skew is the slowest rank's time over the mean rank's."""


class Static:
    """Policy that keeps the first map."""

    def observe(self, tick):
        pass

    def next_map(self, current, now):
        return None


class Replan:
    """Policy that plans a new map in each interval from the last loads."""

    def __init__(self, topology, *, replicate=True):
        self.topology = topology
        self.replicate = replicate
        self.loads = None

    def observe(self, tick):
        """Store the loads and speeds of an interval."""
        self.loads = tick.loads
        self.topology = self.topology.with_speeds(tick.speeds)

    def next_map(self, current, now):
        """Return a new map."""
        layers = [
            self.place(layer, current.layers[layer])
            for layer in range(self.topology.layers)
        ]
        return placement.ExpertMap(current.number + 1, layers)

    def place(self, layer, current):
        """Return a new map of a layer that keeps experts on their ranks."""
        loads = self.loads[layer]
        if not self.replicate:
            return single_replicas(loads, self.topology, layer)
        fresh = planner.place(loads, self.topology, layer)
        return packing.match_ranks(fresh, current, self.topology, layer)


class Planned:
    """Policy that applies the plans of the planner."""

    def __init__(self, topology):
        self.planner = planner.Planner(topology, ChangeCosts(), INTERVAL_SECONDS)
        self.meter = stragglers.SpeedMeter(topology.ranks)

    def observe(self, tick):
        """Pass the loads and measured speeds of an interval to the planner."""
        self.planner.observe(tick.loads, tick.at)
        # The measured time of a rank is its tokens divided by its speed.
        tokens = [1.0] * len(tick.speeds)
        self.meter.observe(tokens, [1 / speed for speed in tick.speeds])
        self.planner.set_speeds(self.meter.rounded_speeds())

    def next_map(self, current, now):
        """Return the planned map, or None if the planner keeps the current map."""
        plan = self.planner.plan(current, now)
        return plan.expert_map if plan else None


def single_replicas(loads, topology, layer):
    """Return a map of a layer with each expert on the rank with the fewest tokens."""
    tokens = [0.0] * topology.ranks
    hosts = [[] for _ in loads]
    for expert in sorted(range(len(loads)), key=loads.__getitem__, reverse=True):
        rank = min(range(topology.ranks), key=tokens.__getitem__)
        hosts[expert].append(rank)
        tokens[rank] += loads[expert]
    return placement.LayerMap(hosts, [[1.0] for _ in loads])


@dataclass(slots=True)
class Score:
    """Hold the mean skew, fetched experts and changes of a policy on a trace."""

    skew: float
    moved: int
    changes: int


def simulate(policy, topology, ticks, first):
    """Run a policy over a trace and return its score."""
    costs = ChangeCosts()
    current, skews, moved, changes = first, [], 0, 0
    late = None
    for tick in ticks:
        true = topology.with_speeds(tick.speeds)
        skew = placement.measure(current, tick.loads, true).max_to_mean
        if late is not None:
            old, part = late
            before = placement.measure(old, tick.loads, true).max_to_mean
            skew = part * before + (1 - part) * skew
        skews.append(skew)
        late = None
        policy.observe(tick)
        changed = policy.next_map(current, tick.at)
        if changed is not None:
            fetched = placement.count_fetches(current, changed)
            seconds = fetched * costs.expert_bytes / costs.store_bytes_per_second
            late = (current, min(seconds / INTERVAL_SECONDS, 1.0))
            moved += fetched
            changes += 1
            current = changed
    return Score(sum(skews) / len(skews), moved, changes)


def compare(pattern, ranks, count, seed):
    """Run all policies over one trace; return scores by name and the lower bound."""
    topology = placement.build_topology(ranks, EXPERTS, TRACE_LAYERS)
    trace = Trace(pattern, ranks, EXPERTS, TRACE_LAYERS, random.Random(seed))
    begin = NOON_SECONDS - count * INTERVAL_SECONDS / 2
    day_before = list(trace.ticks(begin, count))
    begin += DAY_SECONDS
    ticks = list(trace.ticks(begin, count))
    first = planner.build_expert_map(ticks[0].loads, topology)
    policies = {
        "static": Static(),
        "replan": Replan(topology),
        "unreplicated": Replan(topology, replicate=False),
        "planner": Planned(topology),
    }
    for tick in day_before:
        policies["planner"].observe(tick)
    scores = {
        name: simulate(policy, topology, ticks, first)
        for name, policy in policies.items()
    }
    bounds = [placement.skew_lower_bound(tick.loads, topology) for tick in ticks]
    return scores, sum(bounds) / len(bounds)


def figures_of(pattern, ranks, count, seed):
    """Return the figures of a pattern and a size of group."""
    scores, bound = compare(pattern, ranks, count, seed)
    ours, replan = scores["planner"], scores["replan"]
    name = f"{pattern.value}, {ranks} ranks"
    figures = [
        Figure(f"{name}: lower bound of skew", bound),
        Figure(f"{name}: skew, static map", scores["static"].skew),
        Figure(f"{name}: skew, no replicas", scores["unreplicated"].skew),
        Figure(f"{name}: skew", ours.skew, baseline=replan.skew, at_most=SKEW_TARGET),
        Figure(
            f"{name}: skew over re-plan's",
            ours.skew / replan.skew,
            at_most=SKEW_OVER_REPLAN,
        ),
        Figure(
            f"{name}: experts fetched",
            ours.moved,
            baseline=replan.moved,
            at_most=MOVED_OF_REPLAN * replan.moved,
        ),
    ]
    hours = count * INTERVAL_SECONDS / 3600
    most = FLAPPING_CHANGES if pattern is Pattern.FLAPPING else None
    figures.append(
        Figure(
            f"{name}: changes",
            ours.changes / hours,
            unit="1/h",
            baseline=replan.changes / hours,
            at_most=most,
        )
    )
    return figures


def planning_time(seed):
    """Return the processor seconds of two plans: (first map, after a shift)."""
    topology = placement.build_topology(max(GROUPS), EXPERTS, LAYERS)
    trace = Trace(Pattern.NOON, max(GROUPS), EXPERTS, LAYERS, random.Random(seed))
    before = trace.loads(0.0, shifted=False)
    begin = time.process_time()
    first = planner.build_expert_map(before, topology)
    from_nothing = time.process_time() - begin
    ours = planner.Planner(topology, ChangeCosts(), INTERVAL_SECONDS)
    ours.observe(before, 0.0)
    ours.observe(trace.loads(0.0, shifted=True), INTERVAL_SECONDS)
    begin = time.process_time()
    ours.plan(first, INTERVAL_SECONDS)
    return from_nothing, time.process_time() - begin


async def run(scale=1.0, seed=1):
    """Run all traces, with their length multiplied by `scale`."""
    count = max(LEAST_TICKS, int(FULL_TICKS * scale))
    from_nothing, at_noon = planning_time(seed)
    name = "planning 256 ranks, 64 experts, 8 layers"
    most = PLANNING_SECONDS
    figures = [
        Figure(f"{name}, from nothing", from_nothing, unit="s", at_most=most),
        Figure(f"{name}, after a shift", at_noon, unit="s", at_most=most),
    ]
    for ranks in GROUPS:
        for pattern in Pattern:
            figures += figures_of(pattern, ranks, count, seed)
    return Experiment("expert_maps", STORY, figures)
