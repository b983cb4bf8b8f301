"""Describe a group's ranks and its expert map.

Load pattern: popularity of experts is uneven, and every layer ends with an exchange
among all ranks, so a layer lasts as long as its slowest rank. A hot expert on one rank
would hold up all others; replicas of it share its tokens by stated shares, which may be
unequal, so that a slow rank or one with other work gets less.

Slots: a layer has 1.25 times as many slots as it has experts. With more ranks than
experts that would leave ranks without work, so there the factor applies to the ranks.
Slots that don't divide evenly go to other ranks in each layer, so that the memory of
all ranks is the same over the layers.
"""

import math
from dataclasses import dataclass

SLOT_FACTOR = 1.25


@dataclass(slots=True, frozen=True)
class Topology:
    """Hold the ranks of a group: relative speed (0 is lost), domain, slots by layer."""

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
        """Return the same group with other speeds; a lost rank has no slots."""
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
    """Hold, for each expert of a layer, its ranks and their shares of its tokens."""

    hosts: list[list[int]]
    shares: list[list[float]]

    def copy(self):
        return LayerMap(
            [ranks.copy() for ranks in self.hosts],
            [shares.copy() for shares in self.shares],
        )


@dataclass(slots=True)
class ExpertMap:
    """Hold the whole map of a group under its number; numbers only rise."""

    number: int
    layers: list[LayerMap]


def build_topology(ranks, experts, layers, *, ranks_per_domain=8):
    """Describe a group of equal ranks with the usual slots."""
    total = math.ceil(SLOT_FACTOR * max(ranks, experts))
    slots = tuple(spread_slots(total, ranks, layer) for layer in range(layers))
    domains = tuple(rank // ranks_per_domain for rank in range(ranks))
    return Topology((1.0,) * ranks, domains, slots, experts)


def spread_slots(total, ranks, layer):
    """Divide slots among ranks and give the rest to other ranks in each layer."""
    base, rest = divmod(total, ranks)
    # Spaced out, so that the ranks with one more slot are in all domains.
    extra = {(index * ranks // rest + layer) % ranks for index in range(rest)}
    return tuple(base + (rank in extra) for rank in range(ranks))


def rank_times(layer_map, loads, speeds):
    """Return each rank's time for one layer, in tokens at speed 1."""
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
    """Hold step-time skew across ranks, all layers together.

    highest and mean are sums over layers of the slowest and the mean rank's time;
    ideal is the time with the tokens spread perfectly over the ranks' speeds.
    """

    highest: float
    mean: float
    ideal: float

    @property
    def max_to_mean(self):
        """Return max/mean, the measure that operators read."""
        return self.highest / self.mean if self.mean else 1.0

    @property
    def max_to_ideal(self):
        """Return the step time over the best possible one; decisions use this."""
        return self.highest / self.ideal if self.ideal else 1.0


def measure(expert_map, loads, topology):
    """Return the skew of a map under loads[layer][expert]."""
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
    """Count (rank, expert) pairs, all layers, whose weights must be fetched."""
    return sum(len(fetched) for fetched in find_fetches(old, new))


def find_fetches(old, new):
    """Return for each layer the (rank, expert) pairs that the new map adds."""
    found = []
    for layer, layer_map in enumerate(new.layers):
        before = old.layers[layer].hosts if old else [[]] * len(layer_map.hosts)
        found.append(
            [
                (rank, expert)
                for expert, ranks in enumerate(layer_map.hosts)
                for rank in ranks
                if rank not in before[expert]
            ]
        )
    return found


def skew_lower_bound(loads, topology):
    """Return the least skew that any map with these slots could reach.

    An expert with load L needs at least L / (T * fastest) slots to keep every rank
    within T; the slots of a layer bound the sum. No map is proven to reach it.
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
    """Search the least time at which the experts' pieces fit the slots."""
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
    return sum(max(1, math.ceil(load / size - 1e-9)) for load in loads)
