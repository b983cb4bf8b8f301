"""Bound the tokens held at an engine and the bytes held in a gateway.

Load pattern: some requests are larger than an engine's memory, or several large ones
meet at one engine. It then runs none of them well, and those behind them wait. So
senders sum the tokens that their requests hold at an engine or may still generate, and
an engine that a request would overfill is full for it.

Counts of other senders arrive late, and requests that several of them send at the same
moment would exceed the bound. So senders leave room for what the others may have sent
meanwhile; that room is filled by one designated sender for each engine.

Load pattern: callers or endpoints read or write slowly, and a thousand of them at once
fill the memory of the gateway; the process ends, and with it the streams of all
callers. So bodies that arrive slowly are refused and streams that are read slowly are
ended before that, those that hold the most bytes first.
"""

import collections
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

# Fraction of an engine's capacity that requests may hold.
CAPACITY_SHARE = 0.9
# Window in which this sender's requests are counted, to estimate those of the others.
DEMAND_WINDOW_SECONDS = 5.0
# Shortest time over which a rate is measured after a pause.
MINIMUM_DEMAND_SECONDS = 0.5
# Standard deviations by which more requests than expected may be unseen.
DEVIATIONS = 3.0
# Factor on the caller's estimate of the answer's length, which is often too low.
ESTIMATE_FACTOR = 1.5
# Fraction of the machine's memory for bytes held for callers.
MACHINE_SHARE = 0.4
# Fraction of the bound below which every body is accepted.
ACCEPT_SHARE = 0.8
MEGABYTE = 1024 * 1024
# Bodies of ordinary requests, which are accepted up to the bound.
SMALL_BODY_BYTES = 64 * 1024
# Ending a holder of fewer bytes costs a caller more than it frees.
WORTH_ENDING_BYTES = 16 * 1024


def count_tokens(prompt: int, maximum: int, expected: int) -> int:
    """Return how many tokens a request holds or may still generate.

    maximum and expected are 0 if the caller does not state them.
    """
    estimate = math.ceil(expected * ESTIMATE_FACTOR)
    if expected and (not maximum or estimate < maximum):
        return prompt + estimate
    return prompt + maximum


def token_bound(capacity: int) -> int:
    """Return how many tokens requests may hold at an engine of this capacity."""
    return int(capacity * CAPACITY_SHARE)


def is_too_large(tokens: int, capacity: int) -> bool:
    """Return whether a request fits into no engine; False if capacity is 0."""
    return capacity > 0 and tokens > token_bound(capacity)


class TokenDemand:
    """Estimate the tokens sent by other senders that this one does not know of yet.

    The others are assumed to send as much as this sender does.
    """

    __slots__ = ("sent", "total")

    def __init__(self) -> None:
        # (time, tokens) of the requests of this sender within the window.
        self.sent: collections.deque[tuple[float, int]] = collections.deque()
        self.total = 0

    def add(self, tokens: int, now: float) -> None:
        """Count a request of this sender."""
        self.sent.append((now, tokens))
        self.total += tokens
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop the requests that are older than the window."""
        while self.sent and self.sent[0][0] <= now - DEMAND_WINDOW_SECONDS:
            self.total -= self.sent.popleft()[1]

    def unseen(self, now: float, senders: int, delay: float) -> float:
        """Return the tokens that may be unseen at an engine.

        delay is how late other senders' counts arrive, in seconds. Until then all of
        them may choose the same engine, as it is the least loaded one.
        """
        self.expire(now)
        if not self.sent or senders <= 1:
            return 0.0
        seconds = max(now - self.sent[0][0], MINIMUM_DEMAND_SECONDS)
        requests = (senders - 1) * len(self.sent) / seconds * delay
        mean = self.total / len(self.sent)
        return mean * (requests + DEVIATIONS * math.sqrt(requests))


def select_with_room(
    options: list,
    tokens: int,
    capacity: int,
    unseen: float,
    is_designated: Callable[[object], bool],
) -> list:
    """Return the options whose engines have memory for a request; all if it is unknown.

    capacity is that of an engine, 0 if unknown; unseen is how many tokens of others may
    be unseen there. is_designated returns whether this sender may fill up an endpoint.
    """
    if capacity <= 0:
        return options
    bound = token_bound(capacity)
    free_for_all = bound - tokens - unseen
    return [
        each
        for each in options
        if each.load.tokens <= free_for_all
        or (each.load.tokens + tokens <= bound and is_designated(each.endpoint))
    ]


@dataclass(slots=True, frozen=True)
class MemoryBound:
    """Hold the bound on the bytes held for callers; 0 sets none."""

    total: int

    @classmethod
    def of_machine(cls, megabytes: int) -> "MemoryBound":
        """Return the bound for a machine with this memory; 0 if it is unknown."""
        return cls(int(megabytes * MEGABYTE * MACHINE_SHARE))

    @property
    def low(self) -> int:
        """Return from how many held bytes on memory is low."""
        return int(self.total * ACCEPT_SHARE)

    def is_low(self, held: int) -> bool:
        """Return whether bodies other than small ones have to wait."""
        return self.total > 0 and held >= self.low

    def is_reached(self, held: int) -> bool:
        """Return whether nothing more may be held."""
        return self.total > 0 and held >= self.total

    def accepts(self, held: int, announced: int | None) -> bool:
        """Return whether a body may be read; announced is its length, if known."""
        if is_small(announced):
            return not self.is_reached(held)
        return not self.is_low(held)


def is_small(announced: int | None) -> bool:
    """Return whether a body of this length is small; False if it is unknown."""
    return announced is not None and announced <= SMALL_BODY_BYTES


def choose_to_end(holders: Iterable, excess: int) -> list:
    """Return the holders whose end frees excess bytes, most bytes first.

    A holder has a size in bytes. Fewer are returned if the rest is not worth ending.
    """
    chosen = []
    for holder in sorted(holders, key=lambda each: each.size, reverse=True):
        if excess <= 0 or holder.size < WORTH_ENDING_BYTES:
            break
        chosen.append(holder)
        excess -= holder.size
    return chosen
