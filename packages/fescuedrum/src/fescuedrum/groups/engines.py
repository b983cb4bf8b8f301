"""Define what a group's engines tell of themselves and the orders that they take."""

import enum
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class RankReport:
    """Hold what one rank of a group says of itself."""

    group: str
    # Life of the group: all that ranks hold is gone in another.
    epoch: int
    rank: int
    ranks: int
    # Whether the group takes requests.
    is_open: bool
    # The last pass that was begun.
    step: int
    map_version: int
    # Version whose experts have all been copied; None when there is none.
    prepared_version: int | None
    # Version to which the rank will switch at some pass; None when it is not armed.
    armed_version: int | None
    # Pass that the group does not begin before it is released; None when there is none.
    held_step: int | None


@dataclass(slots=True, frozen=True)
class RankCounts:
    """Count how often a rank's requests chose each expert since the rank started."""

    epoch: int
    step: int
    # Experts of the first layer, then those of the second, and so on.
    counts: list[int]


@dataclass(slots=True, frozen=True)
class RankMap:
    """Hold the part of the map in force that lies on one rank."""

    epoch: int
    version: int
    # held[layer]: the experts of this rank.
    held: list[list[int]]


@dataclass(slots=True, frozen=True)
class PrepareMap:
    """Copy the experts that a map newly gives the rank; binds nothing."""

    version: int
    # held[layer][rank]: the experts of a rank.
    held: list[list[list[int]]]


@dataclass(slots=True, frozen=True)
class ArmMap:
    """Switch to a prepared map as a pass begins."""

    version: int
    step: int


@dataclass(slots=True, frozen=True)
class DisarmMap:
    """Take an arming back."""

    version: int


@dataclass(slots=True, frozen=True)
class HoldPass:
    """Keep the group from beginning a pass until it is released; does not expire."""

    step: int


@dataclass(slots=True, frozen=True)
class ReleasePass:
    """Let a held pass begin."""

    step: int


Order = PrepareMap | ArmMap | DisarmMap | HoldPass | ReleasePass


class OrderResult(enum.StrEnum):
    """Say what became of an order."""

    # Begun, or already so.
    ACCEPTED = "taken"
    # Not done and never will be: it does not fit the rank's state.
    REFUSED = "refused"
    # Done, not done, or done some seconds later.
    UNANSWERED = "unanswered"


class EngineClient(Protocol):
    """Reach engines as ranks of a group; an address is a (host, port)."""

    async def read_report(self, address: tuple[str, int]) -> RankReport | None:
        """Return what a rank says of itself; None when it gives no usable answer."""
        ...

    async def read_counts(self, address: tuple[str, int]) -> RankCounts | None:
        """Return a rank's counts; None when it gives no usable answer."""
        ...

    async def read_map(self, address: tuple[str, int]) -> RankMap | None:
        """Return what a rank holds; None when it gives no usable answer."""
        ...

    async def send_order(
        self, address: tuple[str, int], epoch: int, order: Order
    ) -> OrderResult: ...
