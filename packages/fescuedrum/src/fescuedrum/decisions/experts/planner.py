"""Decide whether a group's expert map should change, and to which.

Load pattern: popularity drifts through the day, shifts sharply at noon, flaps at
random, and now and then a rank is slow or lost. A static map lets one rank hold up all
others; a new plan at each interval keeps them even but moves nearly all weights.

Three kinds of change are weighed, from cheap to dear: other shares on the same ranks,
a few moves, a new placement named so that ranks keep most of what they hold. The one
that saves the most after its cost is taken, or none. While popularity is unsettled, at
least half an hour lies between changes.
"""

import enum
import functools
from collections import deque
from dataclasses import dataclass, replace

from fescuedrum.decisions.experts import cost, packing, split
from fescuedrum.decisions.experts.forecast import WINDOW_SECONDS, Forecaster
from fescuedrum.decisions.experts.improvement import Improver
from fescuedrum.decisions.experts.placement import ExpertMap, LayerMap, measure

# Mending ends here: the rest up to 1 is less than noise would undo.
MOVE_TARGET = 1.01
# Fewer moves for less balance are weighed as well.
MOVE_TARGETS = (1.03, MOVE_TARGET)
# Other shares alone suffice up to here, a few moves up to FRESH.
SHARES_SUFFICE = 1.02
MOVES_SUFFICE = 1.05
# Fetches in one change and layer, as a part of its slots, before a new placement.
MAX_FETCHED_FRACTION = 0.25
UNSETTLED_SPACING_SECONDS = 1800.0
CHANGES_AFTER_JUMP = 2


class ChangeType(enum.StrEnum):
    """Name the kinds of change, cheapest first."""

    SHARES = "shares"
    MOVES = "moves"
    PLACEMENT = "placement"
    # Experts without a rank, after one was lost: due whatever it costs.
    RESTORE = "restore"


@dataclass(slots=True, frozen=True)
class Plan:
    """Hold a change that pays: the new map, its kind and its balance."""

    kind: ChangeType
    expert_map: ExpertMap
    balance: cost.Balance


class Planner:
    """Follow one group's loads and plan its changes."""

    __slots__ = ("changes", "costs", "forecaster", "topology")

    def __init__(self, topology, costs, interval):
        self.topology = topology
        self.costs = costs
        self.forecaster = Forecaster(interval)
        # Times of the changes of the last hour.
        self.changes = deque()

    def observe(self, loads, now):
        self.forecaster.observe(loads, now)

    def set_speeds(self, speeds):
        """Take the ranks' measured speeds; 0 is a rank that is lost or stalled."""
        if speeds != self.topology.speeds:
            self.topology = self.topology.with_speeds(speeds)

    def plan(self, current, now):
        """Return the Plan that saves the most after its cost; None when none pays."""
        if self.has_lost_ranks(current):
            return self.restore(current, now)
        forecast = self.forecaster.forecast()
        if self.must_wait(forecast, now):
            return None
        samples = [forecast.loads] if forecast.is_stable else forecast.recent
        best = None
        for kind, expert_map in self.candidate_maps(current, forecast.loads):
            plan = self.assess(
                kind, current, expert_map, samples, forecast.valid_seconds
            )
            if best is None or plan.balance.net_seconds > best.balance.net_seconds:
                best = plan
        if best is None or not best.balance.is_worthwhile:
            return None
        self.changes.append(now)
        return best

    def must_wait(self, forecast, now):
        """Tell whether popularity is too restless for another change now."""
        while self.changes and now - self.changes[0] >= WINDOW_SECONDS:
            self.changes.popleft()
        first_shift_at = self.forecaster.first_shift_at()
        if not self.changes or first_shift_at is None:
            return False
        if not forecast.is_stable:
            return now - self.changes[-1] < UNSETTLED_SPACING_SECONDS
        since = sum(1 for at in self.changes if at >= first_shift_at)
        return since >= CHANGES_AFTER_JUMP

    def assess(self, kind, current, expert_map, samples, valid_seconds):
        current_time = self.mean_time(current, samples)
        changed_time = self.mean_time(expert_map, samples)
        balance = cost.assess(
            self.costs, current, expert_map, current_time, changed_time, valid_seconds
        )
        return Plan(kind, expert_map, balance)

    def mean_time(self, expert_map, samples):
        times = [
            measure(expert_map, each, self.topology).max_to_ideal for each in samples
        ]
        return sum(times) / len(times)

    def candidate_maps(self, current, loads):
        """Yield changes, cheapest first; dear ones only where cheap ones fall short."""
        topology = self.topology
        now_time = measure(current, loads, topology).max_to_ideal
        if now_time <= 1 + self.costs.min_saving:
            return
        shares = self.change_layers(current, loads, self.rebalance_shares)
        yield ChangeType.SHARES, shares
        if measure(shares, loads, topology).max_to_ideal <= SHARES_SUFFICE:
            return
        moves = shares
        for target in MOVE_TARGETS:
            move_experts = functools.partial(self.move_experts, target=target)
            moves = self.change_layers(moves, loads, move_experts)
            yield ChangeType.MOVES, replace(moves, number=current.number + 1)
        reached = measure(moves, loads, topology).max_to_ideal
        if reached <= MOVES_SUFFICE:
            return
        yield (
            ChangeType.PLACEMENT,
            self.change_layers(current, loads, self.replace_placement),
        )

    def change_layers(self, current, loads, change):
        layers = [
            change(layer, layer_map, loads[layer])
            for layer, layer_map in enumerate(current.layers)
        ]
        return ExpertMap(current.number + 1, layers)

    def rebalance_shares(self, layer, layer_map, loads):
        changed = layer_map.copy()
        split.balance_shares(changed, loads, self.topology.speeds)
        return changed

    def move_experts(self, layer, layer_map, loads, *, target=MOVE_TARGET):
        slots = self.topology.slots[layer]
        improver = Improver(layer_map.copy(), loads, self.topology.speeds, slots)
        improver.run(target, int(sum(slots) * MAX_FETCHED_FRACTION))
        return improver.layer_map

    def replace_placement(self, layer, layer_map, loads):
        fresh = place(loads, self.topology, layer)
        return packing.match_ranks(fresh, layer_map, self.topology, layer)

    def has_lost_ranks(self, current):
        return any(
            not self.topology.speeds[rank]
            for layer_map in current.layers
            for ranks in layer_map.hosts
            for rank in ranks
        )

    def restore(self, current, now):
        """Take lost ranks out of the map and place experts that have none left."""
        forecast = self.forecaster.forecast()
        restored = self.change_layers(current, forecast.loads, self.restore_layer)
        self.changes.append(now)
        return self.assess(
            ChangeType.RESTORE,
            current,
            restored,
            [forecast.loads],
            forecast.valid_seconds,
        )

    def restore_layer(self, layer, layer_map, loads):
        kept = remove_lost_ranks(layer_map, self.topology.speeds)
        unplaced = [expert for expert, ranks in enumerate(kept.hosts) if not ranks]
        if not unplaced:
            split.balance_shares(kept, loads, self.topology.speeds)
            return kept
        slots = self.topology.slots[layer]
        for expert in unplaced:
            place_unplaced(kept, expert, self.topology.speeds, slots)
        return self.move_experts(layer, kept, loads)


def place(loads, topology, layer):
    """Return a new, mended placement of one layer."""
    fresh = packing.pack(loads, topology, layer)
    slots = topology.slots[layer]
    improver = Improver(fresh, loads, topology.speeds, slots)
    improver.run(MOVE_TARGET, sum(slots))
    return improver.layer_map


def build_expert_map(loads, topology, number=1):
    """Return a new map of the whole group, as a group starts with."""
    layers = [place(loads[layer], topology, layer) for layer in range(topology.layers)]
    return ExpertMap(number, layers)


def remove_lost_ranks(layer_map, speeds):
    """Return the map without ranks that are lost; the others share their part."""
    hosts, shares = [], []
    for ranks, parts in zip(layer_map.hosts, layer_map.shares, strict=True):
        kept = [
            (rank, part)
            for rank, part in zip(ranks, parts, strict=True)
            if speeds[rank]
        ]
        lost = 1 - sum(part for _, part in kept)
        hosts.append([rank for rank, _ in kept])
        shares.append([part + lost / len(kept) for _, part in kept])
    return LayerMap(hosts, shares)


def place_unplaced(layer_map, expert, speeds, slots):
    """Place an expert that has no rank: in a free slot, else in a replica's."""
    used = [0] * len(speeds)
    replicas = []
    for other, ranks in enumerate(layer_map.hosts):
        for index, rank in enumerate(ranks):
            used[rank] += 1
            if len(ranks) > 1:
                replicas.append((layer_map.shares[other][index], other, rank))
    free = [r for r, speed in enumerate(speeds) if speed and used[r] < slots[r]]
    if free:
        rank = min(free, key=used.__getitem__)
    else:
        _, other, rank = min(replicas)
        index = layer_map.hosts[other].index(rank)
        layer_map.hosts[other].pop(index)
        layer_map.shares[other].pop(index)
        rest = sum(layer_map.shares[other])
        layer_map.shares[other] = [
            share / rest if rest else 1 / len(layer_map.shares[other])
            for share in layer_map.shares[other]
        ]
    layer_map.hosts[expert].append(rank)
    layer_map.shares[expert].append(1.0)
