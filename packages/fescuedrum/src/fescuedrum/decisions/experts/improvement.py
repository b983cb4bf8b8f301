"""Improve a placement by single moves, those with the most gain per fetch first.

Load pattern: drift leaves a few ranks so busy that no change of the shares is enough.
Planning from scratch would move most weights, although a few well-chosen moves are
usually sufficient. A move either gives an idle rank a replica of an expert of the
busiest rank, in a free slot or in place of an expert that has other replicas, or lets
two ranks exchange an expert.
"""

from dataclasses import dataclass

from fescuedrum.decisions.experts import split

# Least loaded ranks that are tried as targets; trying more found no better moves.
MAX_TARGET_RANKS = 12
# Busiest ranks that are tried as sources, one after another. Ranks that share experts
# are equally busy, and often only one of them has an expert that can be moved.
MAX_SOURCE_RANKS = 6
# Number of estimated moves of a source rank that are evaluated exactly.
MAX_TRIALS = 6
# Sweeps over the affected experts in a trial, and over all experts after a success.
TRIAL_SWEEPS = 2
MOVE_SWEEPS = 2
# Above this multiple of the ideal time, replica counts are corrected before the search.
COUNT_CORRECTION_RATIO = 1.5
# Fraction by which a move must reduce the sum of squares to be worth its fetches.
MIN_GAIN = 1e-5


@dataclass(slots=True, frozen=True)
class Replicate:
    """Add a replica of an expert to a rank, in place of victim unless it is None."""

    expert: int
    rank: int
    victim: int | None
    fetches: int = 1


@dataclass(slots=True, frozen=True)
class Exchange:
    """Swap an expert of one rank for an expert of another."""

    expert: int
    rank: int
    other_expert: int
    other_rank: int
    fetches: int = 2


@dataclass(slots=True, frozen=True)
class Estimate:
    """Hold a move and its estimated gain per fetch."""

    gain: float
    move: Replicate | Exchange


class Improver:
    """Improve the placement of one layer."""

    __slots__ = ("held", "layer_map", "loads", "slots", "speeds", "times")

    def __init__(self, layer_map, loads, speeds, slots):
        self.layer_map = layer_map
        self.loads = loads
        self.speeds = speeds
        self.slots = slots
        self.times = split.balance_shares(layer_map, loads, speeds)
        self.held = self.tokens_by_rank()

    def tokens_by_rank(self):
        """Return for each rank a dict of its experts and their tokens on it."""
        held = [{} for _ in self.speeds]
        for expert, ranks in enumerate(self.layer_map.hosts):
            for rank, share in zip(ranks, self.layer_map.shares[expert], strict=True):
                held[rank][expert] = share * self.loads[expert]
        return held

    def run(self, target, moves):
        """Make moves until the slowest rank takes at most target times the ideal time.

        Stop earlier when no move helps or when the given number of experts has been
        fetched. Return how many experts must be fetched.
        """
        ideal = sum(self.loads) / sum(self.speeds)
        fetched = 0
        if max(self.times) > COUNT_CORRECTION_RATIO * ideal:
            fetched = self.correct_replica_counts(ideal, moves)
        while fetched < moves and max(self.times) > target * ideal:
            more = self.make_best_move()
            if not more:
                break
            fetched += more
        if fetched:
            self.times = split.balance_shares(self.layer_map, self.loads, self.speeds)
        return fetched

    def correct_replica_counts(self, ideal, moves):
        """Give slots of experts with too many replicas to experts with too few.

        After a shift in a large group, a hot expert lacks dozens of replicas. Which
        experts have too few or too many is known without a search, and searching for
        single moves would take longer than a second.
        """
        hosts = self.layer_map.hosts
        wanted = [max(1, round(load / ideal)) for load in self.loads]
        surplus = [len(ranks) - want for ranks, want in zip(hosts, wanted, strict=True)]
        fetched = 0
        while fetched < moves:
            lacking_expert = min(range(len(surplus)), key=surplus.__getitem__)
            surplus_expert = max(range(len(surplus)), key=surplus.__getitem__)
            free = [
                rank
                for rank in hosts[surplus_expert]
                if rank not in hosts[lacking_expert]
            ]
            if surplus[lacking_expert] > -2 or surplus[surplus_expert] <= 0 or not free:
                break
            rank = min(free, key=lambda each: len(self.held[each]))
            apply_move(Replicate(lacking_expert, rank, surplus_expert), self.layer_map)
            surplus[lacking_expert] += 1
            surplus[surplus_expert] -= 1
            fetched += 1
        self.times = split.balance_shares(self.layer_map, self.loads, self.speeds)
        self.held = self.tokens_by_rank()
        return fetched

    def make_best_move(self):
        """Make the first moves that help; return the number of fetches, 0 if none."""
        live_ranks = [rank for rank, speed in enumerate(self.speeds) if speed]
        live_ranks.sort(key=self.times.__getitem__)
        for source_rank in reversed(live_ranks[-MAX_SOURCE_RANKS:]):
            fetches = self.try_source_rank(source_rank, live_ranks[:MAX_TARGET_RANKS])
            if fetches:
                return fetches
        return 0

    def try_source_rank(self, source_rank, target_ranks):
        """Make the best moves from a rank; return the number of fetches, 0 if none."""
        found = self.estimate_moves(source_rank, target_ranks)
        estimates = sorted(found, key=lambda each: -each.gain)
        before = self.sum_of_squares(self.times)
        for index in range(min(MAX_TRIALS, len(estimates))):
            moves = self.combine_replications(estimates[index:])
            changed = self.layer_map.copy()
            for move in moves:
                apply_move(move, changed)
            times = split.balance_shares(
                changed,
                self.loads,
                self.speeds,
                sweeps=TRIAL_SWEEPS,
                experts=sorted(
                    {expert for move in moves for expert in affected_experts(move)}
                ),
            )
            if self.sum_of_squares(times) < before * (1 - MIN_GAIN):
                self.layer_map = changed
                self.times = split.balance_shares(
                    changed, self.loads, self.speeds, sweeps=MOVE_SWEEPS
                )
                self.held = self.tokens_by_rank()
                return sum(move.fetches for move in moves)
        return 0

    def combine_replications(self, estimates):
        """Return the first move and, if its expert needs them, more replications.

        After a shift in a large group, a hot expert lacks dozens of replicas. Adding
        them one at a time would take seconds.
        """
        first = estimates[0].move
        if isinstance(first, Exchange):
            return [first]
        ideal = sum(self.loads) / sum(self.speeds)
        hosts = self.layer_map.hosts[first.expert]
        missing = int(self.loads[first.expert] / ideal) - len(hosts)
        moves, ranks, victims = [first], {first.rank}, {first.victim}
        for estimate in estimates[1:]:
            move = estimate.move
            if len(moves) >= missing:
                break
            same = isinstance(move, Replicate) and move.expert == first.expert
            if same and move.rank not in ranks and move.victim not in victims:
                moves.append(move)
                ranks.add(move.rank)
                victims.add(move.victim)
        return moves

    def sum_of_squares(self, times):
        """Return the sum of the squares of the ranks' times, weighted by speed."""
        return sum(
            time * time * speed for time, speed in zip(times, self.speeds, strict=True)
        )

    def estimate_moves(self, source_rank, target_ranks):
        """Yield Estimates of the moves from a rank to the target ranks."""
        for expert, tokens in self.held[source_rank].items():
            for rank in target_ranks:
                if rank != source_rank and expert not in self.held[rank]:
                    yield from self.replications(expert, rank)
                    yield from self.exchanges(expert, source_rank, tokens, rank)

    def replications(self, expert, rank):
        """Yield Estimates of the moves that add a replica of an expert to a rank."""
        if len(self.held[rank]) < self.slots[rank]:
            gain = self.replication_gain(expert, rank, 0.0)
            yield Estimate(gain, Replicate(expert, rank, None))
        for victim, tokens in self.held[rank].items():
            hosts = self.layer_map.hosts[victim]
            if len(hosts) < 2:
                continue
            gain = self.replication_gain(expert, rank, tokens)
            gain -= self.eviction_loss(hosts, rank, tokens)
            if gain > 0:
                yield Estimate(gain, Replicate(expert, rank, victim))

    def replication_gain(self, expert, rank, freed):
        """Estimate the gain from adding a rank to an expert's hosts.

        The estimate assumes that the hosts and the added rank reach the same time.
        freed is the number of tokens that the rank loses with the replaced expert.
        """
        hosts = self.layer_map.hosts[expert]
        speed = sum(self.speeds[host] for host in hosts)
        tokens = sum(self.times[host] * self.speeds[host] for host in hosts)
        rank_tokens = self.times[rank] * self.speeds[rank] - freed
        total_speed = speed + self.speeds[rank]
        before = tokens * tokens / speed + self.square_term(rank, rank_tokens + freed)
        # The replica can't take more tokens than the expert has.
        taken = min(
            self.loads[expert], tokens - speed * (tokens + rank_tokens) / total_speed
        )
        after = (tokens - taken) ** 2 / speed + self.square_term(
            rank, rank_tokens + taken
        )
        return before - after

    def eviction_loss(self, hosts, rank, tokens):
        """Estimate the loss when the victim's other hosts take over its tokens."""
        others = [host for host in hosts if host != rank]
        part = tokens / len(others)
        return sum(
            self.square_term(host, self.times[host] * self.speeds[host] + part)
            - self.square_term(host, self.times[host] * self.speeds[host])
            for host in others
        )

    def exchanges(self, expert, source_rank, tokens, rank):
        """Yield Estimates of exchanges of an expert for experts of another rank."""
        source_tokens = self.times[source_rank] * self.speeds[source_rank]
        target_tokens = self.times[rank] * self.speeds[rank]
        before = self.square_term(source_rank, source_tokens) + self.square_term(
            rank, target_tokens
        )
        for other_expert, other_tokens in self.held[rank].items():
            if other_expert in self.held[source_rank]:
                continue
            moved = tokens - other_tokens
            after = self.square_term(
                source_rank, source_tokens - moved
            ) + self.square_term(rank, target_tokens + moved)
            gain = (before - after) / 2
            if gain > 0:
                yield Estimate(gain, Exchange(expert, source_rank, other_expert, rank))

    def square_term(self, rank, tokens):
        """Return a rank's term of sum_of_squares()."""
        return tokens * tokens / self.speeds[rank]


def apply_move(move, layer_map):
    """Apply a move to a map; a new replica starts with a share of 0."""
    match move:
        case Replicate(expert, rank, victim):
            if victim is not None:
                remove_host(layer_map, victim, rank)
            layer_map.hosts[expert].append(rank)
            layer_map.shares[expert].append(0.0)
        case Exchange(expert, rank, other_expert, other_rank):
            replace_host(layer_map, expert, rank, other_rank)
            replace_host(layer_map, other_expert, other_rank, rank)


def affected_experts(move):
    """Return the experts whose hosts a move changes."""
    match move:
        case Replicate(expert, _, victim):
            return [expert] if victim is None else [expert, victim]
        case Exchange(expert, _, other_expert, _):
            return [expert, other_expert]


def remove_host(layer_map, expert, rank):
    """Remove an expert from a rank and divide its share equally among other hosts."""
    index = layer_map.hosts[expert].index(rank)
    layer_map.hosts[expert].pop(index)
    share = layer_map.shares[expert].pop(index)
    count = len(layer_map.shares[expert])
    layer_map.shares[expert] = [
        each + share / count for each in layer_map.shares[expert]
    ]


def replace_host(layer_map, expert, rank, new_rank):
    hosts = layer_map.hosts[expert]
    hosts[hosts.index(rank)] = new_rank
