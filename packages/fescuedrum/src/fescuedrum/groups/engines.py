"""Define the reports of a group's engines and the orders that they accept."""

import enum
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class RankReport:
    """Hold the state that one rank of a group reports."""

    group: str
    # Number of the group's current run; ranks lose their state when it changes.
    epoch: int
    rank: int
    ranks: int
    # Whether the group takes requests.
    is_open: bool
    # The last pass that has begun.
    step: int
    map_version: int
    # Version whose experts have all been copied, or None.
    prepared_version: int | None
    # Version to which the rank will switch at a later pass, or None if not armed.
    armed_version: int | None
    # Pass that the group does not begin until it is released, or None.
    held_step: int | None


@dataclass(slots=True, frozen=True)
class RankCounts:
    """Hold how often a rank's requests chose each expert since the rank started."""

    epoch: int
    step: int
    # Experts of the first layer, then those of the second, and so on.
    counts: list[int]


@dataclass(slots=True, frozen=True)
class RankMap:
    """Hold the experts of one rank in the map in force."""

    epoch: int
    version: int
    # Experts of this rank, as held[layer].
    held: list[list[int]]


@dataclass(slots=True, frozen=True)
class PrepareMap:
    """Order a rank to copy the experts that a map adds to it; arms nothing."""

    version: int
    # Experts of each rank, as held[layer][rank].
    held: list[list[list[int]]]


@dataclass(slots=True, frozen=True)
class ArmMap:
    """Order a rank to switch to a prepared map when the given pass begins."""

    version: int
    step: int


@dataclass(slots=True, frozen=True)
class DisarmMap:
    """Order a rank to cancel the switch to a version."""

    version: int


@dataclass(slots=True, frozen=True)
class HoldPass:
    """Order a rank to hold a pass of the group until its release, without a timeout."""

    step: int


@dataclass(slots=True, frozen=True)
class ReleasePass:
    """Order a rank to let a held pass begin."""

    step: int


Order = PrepareMap | ArmMap | DisarmMap | HoldPass | ReleasePass


class OrderResult(enum.StrEnum):
    """Enumerate the results of an order."""

    # Carried out or begun, now or by an earlier order.
    ACCEPTED = "taken"
    # Not carried out, also not later, because it does not fit the rank's state.
    REFUSED = "refused"
    # Unknown: carried out, not carried out, or carried out some seconds later.
    UNANSWERED = "unanswered"


class EngineClient(Protocol):
    """Read from and send orders to engines; addresses are (host, port)."""

    async def read_report(self, address: tuple[str, int]) -> RankReport | None:
        """Return a rank's report, or None if it gives no usable answer."""
        ...

    async def read_counts(self, address: tuple[str, int]) -> RankCounts | None:
        """Return a rank's counts, or None if it gives no usable answer."""
        ...

    async def read_map(self, address: tuple[str, int]) -> RankMap | None:
        """Return a rank's part of the map, or None if it gives no usable answer."""
        ...

    async def send_order(
        self, address: tuple[str, int], epoch: int, order: Order
    ) -> OrderResult:
        """Send an order to a rank in an epoch of its group; return the result."""
        ...
