"""Place a layer's experts on ranks from scratch with greedy filling.

Load pattern: a group starts, or popularity has changed so much that improving the old
placement would move as many experts as a new one.

Ranks are filled one after another to the same time. An expert that does not fit into
the rest of a rank is cut, and its remainder is placed on the next rank, so an expert
gets no more replicas than it needs. Ranks with few slots are filled first, while there
are still hot experts that fill them alone. With only two or three slots per rank there
are too few for these cuts, and equal replicas, placed largest first, give a better
result. The better of both placements is used.
"""

import bisect
import heapq

from fescuedrum.decisions.experts.placement import LayerMap, rank_times

# An expert that fits a rank's free room within this tolerance is not cut; cuts use up
# slots.
FIT_TOLERANCE = 0.02


class GreedyFill:
    """Hold the pieces placed so far and the remaining loads, in ascending order."""

    __slots__ = ("cuts_left", "placed", "remaining")

    def __init__(self, loads, slots):
        self.remaining = sorted((load, expert) for expert, load in enumerate(loads))
        self.placed = {}
        # Cuts that the number of slots still allows.
        self.cuts_left = sum(slots) - len(loads)

    def pop(self, index):
        """Remove and return the remaining (load, expert) at an index."""
        return self.remaining.pop(index)

    def add(self, rank, load, expert):
        """Place a piece of an expert on a rank."""
        self.placed.setdefault(expert, []).append((rank, load))

    def add_pieces(self, rank, slots, room):
        """Add pieces to a rank until its slots or its room are used up."""
        while slots > 1 and self.remaining and room > 0:
            index = self.nearest_index(room / slots, rank)
            load, expert = self.pop(index)
            if load > room * (1 + FIT_TOLERANCE):
                self.remaining.insert(index, (load, expert))
                break
            self.add(rank, load, expert)
            room -= load
            slots -= 1
        if slots and self.remaining and room > 0:
            self.add_last_piece(rank, room)

    def nearest_index(self, size, rank):
        """Return the index of the expert whose remaining load is closest to size."""
        index = bisect.bisect_left(self.remaining, (size,))
        if index == len(self.remaining):
            return index - 1
        if (
            index
            and size - self.remaining[index - 1][0] < self.remaining[index][0] - size
        ):
            return index - 1
        return index

    def add_last_piece(self, rank, room):
        """Fill the last slot of a rank, cutting the largest expert if none fits."""
        index = self.nearest_index(room, rank)
        load, _ = self.remaining[index]
        fits = abs(load - room) <= FIT_TOLERANCE * room
        cut_from = bisect.bisect_left(self.remaining, (room,))
        if not fits and self.cuts_left > 0 and cut_from < len(self.remaining):
            # The largest expert is cut, because it needs several ranks in any case.
            load, expert = self.pop(-1)
            self.add(rank, room, expert)
            self.cuts_left -= 1
            bisect.insort(self.remaining, (load - room, expert))
            return
        load, expert = self.pop(index)
        self.add(rank, load, expert)


def pack(loads, topology, layer):
    """Return a new placement of one layer whose shares are not yet balanced."""
    cut = pack_with_cuts(loads, topology, layer)
    equal = pack_equal_replicas(loads, topology, layer)
    return min(
        cut, equal, key=lambda each: max(rank_times(each, loads, topology.speeds))
    )


def pack_equal_replicas(loads, topology, layer):
    """Return a placement in which all replicas of an expert have equal shares.

    The largest pieces are placed first, each on the least loaded rank.
    """
    slots = list(topology.slots[layer])
    pieces = cut_equal_pieces(loads, sum(slots), sum(1 for count in slots if count))
    ranks_by_time = [
        (0.0, -slots[rank], rank)
        for rank in fill_order(topology, topology.slots[layer])
    ]
    heapq.heapify(ranks_by_time)
    placed = {}
    for load, expert in pieces:
        hosts = {rank for rank, _ in placed.get(expert, ())}
        skipped = []
        while ranks_by_time and ranks_by_time[0][-1] in hosts:
            skipped.append(heapq.heappop(ranks_by_time))
        if ranks_by_time:
            time, _, rank = heapq.heappop(ranks_by_time)
            placed.setdefault(expert, []).append((rank, load))
            slots[rank] -= 1
            if slots[rank]:
                time += load / topology.speeds[rank]
                heapq.heappush(ranks_by_time, (time, -slots[rank], rank))
        for each in skipped:
            heapq.heappush(ranks_by_time, each)
    return to_layer_map(placed, loads)


def cut_equal_pieces(loads, slots, ranks):
    """Cut the experts with the largest pieces until there is a piece for each slot."""
    counts = [1] * len(loads)
    largest = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(largest)
    for _ in range(slots - len(loads)):
        _, expert = largest[0]
        if counts[expert] == ranks:
            break
        counts[expert] += 1
        piece = loads[expert] / counts[expert]
        heapq.heapreplace(largest, (-piece, expert))
    pieces = [
        (loads[expert] / count, expert)
        for expert, count in enumerate(counts)
        for _ in range(count)
    ]
    return sorted(pieces, reverse=True)


def pack_with_cuts(loads, topology, layer):
    """Return a placement that fills each rank to the same time, cutting experts."""
    slots = topology.slots[layer]
    total = sum(loads)
    per_speed = total / sum(topology.speeds)
    fill = GreedyFill(loads, slots)
    for rank in fill_order(topology, slots):
        fill.add_pieces(rank, slots[rank], per_speed * topology.speeds[rank])
    place_remaining(fill, topology, slots)
    return to_layer_map(fill.placed, loads)


def fill_order(topology, slots):
    """Return the ranks ordered by slots and, among equals, alternating between domains.

    The replicas of an expert are on consecutive ranks in this order, so they are in
    different domains, and the loss of one domain leaves the others.
    """
    seen = {}
    positions = []
    for rank in range(topology.ranks):
        if not slots[rank]:
            continue
        key = (slots[rank], topology.domains[rank])
        seen[key] = seen.get(key, 0) + 1
        positions.append((slots[rank], seen[key], topology.domains[rank], rank))
    return [position[-1] for position in sorted(positions)]


def place_remaining(fill, topology, slots):
    """Place each remaining expert on the least loaded rank with a free slot."""
    used = [0] * topology.ranks
    tokens = [0.0] * topology.ranks
    for pieces in fill.placed.values():
        for rank, load in pieces:
            used[rank] += 1
            tokens[rank] += load
    free = [rank for rank in range(topology.ranks) if used[rank] < slots[rank]]
    while fill.remaining:
        load, expert = fill.pop(-1)
        hosts = {rank for rank, _ in fill.placed.get(expert, ())}
        open_ranks = [rank for rank in free if rank not in hosts]
        if not open_ranks:
            # Every free rank holds it already; balancing gives them the remaining load.
            continue
        rank = min(open_ranks, key=lambda each: tokens[each] / topology.speeds[each])
        fill.add(rank, load, expert)
        tokens[rank] += load
        used[rank] += 1
        if used[rank] == slots[rank]:
            free.remove(rank)


def to_layer_map(placed, loads):
    """Return the LayerMap of placed pieces, merging pieces on the same rank."""
    hosts, shares = [], []
    for expert in range(len(loads)):
        merged = {}
        for rank, load in placed[expert]:
            merged[rank] = merged.get(rank, 0.0) + load
        total = sum(merged.values())
        hosts.append(list(merged))
        count = len(merged)
        shares.append(
            [part / total if total else 1 / count for part in merged.values()]
        )
    return LayerMap(hosts, shares)


def match_ranks(layer_map, current, topology, layer):
    """Renumber the ranks of a new placement so that they keep most of their experts.

    Ranks with equal slots and speed are interchangeable. Pairs of a new and an old rank
    are matched in the order of the number of experts that they have in common.
    """
    common = {}
    for expert, ranks in enumerate(layer_map.hosts):
        for new in ranks:
            for old in current.hosts[expert]:
                common[new, old] = common.get((new, old), 0) + 1
    kinds = list(zip(topology.slots[layer], topology.speeds, strict=True))
    old_ranks, taken = {}, set()
    for new, old in sorted(common, key=lambda pair: (-common[pair], pair)):
        if new not in old_ranks and old not in taken and kinds[new] == kinds[old]:
            old_ranks[new] = old
            taken.add(old)
    match_remaining_ranks(old_ranks, taken, kinds)
    hosts = [[old_ranks[rank] for rank in ranks] for ranks in layer_map.hosts]
    return LayerMap(hosts, [shares.copy() for shares in layer_map.shares])


def match_remaining_ranks(old_ranks, taken, kinds):
    """Match new ranks without an old rank to the old ones left, in place."""
    free = {}
    for rank, kind in enumerate(kinds):
        if rank not in taken:
            free.setdefault(kind, []).append(rank)
    for rank, kind in enumerate(kinds):
        if rank not in old_ranks:
            old_ranks[rank] = free[kind].pop()
