"""Describe the ranks of a group and its expert map.

Load pattern: the popularity of experts is uneven, and every layer ends with an exchange
among all ranks, so a layer takes as long as its slowest rank. Without replicas, a rank
with a hot expert would delay all others. Replicas divide the tokens of an expert by
explicit shares, which may be unequal, so that slow or busy ranks get fewer tokens.

A layer has 1.25 times as many slots as experts. In groups with more ranks than experts
this would leave ranks without work, so there the factor is applied to the ranks. Slots
that can't be divided evenly are given to different ranks in each layer, so that all
ranks need the same memory for all layers together.
"""

import math
from dataclasses import dataclass

SLOT_FACTOR = 1.25


@dataclass(slots=True, frozen=True)
class Topology:
    """Hold the relative speed (0 if lost), domain and slots of each rank of a group."""

    speeds: tuple[float, ...]
    domains: tuple[int, ...]
    # slots[layer][rank]
    slots: tuple[tuple[int, ...], ...]
    experts: int

    @property
    def ranks(self):
        return len(self.speeds)

    @property
    def layers(self):
        return len(self.slots)

    def with_speeds(self, speeds):
        """Return a copy with the given speeds; ranks with speed 0 have no slots."""
        slots = tuple(
            tuple(
                count if speed else 0
                for count, speed in zip(layer, speeds, strict=True)
            )
            for layer in self.slots
        )
        return Topology(tuple(speeds), self.domains, slots, self.experts)


@dataclass(slots=True)
class LayerMap:
    """Hold the hosts of each expert of a layer and their shares of its tokens."""

    hosts: list[list[int]]
    shares: list[list[float]]

    def copy(self):
        return LayerMap(
            [ranks.copy() for ranks in self.hosts],
            [shares.copy() for shares in self.shares],
        )


@dataclass(slots=True)
class ExpertMap:
    """Hold the map of all layers of a group and its number, which only increases."""

    number: int
    layers: list[LayerMap]


def build_topology(ranks, experts, layers, *, ranks_per_domain=8):
    """Return the Topology of a group of equal ranks with SLOT_FACTOR applied."""
    total = math.ceil(SLOT_FACTOR * max(ranks, experts))
    slots = tuple(spread_slots(total, ranks, layer) for layer in range(layers))
    domains = tuple(rank // ranks_per_domain for rank in range(ranks))
    return Topology((1.0,) * ranks, domains, slots, experts)


def spread_slots(total, ranks, layer):
    """Return the slots of each rank; the remainder depends on the layer."""
    base, rest = divmod(total, ranks)
    # Ranks with an additional slot are spaced out over all domains.
    extra = {(index * ranks // rest + layer) % ranks for index in range(rest)}
    return tuple(base + (rank in extra) for rank in range(ranks))


def rank_times(layer_map, loads, speeds):
    """Return each rank's time for one layer, as the number of tokens at speed 1."""
    tokens = [0.0] * len(speeds)
    for expert, ranks in enumerate(layer_map.hosts):
        load = loads[expert]
        for rank, share in zip(ranks, layer_map.shares[expert], strict=True):
            tokens[rank] += load * share
    return [
        load / speed if speed else 0.0
        for load, speed in zip(tokens, speeds, strict=True)
    ]


@dataclass(slots=True, frozen=True)
class Skew:
    """Hold step times of a group, each summed over all layers.

    highest is the time of the slowest rank, mean the mean time of all ranks, and ideal
    the time if the tokens were distributed in proportion to the ranks' speeds.
    """

    highest: float
    mean: float
    ideal: float

    @property
    def max_to_mean(self):
        """Return the highest time divided by the mean, the skew shown to operators."""
        return self.highest / self.mean if self.mean else 1.0

    @property
    def max_to_ideal(self):
        """Return the highest time divided by the ideal, the skew used in decisions."""
        return self.highest / self.ideal if self.ideal else 1.0


def measure(expert_map, loads, topology):
    """Return the Skew of a map for the given loads[layer][expert]."""
    highest = mean = ideal = 0.0
    live = sum(1 for speed in topology.speeds if speed)
    capacity = sum(topology.speeds)
    for layer_map, layer_loads in zip(expert_map.layers, loads, strict=True):
        times = rank_times(layer_map, layer_loads, topology.speeds)
        highest += max(times)
        mean += sum(times) / live
        ideal += sum(layer_loads) / capacity
    return Skew(highest, mean, ideal)


def count_fetches(old, new):
    """Return the number of experts that ranks must fetch for a new map, all layers."""
    return sum(len(fetched) for fetched in find_fetches(old, new))


def find_fetches(old, new):
    """Return for each layer the list of (rank, expert) pairs that a new map adds."""
    additions = []
    for layer, layer_map in enumerate(new.layers):
        before = old.layers[layer].hosts if old else [[]] * len(layer_map.hosts)
        additions.append(
            [
                (rank, expert)
                for expert, ranks in enumerate(layer_map.hosts)
                for rank in ranks
                if rank not in before[expert]
            ]
        )
    return additions


def skew_lower_bound(loads, topology):
    """Return a lower bound of the skew of any map with these slots.

    To keep every rank's time within T, an expert with load L needs at least
    L / (T * fastest) slots, and a layer has a limited number of slots. It is not proven
    that a map can reach the bound.
    """
    capacity = sum(topology.speeds)
    fastest = max(topology.speeds)
    bound = ideal = 0.0
    for layer_loads, slots in zip(loads, topology.slots, strict=True):
        ideal_time = sum(layer_loads) / capacity
        bound += search_min_time(layer_loads, ideal_time, fastest, sum(slots))
        ideal += ideal_time
    return bound / ideal


def search_min_time(loads, ideal_time, fastest, slots):
    """Return the shortest time at which the pieces of all experts fit the slots."""
    low, high = ideal_time, ideal_time * len(loads)
    if count_slots_needed(loads, low * fastest) <= slots:
        return low
    for _ in range(30):
        middle = (low + high) / 2
        if count_slots_needed(loads, middle * fastest) <= slots:
            high = middle
        else:
            low = middle
    return low


def count_slots_needed(loads, size):
    """Return the number of pieces if no piece of an expert is larger than size."""
    return sum(max(1, math.ceil(load / size - 1e-9)) for load in loads)
