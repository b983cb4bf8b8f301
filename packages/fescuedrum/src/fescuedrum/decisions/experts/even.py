"""Rebalance an expert map with few copies; replicas of an expert get equal loads.

Load pattern: the experts in demand change abruptly every few seconds, and about half of
the demand moves. A layer takes as long as its most loaded rank, so a hot expert on one
rank makes every pass of the group three times as long. Copying an expert takes a tenth
of a second and slows the group down meanwhile, and a rank accepts a bounded number of
new experts at a time. Planning a new map from scratch would copy most of the weights,
and the copies would be ready only after demand has moved again. A few replicas of the
hottest experts give most of the gain within a fraction of a second.

The map is changed in single steps, each the one with the highest gain per copy. A step
either gives a lightly loaded rank a replica of an expert of the most loaded rank, in a
free place or in place of an expert that other ranks also hold, or lets two ranks
exchange an expert. The gain is measured by the sum of a high power of the ranks' loads:
it is dominated by the most loaded rank, but still distinguishes steps that leave the
load of that rank unchanged.
"""

from collections.abc import Iterator
from dataclasses import dataclass

LOAD_EXPONENT = 8
# Time of the slowest rank over the mean at which a layer counts as balanced.
TARGET_TIME = 1.06
# Candidates that are evaluated for each step.
MAX_EXPERTS_TRIED = 4
MAX_RECEIVERS_TRIED = 6
MAX_VICTIMS_TRIED = 3
# Cost, in copies, of a step that copies nothing: every rank still receives an order.
MIN_STEP_COPIES = 0.5
# Limit on the steps for one layer, for each rank of the group.
STEPS_PER_RANK = 3


@dataclass(slots=True, frozen=True)
class MapLimits:
    """Hold the limits of a rank's capacity and of a single change."""

    # Most experts of a layer that a rank can hold.
    places: int
    # Most experts of a layer that one change may add to a rank.
    spare: int
    # Most experts of all layers that one change may add to a rank.
    copies: int
    # Fraction by which a step must reduce the sum of powers for each of its copies.
    min_gain: float


@dataclass(slots=True, frozen=True)
class Replicate:
    """Add a replica of an expert to a rank, in place of victim unless it is None."""

    expert: int
    rank: int
    victim: int | None


@dataclass(slots=True, frozen=True)
class Exchange:
    """Swap an expert of one rank for an expert of another."""

    expert: int
    rank: int
    other_expert: int
    other_rank: int


class LayerRebalancer:
    """Rebalance the map of one layer; held is a list of the ranks' sets of experts.

    added_in_total counts the experts added to each rank in all layers, and is shared
    by the rebalancers of these layers. Times are relative to the mean of all ranks.
    """

    __slots__ = (
        "added_in_layer",
        "added_in_total",
        "done",
        "held",
        "hosts",
        "initial_held",
        "limits",
        "loads",
        "max_time",
        "mean_load",
        "steps_left",
        "time_powers",
        "times",
    )

    def __init__(self, held, loads, limits, added_in_total):
        self.initial_held = [frozenset(experts) for experts in held]
        self.held = [set(experts) for experts in held]
        self.loads = loads
        self.limits = limits
        self.added_in_total = added_in_total
        # Number of experts added to each rank in this layer.
        self.added_in_layer = [0] * len(held)
        self.done = False
        self.steps_left = STEPS_PER_RANK * len(held)
        self.hosts = [set() for _ in loads]
        for rank, experts in enumerate(held):
            for expert in experts:
                self.hosts[expert].add(rank)
        self.mean_load = sum(loads) / len(held) or 1.0
        self.times = [
            sum(self.load_per_host(expert) for expert in experts) / self.mean_load
            for experts in held
        ]
        self.time_powers = [time**LOAD_EXPONENT for time in self.times]
        self.max_time = max(self.times)

    def load_per_host(self, expert):
        """Return the load that an expert puts on each of its hosts."""
        return self.loads[expert] / len(self.hosts[expert])

    def take_step(self):
        """Apply the best step, or set done if no step is worth its copies."""
        step = (
            self.best_step()
            if self.steps_left and self.max_time > TARGET_TIME
            else None
        )
        if step is None:
            self.done = True
            return
        self.apply(step)
        self.steps_left -= 1

    # Steps

    def best_step(self) -> Replicate | Exchange | None:
        """Return the step with the highest gain per copy, or None if all are low."""
        best, best_gain = None, self.limits.min_gain * sum(self.time_powers)
        for gain, kind, arguments in self.candidates():
            if gain > best_gain:
                best, best_gain = (kind, arguments), gain
        if best is None:
            return None
        kind, arguments = best
        return kind(*arguments)

    def candidates(self) -> Iterator[tuple[float, type, tuple]]:
        """Yield (gain per copy, class of the step, its arguments) for steps to try."""
        lightest = sorted(range(len(self.times)), key=self.times.__getitem__)
        fullest_rank = self.times.index(self.max_time)
        receivers = [
            rank for rank in lightest[:MAX_RECEIVERS_TRIED] if rank != fullest_rank
        ]
        experts_by_load = sorted(
            self.held[fullest_rank], key=self.load_per_host, reverse=True
        )
        host_gains = [
            (expert, self.gain_at_hosts(expert))
            for expert in experts_by_load[:MAX_EXPERTS_TRIED]
        ]
        for rank in receivers:
            for expert, gain_at_hosts in host_gains:
                if expert not in self.held[rank]:
                    yield from self.replications(expert, rank, gain_at_hosts)
            yield from self.exchanges(experts_by_load, fullest_rank, rank)

    def replications(
        self, expert: int, rank: int, gain_at_hosts: float
    ) -> Iterator[tuple[float, type, tuple]]:
        """Yield the candidate steps that add a replica of an expert to a rank."""
        if not self.can_add(rank, expert):
            return
        copies = 1.0 if expert not in self.initial_held[rank] else MIN_STEP_COPIES
        if len(self.held[rank]) < self.limits.places:
            gain = gain_at_hosts + self.gain_at_receiver(expert, rank, 0.0)
            yield gain / copies, Replicate, (expert, rank, None)
            return
        victims = [each for each in self.held[rank] if len(self.hosts[each]) > 1]
        victims.sort(key=self.load_per_host)
        for victim in victims[:MAX_VICTIMS_TRIED]:
            gain = gain_at_hosts + self.gain_at_victim_hosts(victim, expert, rank)
            gain += self.gain_at_receiver(expert, rank, self.load_per_host(victim))
            yield gain / copies, Replicate, (expert, rank, victim)

    def exchanges(
        self, experts_by_load: list[int], fullest_rank: int, rank: int
    ) -> Iterator[tuple[float, type, tuple]]:
        """Yield the candidate exchanges between the most loaded rank and another."""
        for expert in experts_by_load:
            if expert in self.held[rank] or not self.can_add(rank, expert):
                continue
            load = self.load_per_host(expert)
            for other_expert in self.held[rank]:
                smaller = self.load_per_host(other_expert) < load
                if (
                    smaller
                    and other_expert not in self.held[fullest_rank]
                    and self.can_add(fullest_rank, other_expert)
                ):
                    moved = (load - self.load_per_host(other_expert)) / self.mean_load
                    gain = self.gain_from_change(
                        fullest_rank, -moved
                    ) + self.gain_from_change(rank, moved)
                    copies = (expert not in self.initial_held[rank]) + (
                        other_expert not in self.initial_held[fullest_rank]
                    )
                    arguments = (expert, fullest_rank, other_expert, rank)
                    yield gain / max(copies, MIN_STEP_COPIES), Exchange, arguments

    def can_add(self, rank, expert):
        """Return whether the limits of one change allow adding an expert to a rank."""
        if expert in self.initial_held[rank]:
            return True
        has_copies_left = self.added_in_total[rank] < self.limits.copies
        return has_copies_left and self.added_in_layer[rank] < self.limits.spare

    # Gains: reductions of the sum of powers of the ranks' times

    def gain_from_change(self, rank: int, change: float) -> float:
        """Return the gain from a change of one rank's time."""
        return self.time_powers[rank] - (self.times[rank] + change) ** LOAD_EXPONENT

    def gain_at_hosts(self, expert: int) -> float:
        """Return the gain at the hosts of an expert when another host is added."""
        decrease = self.decrease_per_host(expert)
        return sum(
            self.gain_from_change(host, -decrease) for host in self.hosts[expert]
        )

    def gain_at_receiver(self, expert: int, rank: int, freed: float) -> float:
        """Return the gain, usually negative, at a rank that is added as a host.

        freed is the load that the rank loses with the replaced expert.
        """
        added = self.loads[expert] / (len(self.hosts[expert]) + 1) - freed
        return self.gain_from_change(rank, added / self.mean_load)

    def gain_at_victim_hosts(self, victim: int, expert: int, rank: int) -> float:
        """Return the gain, always negative, at the victim's other hosts.

        The gain at hosts that also hold the expert is already part of gain_at_hosts()
        and is corrected here.
        """
        increase, decrease = (
            self.increase_per_host(victim),
            self.decrease_per_host(expert),
        )
        gain = 0.0
        for host in self.hosts[victim]:
            if host == rank:
                continue
            if host in self.hosts[expert]:
                gain += self.gain_from_change(host, increase - decrease)
                gain -= self.gain_from_change(host, -decrease)
            else:
                gain += self.gain_from_change(host, increase)
        return gain

    def decrease_per_host(self, expert: int) -> float:
        """Return by how much each host's time drops when another host is added."""
        hosts = len(self.hosts[expert])
        return self.loads[expert] / (hosts * (hosts + 1)) / self.mean_load

    def increase_per_host(self, expert: int) -> float:
        """Return by how much each other host's time rises when a host is removed."""
        hosts = len(self.hosts[expert])
        return self.loads[expert] / (hosts * (hosts - 1)) / self.mean_load

    def time_changes(self, step):
        """Return the changes of the ranks' times that a step makes, by rank."""
        time_changes = {}
        match step:
            case Exchange(expert, rank, other_expert, other_rank):
                moved = (
                    self.load_per_host(expert) - self.load_per_host(other_expert)
                ) / self.mean_load
                time_changes = {rank: -moved, other_rank: moved}
            case Replicate(expert, rank, victim):
                self.add_replica_changes(time_changes, expert, rank)
                if victim is not None:
                    self.remove_replica_changes(time_changes, victim, rank)
        return time_changes

    def add_replica_changes(self, time_changes, expert, rank):
        """Add the effect of an expert's new host to time_changes."""
        decrease = self.decrease_per_host(expert)
        added = self.loads[expert] / (len(self.hosts[expert]) + 1) / self.mean_load
        for host in self.hosts[expert]:
            time_changes[host] = time_changes.get(host, 0.0) - decrease
        time_changes[rank] = time_changes.get(rank, 0.0) + added

    def remove_replica_changes(self, time_changes, expert, rank):
        """Add the effect of removing an expert's host to time_changes."""
        removed = self.load_per_host(expert) / self.mean_load
        increase = self.increase_per_host(expert)
        for host in self.hosts[expert]:
            change = -removed if host == rank else increase
            time_changes[host] = time_changes.get(host, 0.0) + change

    def apply(self, step):
        """Change the map and the ranks' times by a step."""
        for rank, change in self.time_changes(step).items():
            self.times[rank] += change
            self.time_powers[rank] = self.times[rank] ** LOAD_EXPONENT
        self.max_time = max(self.times)
        match step:
            case Replicate(expert, rank, victim):
                self.add_host(expert, rank)
                if victim is not None:
                    self.remove_host(victim, rank)
            case Exchange(expert, rank, other_expert, other_rank):
                self.remove_host(expert, rank)
                self.remove_host(other_expert, other_rank)
                self.add_host(expert, other_rank)
                self.add_host(other_expert, rank)

    def add_host(self, expert, rank):
        self.held[rank].add(expert)
        self.hosts[expert].add(rank)
        self.count_added(expert, rank, 1)

    def remove_host(self, expert, rank):
        self.held[rank].discard(expert)
        self.hosts[expert].discard(rank)
        self.count_added(expert, rank, -1)

    def count_added(self, expert, rank, change):
        """Update the number of added experts if the expert is new to the rank."""
        if expert not in self.initial_held[rank]:
            self.added_in_layer[rank] += change
            self.added_in_total[rank] += change


class MapRebalancer:
    """Rebalance all layers of a map, each step in the layer with the slowest rank.

    A rank copies its new experts of all layers one after the other, and a change waits
    for the rank with the most copies, so a rank's copies are bounded over all layers.
    Rebalancing layer by layer would use up the copies before the last layer.
    """

    __slots__ = ("rebalancers",)

    def __init__(self, held, loads, limits):
        added_in_total = [0] * len(held[0])
        self.rebalancers = [
            LayerRebalancer(layer, layer_loads, limits, added_in_total)
            for layer, layer_loads in zip(held, loads, strict=True)
        ]

    @property
    def held(self):
        return [rebalancer.held for rebalancer in self.rebalancers]

    def run(self):
        """Take steps until all layers are balanced or no step is worth its copies."""
        while self.run_steps(STEPS_PER_RANK):
            pass

    def run_steps(self, steps):
        """Take up to the given number of steps; return whether more may follow."""
        for _ in range(steps):
            active = [
                rebalancer for rebalancer in self.rebalancers if not rebalancer.done
            ]
            if not active:
                return False
            max(active, key=lambda rebalancer: rebalancer.max_time).take_step()
        return True


def max_to_mean_load(held, loads):
    """Return the highest load of a rank in one layer divided by the mean load."""
    hosts = [0] * len(loads)
    for experts in held:
        for expert in experts:
            hosts[expert] += 1
    total = sum(loads)
    if not total:
        return 1.0
    times = [sum(loads[each] / hosts[each] for each in experts) for experts in held]
    return max(times) * len(held) / total


def skew(expert_map, loads):
    """Return the time of all layers divided by their time with balanced ranks."""
    weights = [sum(layer) for layer in loads]
    total = sum(weights)
    if not total:
        return 1.0
    times = (
        max_to_mean_load(held, layer) * weight
        for held, layer, weight in zip(expert_map, loads, weights, strict=True)
    )
    return sum(times) / total


def initial_map(experts, ranks, layers):
    """Return the map that a group starts with: experts dealt out in round-robin."""
    held = [set(range(rank, experts, ranks)) for rank in range(ranks)]
    return [[set(each) for each in held] for _ in range(layers)]
