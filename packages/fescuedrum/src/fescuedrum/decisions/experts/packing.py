"""Place a layer's experts on ranks from nothing: greedy filling.

Load pattern: a group starts, or its popularity has changed so much that mending the
old placement would move as much as a new one. Ranks are filled one after another to
the same time; an expert that doesn't fit in the rest of a rank is cut there and goes on
at the next, so that an expert gets as many replicas as it needs and no more. Ranks with
few slots go first, while hot experts are left to fill them alone. Where slots are too
few for so many cuts (about two or three a rank), equal replicas, largest first, come
out better; the better of both is taken.
"""

import bisect
import heapq

from fescuedrum.decisions.experts.placement import LayerMap, rank_times

# A whole expert this near to a rank's rest is taken uncut, to save a slot.
FIT_TOLERANCE = 0.02


class GreedyFill:
    """Hold the experts that are not wholly placed yet, smallest rest first."""

    __slots__ = ("cuts_left", "placed", "remaining")

    def __init__(self, loads, slots):
        self.remaining = sorted((load, expert) for expert, load in enumerate(loads))
        self.placed = {}
        # Cuts that the slots still allow.
        self.cuts_left = sum(slots) - len(loads)

    def pop(self, index):
        return self.remaining.pop(index)

    def add(self, rank, load, expert):
        self.placed.setdefault(expert, []).append((rank, load))

    def add_pieces(self, rank, slots, room):
        """Put up to as many pieces on a rank as it has slots."""
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
        """Return the index of the expert whose rest is nearest to the size."""
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
        index = self.nearest_index(room, rank)
        load, _ = self.remaining[index]
        fits = abs(load - room) <= FIT_TOLERANCE * room
        cut_from = bisect.bisect_left(self.remaining, (room,))
        if not fits and self.cuts_left > 0 and cut_from < len(self.remaining):
            # The largest is cut: it needs several ranks in any case.
            load, expert = self.pop(-1)
            self.add(rank, room, expert)
            self.cuts_left -= 1
            bisect.insort(self.remaining, (load - room, expert))
            return
        load, expert = self.pop(index)
        self.add(rank, load, expert)


def pack(loads, topology, layer):
    """Return a new placement of one layer, not yet balanced to the last token."""
    cut = pack_with_cuts(loads, topology, layer)
    equal = pack_equal_replicas(loads, topology, layer)
    return min(
        cut, equal, key=lambda each: max(rank_times(each, loads, topology.speeds))
    )


def pack_equal_replicas(loads, topology, layer):
    """Give the hottest experts replicas of equal shares; place the largest first."""
    slots = list(topology.slots[layer])
    pieces = cut_equal_pieces(loads, sum(slots), sum(1 for count in slots if count))
    waiting = [
        (0.0, -slots[rank], rank)
        for rank in fill_order(topology, topology.slots[layer])
    ]
    heapq.heapify(waiting)
    placed = {}
    for load, expert in pieces:
        here = {rank for rank, _ in placed.get(expert, ())}
        passed = []
        while waiting and waiting[0][-1] in here:
            passed.append(heapq.heappop(waiting))
        if waiting:
            time, _, rank = heapq.heappop(waiting)
            placed.setdefault(expert, []).append((rank, load))
            slots[rank] -= 1
            if slots[rank]:
                time += load / topology.speeds[rank]
                heapq.heappush(waiting, (time, -slots[rank], rank))
        for each in passed:
            heapq.heappush(waiting, each)
    return to_layer_map(placed, loads)


def cut_equal_pieces(loads, slots, ranks):
    """Cut the experts with the largest pieces until there is one for each slot."""
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
    """Fill one rank after another to the same time, cutting experts to fit."""
    slots = topology.slots[layer]
    total = sum(loads)
    per_speed = total / sum(topology.speeds)
    fill = GreedyFill(loads, slots)
    for rank in fill_order(topology, slots):
        fill.add_pieces(rank, slots[rank], per_speed * topology.speeds[rank])
    place_remaining(fill, topology, slots)
    return to_layer_map(fill.placed, loads)


def fill_order(topology, slots):
    """Order ranks by slots, and in turn from all domains among equals.

    An expert's replicas lie on ranks next to each other in this order, so the loss of a
    domain leaves the others.
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
    """Give what is left to the ranks with free slots and the least time."""
    used = [0] * topology.ranks
    tokens = [0.0] * topology.ranks
    for pieces in fill.placed.values():
        for rank, load in pieces:
            used[rank] += 1
            tokens[rank] += load
    free = [rank for rank in range(topology.ranks) if used[rank] < slots[rank]]
    while fill.remaining:
        load, expert = fill.pop(-1)
        here = {rank for rank, _ in fill.placed.get(expert, ())}
        open_ranks = [rank for rank in free if rank not in here]
        if not open_ranks:
            # Every free rank holds it already; balancing gives those the rest.
            continue
        rank = min(open_ranks, key=lambda each: tokens[each] / topology.speeds[each])
        fill.add(rank, load, expert)
        tokens[rank] += load
        used[rank] += 1
        if used[rank] == slots[rank]:
            free.remove(rank)


def to_layer_map(placed, loads):
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
    """Name the ranks of a new placement so that they keep what they hold now.

    Ranks with equal slots and speed stand in for each other; the pairs of new and old
    rank with the most experts in common go first.
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
    free = {}
    for rank, kind in enumerate(kinds):
        if rank not in taken:
            free.setdefault(kind, []).append(rank)
    for rank, kind in enumerate(kinds):
        if rank not in old_ranks:
            old_ranks[rank] = free[kind].pop()
