"""Decide whether to change a group's expert map, and plan the new map.

Load pattern: popularity drifts through the day, shifts abruptly at noon and flaps at
random, and occasionally a rank is slow or lost. With a static map one rank delays all
others. A new plan at each interval keeps them balanced but moves nearly all weights.

Three types of change are compared, from cheap to expensive: new shares on the same
ranks, a few moves, and a new placement whose ranks are renumbered so that they keep
most of their experts. The change that saves the most after its cost is made, if any.
While popularity is unstable, there is at least half an hour between changes.
"""

import enum
import functools
from collections import deque
from dataclasses import dataclass, replace

from fescuedrum.decisions.experts import cost, packing, split
from fescuedrum.decisions.experts.forecast import WINDOW_SECONDS, Forecaster
from fescuedrum.decisions.experts.improvement import Improver
from fescuedrum.decisions.experts.placement import ExpertMap, LayerMap, measure

# Time over the ideal at which moves end; further gains would be undone by noise.
MOVE_TARGET = 1.01
# Changes with fewer moves and less balance are compared as well.
MOVE_TARGETS = (1.03, MOVE_TARGET)
# Time over the ideal up to which new shares are enough, and up to which moves are.
SHARES_SUFFICE = 1.02
MOVES_SUFFICE = 1.05
# Limit on fetches for the moves in a layer, as a fraction of its slots.
MAX_FETCHED_FRACTION = 0.25
# Minimum time between changes while popularity is unstable.
UNSTABLE_SPACING_SECONDS = 1800.0
# Limit on changes since the first shift of the last hour.
MAX_CHANGES_AFTER_SHIFT = 2


class ChangeType(enum.StrEnum):
    """Enumerate the types of change, cheapest first."""

    SHARES = "shares"
    MOVES = "moves"
    PLACEMENT = "placement"
    # Removes lost ranks and places all of their experts, regardless of the cost.
    RESTORE = "restore"


@dataclass(slots=True, frozen=True)
class Plan:
    """Hold a new map, the type of the change and its cost and savings."""

    kind: ChangeType
    expert_map: ExpertMap
    balance: cost.Balance


class Planner:
    """Plan changes of one group's map from its loads."""

    __slots__ = ("changes", "costs", "forecaster", "topology")

    def __init__(self, topology, costs, interval):
        self.topology = topology
        self.costs = costs
        self.forecaster = Forecaster(interval)
        # Times of the changes of the last hour.
        self.changes = deque()

    def observe(self, loads, now):
        """Record the loads of the interval that ends now."""
        self.forecaster.observe(loads, now)

    def set_speeds(self, speeds):
        """Set the measured speeds of the ranks; 0 means lost or stalled."""
        if speeds != self.topology.speeds:
            self.topology = self.topology.with_speeds(speeds)

    def plan(self, current, now):
        """Return the Plan with the highest net savings, or None if none is positive."""
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
        """Return whether it is too early for another change after recent shifts."""
        while self.changes and now - self.changes[0] >= WINDOW_SECONDS:
            self.changes.popleft()
        first_shift_at = self.forecaster.first_shift_at()
        if not self.changes or first_shift_at is None:
            return False
        if not forecast.is_stable:
            return now - self.changes[-1] < UNSTABLE_SPACING_SECONDS
        changes = sum(1 for at in self.changes if at >= first_shift_at)
        return changes >= MAX_CHANGES_AFTER_SHIFT

    def assess(self, kind, current, expert_map, samples, valid_seconds):
        """Return the Plan for a new map, with its cost and savings."""
        current_time = self.mean_time(current, samples)
        changed_time = self.mean_time(expert_map, samples)
        balance = cost.assess(
            self.costs, current, expert_map, current_time, changed_time, valid_seconds
        )
        return Plan(kind, expert_map, balance)

    def mean_time(self, expert_map, samples):
        """Return the mean time of a map over the ideal time for several loads."""
        times = [
            measure(expert_map, each, self.topology).max_to_ideal for each in samples
        ]
        return sum(times) / len(times)

    def candidate_maps(self, current, loads):
        """Yield (type, map) of changes, cheapest first, until one is good enough."""
        topology = self.topology
        current_time = measure(current, loads, topology).max_to_ideal
        if current_time <= 1 + self.costs.min_saving:
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
        """Return a new map; change(layer, layer_map, loads) returns each LayerMap."""
        layers = [
            change(layer, layer_map, loads[layer])
            for layer, layer_map in enumerate(current.layers)
        ]
        return ExpertMap(current.number + 1, layers)

    def rebalance_shares(self, layer, layer_map, loads):
        """Return the LayerMap with new shares on the same ranks."""
        changed = layer_map.copy()
        split.balance_shares(changed, loads, self.topology.speeds)
        return changed

    def move_experts(self, layer, layer_map, loads, *, target=MOVE_TARGET):
        """Return the LayerMap after a limited number of moves."""
        slots = self.topology.slots[layer]
        improver = Improver(layer_map.copy(), loads, self.topology.speeds, slots)
        improver.run(target, int(sum(slots) * MAX_FETCHED_FRACTION))
        return improver.layer_map

    def replace_placement(self, layer, layer_map, loads):
        """Return a new LayerMap whose ranks keep most of their experts."""
        fresh = place(loads, self.topology, layer)
        return packing.match_ranks(fresh, layer_map, self.topology, layer)

    def has_lost_ranks(self, current):
        """Return whether a map places experts on lost ranks."""
        return any(
            not self.topology.speeds[rank]
            for layer_map in current.layers
            for ranks in layer_map.hosts
            for rank in ranks
        )

    def restore(self, current, now):
        """Return a Plan without lost ranks that places all experts on other ranks."""
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
        """Return the LayerMap without lost ranks and with all experts placed."""
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
    """Return a new placement of one layer."""
    fresh = packing.pack(loads, topology, layer)
    slots = topology.slots[layer]
    improver = Improver(fresh, loads, topology.speeds, slots)
    improver.run(MOVE_TARGET, sum(slots))
    return improver.layer_map


def build_expert_map(loads, topology, number=1):
    """Return a new map of all layers that does not depend on an earlier map."""
    layers = [place(loads[layer], topology, layer) for layer in range(topology.layers)]
    return ExpertMap(number, layers)


def remove_lost_ranks(layer_map, speeds):
    """Return a map without lost ranks; other hosts divide their shares equally."""
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
    """Place an expert without hosts in a free slot or in place of a replica."""
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
