"""Mend a map whose replicas share an expert's tokens evenly, with few copies.

Load pattern: which experts are in demand changes every few seconds, at once and by
half. A layer lasts as long as its fullest rank, so a hot expert on one rank makes every
pass of the group three times as long. Copies of experts take a tenth of a second each
and slow the group down while they come, and a rank takes a bounded number of new ones
at a time. A new placement from nothing would copy most of the weights, and would be
ready when demand has moved on; a few replicas of the hottest experts give most of the
gain within a fraction of a second.

The map is mended by single steps, each the best for its copies: give the lightest ranks
a replica of an expert of the fullest rank, in a free place or in that of a replica that
others hold as well, or let two ranks exchange an expert. A step is judged by the sum of
a high power of the ranks' loads, which follows the fullest rank and still tells apart
steps that leave it as it is.
"""

from collections.abc import Iterator
from dataclasses import dataclass

LOAD_EXPONENT = 8
TARGET_TIME = 1.06
MAX_EXPERTS_TRIED = 4
MAX_RECEIVERS_TRIED = 6
MAX_VICTIMS_TRIED = 3
# Copies that a step without one counts for: it is an order to every rank all the same.
MIN_STEP_COPIES = 0.5
# No layer needs more steps than this many for each rank.
STEPS_PER_RANK = 3


@dataclass(slots=True, frozen=True)
class MapLimits:
    """Bound what a rank can hold and what one change may bring."""

    # Experts that a rank has room for in a layer.
    places: int
    # Experts new to a rank that one change may bring in a layer.
    spare: int
    # Experts new to a rank that one change may bring in all layers.
    copies: int
    # Part of the sum of powers that a step must take off for each of its copies.
    min_gain: float


@dataclass(slots=True, frozen=True)
class Replicate:
    """Give a rank a replica, in the place of another expert or in a free one."""

    expert: int
    rank: int
    victim: int | None


@dataclass(slots=True, frozen=True)
class Exchange:
    """Let two ranks exchange an expert each."""

    expert: int
    rank: int
    other_expert: int
    other_rank: int


class LayerRebalancer:
    """Mend one layer's map; held is a set of experts for each rank.

    copied counts for each rank the experts that are new to it, in all layers.
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
        # Experts that are new to a rank in this layer.
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
        # Their powers, and the fullest rank's time over the mean.
        self.time_powers = [time**LOAD_EXPONENT for time in self.times]
        self.max_time = max(self.times)

    def load_per_host(self, expert):
        """Return the load that each host of an expert has of it."""
        return self.loads[expert] / len(self.hosts[expert])

    def take_step(self):
        """Take the best step; the layer is done when none is worth its copies."""
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
        best, best_gain = None, self.limits.min_gain * sum(self.time_powers)
        for gain, kind, arguments in self.candidates():
            if gain > best_gain:
                best, best_gain = (kind, arguments), gain
        if best is None:
            return None
        kind, arguments = best
        return kind(*arguments)

    def candidates(self) -> Iterator[tuple[float, type, tuple]]:
        """Yield (gain for each copy, kind of step, its fields) of steps to try."""
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
        if not self.can_add(rank, expert):
            return
        copies = 1.0 if expert not in self.initial_held[rank] else MIN_STEP_COPIES
        if len(self.held[rank]) < self.limits.places:
            gain = gain_at_hosts + self.gain_at_receiver(expert, rank, 0.0)
            yield gain / copies, Replicate, (expert, rank, None)
            return
        spare = [each for each in self.held[rank] if len(self.hosts[each]) > 1]
        spare.sort(key=self.load_per_host)
        for victim in spare[:MAX_VICTIMS_TRIED]:
            gain = gain_at_hosts + self.gain_at_victim_hosts(victim, expert, rank)
            gain += self.gain_at_receiver(expert, rank, self.load_per_host(victim))
            yield gain / copies, Replicate, (expert, rank, victim)

    def exchanges(
        self, experts_by_load: list[int], fullest_rank: int, rank: int
    ) -> Iterator[tuple[float, type, tuple]]:
        for expert in experts_by_load:
            if expert in self.held[rank] or not self.can_add(rank, expert):
                continue
            piece = self.load_per_host(expert)
            for other_expert in self.held[rank]:
                smaller = self.load_per_host(other_expert) < piece
                if (
                    smaller
                    and other_expert not in self.held[fullest_rank]
                    and self.can_add(fullest_rank, other_expert)
                ):
                    moved = (piece - self.load_per_host(other_expert)) / self.mean_load
                    gain = self.gain_from_change(
                        fullest_rank, -moved
                    ) + self.gain_from_change(rank, moved)
                    copies = (expert not in self.initial_held[rank]) + (
                        other_expert not in self.initial_held[fullest_rank]
                    )
                    arguments = (expert, fullest_rank, other_expert, rank)
                    yield gain / max(copies, MIN_STEP_COPIES), Exchange, arguments

    def can_add(self, rank, expert):
        """Tell whether a rank may get an expert within one change."""
        if expert in self.initial_held[rank]:
            return True
        room = self.added_in_total[rank] < self.limits.copies
        return room and self.added_in_layer[rank] < self.limits.spare

    # Gains: by how much a step lowers the sum of powers

    def gain_from_change(self, rank: int, change: float) -> float:
        """Return the gain when one rank's time changes."""
        return self.time_powers[rank] - (self.times[rank] + change) ** LOAD_EXPONENT

    def gain_at_hosts(self, expert: int) -> float:
        """Return the gain at an expert's hosts when one more joins them."""
        decrease_per_host = self.decrease_per_host(expert)
        return sum(
            self.gain_from_change(host, -decrease_per_host)
            for host in self.hosts[expert]
        )

    def gain_at_receiver(self, expert: int, rank: int, freed: float) -> float:
        """Return the gain, mostly a loss, at the rank that joins an expert's hosts."""
        taken = self.loads[expert] / (len(self.hosts[expert]) + 1) - freed
        return self.gain_from_change(rank, taken / self.mean_load)

    def gain_at_victim_hosts(self, victim: int, expert: int, rank: int) -> float:
        """Return the gain, a loss, at the victim's other hosts.

        Those that also hold the expert have been counted with its relief.
        """
        increase_per_host, decrease_per_host = (
            self.increase_per_host(victim),
            self.decrease_per_host(expert),
        )
        gain = 0.0
        for host in self.hosts[victim]:
            if host == rank:
                continue
            if host in self.hosts[expert]:
                gain += self.gain_from_change(
                    host, increase_per_host - decrease_per_host
                )
                gain -= self.gain_from_change(host, -decrease_per_host)
            else:
                gain += self.gain_from_change(host, increase_per_host)
        return gain

    def decrease_per_host(self, expert: int) -> float:
        """Return what each host of an expert is spared when one more joins."""
        hosts = len(self.hosts[expert])
        return self.loads[expert] / (hosts * (hosts + 1)) / self.mean_load

    def increase_per_host(self, expert: int) -> float:
        """Return what each other host of an expert gets when one leaves."""
        hosts = len(self.hosts[expert])
        return self.loads[expert] / (hosts * (hosts - 1)) / self.mean_load

    def time_changes(self, step):
        """Return by how much a step changes the ranks' times."""
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
        decrease_per_host = self.decrease_per_host(expert)
        piece = self.loads[expert] / (len(self.hosts[expert]) + 1) / self.mean_load
        for host in self.hosts[expert]:
            time_changes[host] = time_changes.get(host, 0.0) - decrease_per_host
        time_changes[rank] = time_changes.get(rank, 0.0) + piece

    def remove_replica_changes(self, time_changes, expert, rank):
        piece = self.load_per_host(expert) / self.mean_load
        increase_per_host = self.increase_per_host(expert)
        for host in self.hosts[expert]:
            change = -piece if host == rank else increase_per_host
            time_changes[host] = time_changes.get(host, 0.0) + change

    def apply(self, step):
        for rank, change in self.time_changes(step).items():
            self.times[rank] += change
            self.time_powers[rank] = self.times[rank] ** LOAD_EXPONENT
        self.max_time = max(self.times)
        match step:
            case Replicate(expert, rank, victim):
                self.place(expert, rank)
                if victim is not None:
                    self.remove(victim, rank)
            case Exchange(expert, rank, other_expert, other_rank):
                self.remove(expert, rank)
                self.remove(other_expert, other_rank)
                self.place(expert, other_rank)
                self.place(other_expert, rank)

    def place(self, expert, rank):
        self.held[rank].add(expert)
        self.hosts[expert].add(rank)
        self.count(expert, rank, 1)

    def remove(self, expert, rank):
        self.held[rank].discard(expert)
        self.hosts[expert].discard(rank)
        self.count(expert, rank, -1)

    def count(self, expert, rank, change):
        if expert not in self.initial_held[rank]:
            self.added_in_layer[rank] += change
            self.added_in_total[rank] += change


class MapRebalancer:
    """Mend the layers of a map, a step at a time where most time is lost.

    A rank copies the experts of all layers one by one, and the change waits for the
    rank with most copies: so a rank's copies are bounded over all layers. Layers mended
    one after the other would leave none of them for the last.
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
        """Mend until all layers are even or no step is worth its copies."""
        while self.run_steps(STEPS_PER_RANK):
            pass

    def run_steps(self, steps):
        """Take up to so many steps; tell whether there may be more."""
        for _ in range(steps):
            active = [
                rebalancer for rebalancer in self.rebalancers if not rebalancer.done
            ]
            if not active:
                return False
            max(active, key=lambda rebalancer: rebalancer.max_time).take_step()
        return True


def max_to_mean_load(held, loads):
    """Return the fullest rank's load of a layer over the mean rank's."""
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
    """Return the time of all layers over that with even ranks."""
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
    """Return the map that a group starts with: experts in turn."""
    held = [set(range(rank, experts, ranks)) for rank in range(ranks)]
    return [[set(each) for each in held] for _ in range(layers)]
