"""Let callers who have no further retry wait until a service that is down answers.

Load pattern: a group of engines is down for some seconds. Callers were told to return
as late as they may, and many return shortly before the group is back. Refused again,
they are lost, though a second more would have sufficed. So they wait at the gateway for
a short time, as callers give up a stream that shows nothing for two seconds.

One of them is sent to the service now and then to find out whether it answers. Then
they are released by urgency and deadline, at the rate of the gateway's part of the free
places; all at once they would take the places of new callers, who can be on time.
"""

import math
from dataclasses import dataclass, field

LONGEST_WAIT_SECONDS = 1.6
LONGEST_WAIT_SHARE = 0.5
PROBE_SECONDS = 0.2
RELEASE_SECONDS = 0.1
RELEASE_SHARE = 0.1
# One of so many released requests is the one with the earliest deadline, whatever its
# rank: with few free places the least urgent rank would get none of them.
FLOOR_EVERY = 4


def wait_end(arrived: float, now: float, deadline: float) -> float:
    """Return until when a caller that arrived at a time may wait.

    The limit counts from its arrival, as it is the caller's silence that is limited.
    """
    return min(
        arrived + LONGEST_WAIT_SECONDS, now + LONGEST_WAIT_SHARE * (deadline - now)
    )


@dataclass(slots=True, eq=False)
class Waiter:
    """One waiting request; times are loop time in seconds."""

    rank: int
    deadline: float
    since: float
    # End of its wait.
    until: float
    # Endpoints that it may still be sent to.
    attempts_left: int
    # Whether the retry budget had nothing left when it was last released. It goes after
    # the others, as those that were never sent need no budget.
    lacked_budget: bool = False


@dataclass(slots=True)
class WaitingRequests:
    """The requests that wait at one gateway for one service."""

    waiters: list[Waiter] = field(default_factory=list)
    is_answering: bool = False
    # Requests that may be released, as a fraction builds up from tick to tick.
    credit: float = 0.0
    released: int = 0
    # When a request of this gateway was last sent to the service.
    sent_at: float = float("-inf")

    def __len__(self) -> int:
        return len(self.waiters)

    def has_room(self, places: float) -> bool:
        """Return whether another may wait; places is this gateway's part of them."""
        return len(self.waiters) < max(places, 1.0)

    def add(self, waiter: Waiter) -> None:
        """Let a request wait."""
        self.waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """End the wait of a request, also if it was released before."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def record_sent(self, now: float) -> None:
        """Record that a request was sent to the service, waiting before or not."""
        self.sent_at = now

    def record_answer(self) -> None:
        """Record that the service answers; the first requests may go at once."""
        if not self.is_answering:
            self.is_answering = True
            self.credit = 1.0

    def record_refusal(self) -> None:
        """Record that the service is down, or down again."""
        self.is_answering = False
        self.credit = 0.0

    def due(self, now: float, free_places: float) -> list[Waiter]:
        """Remove and return the requests to send now; called every RELEASE_SECONDS.

        free_places is this gateway's part of the free places.
        """
        if self.is_answering:
            chosen = self.choose_released(free_places)
        else:
            chosen = self.choose_probe(now)
        for waiter in chosen:
            self.waiters.remove(waiter)
        return chosen

    def choose_released(self, free_places: float) -> list[Waiter]:
        """Return the most urgent requests, as many as the credit allows."""
        if not (math.isfinite(free_places) and free_places > 0):
            free_places = 0.0
        count = min(int(self.credit), len(self.waiters))
        self.credit += free_places * RELEASE_SHARE - count
        # Places that were free while nobody waited are not kept for later.
        self.credit = min(self.credit, max(free_places * RELEASE_SHARE, 1.0))
        by_urgency = sorted(
            self.waiters,
            key=lambda each: (each.lacked_budget, each.rank, each.deadline),
        )
        return [self.take_next(by_urgency) for _ in range(count)]

    def take_next(self, by_urgency: list[Waiter]) -> Waiter:
        """Remove and return the request that is released next."""
        self.released += 1
        if self.released % FLOOR_EVERY:
            return by_urgency.pop(0)
        earliest = min(by_urgency, key=lambda each: (each.lacked_budget, each.deadline))
        by_urgency.remove(earliest)
        return earliest

    def choose_probe(self, now: float) -> list[Waiter]:
        """Return the request that probes the service, or nothing.

        Any request that was sent to the service lately has shown whether it answers. A
        request with one attempt left keeps it until its wait is nearly over: refused
        as a probe, it could not be sent when the service is back.
        """
        if not self.waiters or now - self.sent_at < PROBE_SECONDS:
            return []
        spare = [each for each in self.waiters if each.attempts_left > 1]
        ending = [each for each in self.waiters if each.until - now <= PROBE_SECONDS]
        candidates = spare or ending
        if not candidates:
            return []
        self.sent_at = now
        return [
            min(
                candidates,
                key=lambda each: (each.lacked_budget, each.rank, each.since),
            )
        ]
