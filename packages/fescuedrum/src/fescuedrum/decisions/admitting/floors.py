"""Keep some service for ranks and organisations that would be refused entirely.

Load pattern: the most urgent rank alone asks for more than there is, or one
organisation does. Without a floor the others, or that organisation, would get nothing
for as long as this lasts.

A floor is a part of the share that is served of all requests. A part of the demand
itself would add up to more than there is when demand is several times the capacity, and
take the places of the more urgent.
"""

from collections.abc import Hashable
from random import Random

from fescuedrum.decisions.returning.retries import SlidingCount

# Least part of the share served of all requests.
LEAST_PART = 0.25
# What is added to it for the first rank after the most urgent, and half of it for each
# further one: some grants that are owed find no free place, and ranks keep their order.
ADDED_PART = 0.2
ORGANISATION_RANK = 2
WINDOW_SECONDS = 5.0


class ServedShare:
    """Count the requests of the last seconds and those of them that were served."""

    __slots__ = ("asked", "credit", "served")

    def __init__(self, credit: float = 0.0) -> None:
        self.asked = SlidingCount(WINDOW_SECONDS)
        self.served = SlidingCount(WINDOW_SECONDS)
        # Part of the next grant that has been saved up. At most one is: gateways that
        # are owed several at the same time would overload the group together.
        self.credit = credit

    def drop_old(self, now: float) -> None:
        """Drop counts from before the window."""
        self.asked.value(now)
        self.served.value(now)

    def value(self, now: float) -> float:
        """Return the share that was served; 1 without requests."""
        asked = self.asked.value(now)
        return self.served.value(now) / asked if asked else 1.0


class Floors:
    """Decide when a rank or an organisation is owed a grant."""

    __slots__ = ("by_key", "random", "total")

    def __init__(self, random: Random) -> None:
        # Gives gateways different first credits, so that they grant at other times.
        self.random = random
        self.total = ServedShare()
        self.by_key: dict[Hashable, ServedShare] = {}

    def share(self, key: Hashable) -> ServedShare:
        """Return the counts of a rank or an organisation."""
        if key not in self.by_key:
            self.by_key[key] = ServedShare(self.random.random())
        return self.by_key[key]

    def ask(self, key: Hashable, now: float) -> None:
        """Count a request."""
        share = self.share(key)
        share.credit = min(share.credit + self.part(key, now), 1.0)
        share.asked.add(now)
        self.total.asked.add(now)
        share.drop_old(now)
        self.total.drop_old(now)

    def serve(self, key: Hashable, now: float) -> None:
        """Count that a request is served."""
        share = self.share(key)
        share.served.add(now)
        share.credit = max(share.credit - 1.0, 0.0)
        self.total.served.add(now)

    def part(self, key: Hashable, now: float) -> float:
        """Return the part of the requests of a rank or an organisation that is owed."""
        rank = key if isinstance(key, int) else ORGANISATION_RANK
        added = ADDED_PART / 2 ** max(rank - 1, 0)
        return (LEAST_PART + added) * self.total.value(now)

    def owes(self, key: Hashable, now: float) -> bool:
        """Return whether a grant is owed."""
        share = self.share(key)
        return share.credit >= 1.0 and share.value(now) <= self.part(key, now)

    def owes_rank(self, rank: int, now: float) -> bool:
        """Return whether a rank is owed a grant that keeps the order of the ranks.

        It may not be served a larger share than the next more urgent rank.
        """
        more_urgent = (
            self.by_key[each]
            for each in range(rank - 1, -1, -1)
            if each in self.by_key and self.by_key[each].asked.value(now)
        )
        above = next(more_urgent, None)
        in_order = above is None or self.share(rank).value(now) <= above.value(now)
        return in_order and self.owes(rank, now)
