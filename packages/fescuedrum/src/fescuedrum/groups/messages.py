"""Define the messages and engine orders for changes of the expert map.

Each change has a unique number, which is also the number of its map. It consists of the
holder's fencing number in the high bits and a counter of the holder in the low bits, so
the numbers of later holders are higher.
"""

from dataclasses import dataclass

# Bits of a change number for the holder's counter.
COUNT_BITS = 20


def change_number(fence, count):
    """Return the number of a holder's change from its fencing number and counter."""
    return fence << COUNT_BITS | count


@dataclass(slots=True, frozen=True)
class Load:
    """Order a rank to fetch the weights for a change; does not commit it to switch."""

    change: int
    fence: int
    # The change whose map it is based on; a rank that uses another map doesn't arm.
    base: int
    # Bytes per second that this rank may read from the weight store.
    rate: float = 0.0


@dataclass(slots=True, frozen=True)
class Loaded:
    """Report to the holder that a rank has all weights of a change."""

    rank: int
    change: int


@dataclass(slots=True, frozen=True)
class DecisionRequest:
    """Ask the arbiter to arm all ranks for a change and to decide it."""

    change: int
    fence: int


@dataclass(slots=True, frozen=True)
class Inquire:
    """Ask the arbiter, as a new holder, for the latest outcome."""

    fence: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Report to a holder that a higher fencing number has been seen."""

    highest_fence: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """Report to the holder how a change was decided and whether one is under way."""

    change: int
    committed: bool
    step: int
    busy: bool


@dataclass(slots=True, frozen=True)
class Decision:
    """Announce that a change's map is used from a step on, or that the old map stays.

    incarnation identifies the agent that it is sent to. A restarted agent has lost its
    promises, so it must not accept a decision sent to the agent before the restart.
    """

    epoch: int
    change: int
    committed: bool
    step: int
    incarnation: int = 0


@dataclass(slots=True, frozen=True)
class Discover:
    """Ask a rank, as an arbiter that has just started, for its state."""

    arbiter: int


@dataclass(slots=True, frozen=True)
class RankState:
    """Answer Discover with the promised epoch, pending change and last decision."""

    rank: int
    incarnation: int
    arbiter: int
    promised_epoch: int
    pending_change: int
    last_decision: Decision | None


@dataclass(slots=True, frozen=True)
class Arm:
    """Ask a rank to hold before a step until the decision, and to promise the epoch.

    A rank that has promised an epoch accepts no decision of a lower one.
    """

    epoch: int
    change: int
    previous: Decision | None


@dataclass(slots=True, frozen=True)
class Armed:
    """Answer Arm with the hold step or a known decision, or neither if not loaded."""

    rank: int
    incarnation: int
    epoch: int
    change: int
    # The rank starts neither this nor a later step before the decision; None if not
    # armed.
    hold_step: int | None
    decision: Decision | None


@dataclass(slots=True, frozen=True)
class Ask:
    """Ask the arbiter for the decision that an armed rank waits for."""

    rank: int
    incarnation: int
    change: int


@dataclass(slots=True, frozen=True)
class Fetch:
    """Order the engine to fetch the weights of a change and to keep the old ones."""

    change: int
    rate: float


@dataclass(slots=True, frozen=True)
class HoldAfter:
    """Order the engine to stop before the step that is the given steps ahead."""

    change: int
    steps: int


@dataclass(slots=True, frozen=True)
class SwitchAt:
    """Order the engine to use a change's map from a step on, and to continue."""

    change: int
    step: int


@dataclass(slots=True, frozen=True)
class Release:
    """Order the engine to continue with the old map and to drop the new weights."""

    change: int


@dataclass(slots=True, frozen=True)
class ToRank:
    """Send a message to a rank's agent."""

    rank: int
    message: object


@dataclass(slots=True, frozen=True)
class ToArbiter:
    """Send a message to the agent of the lowest rank."""

    message: object


@dataclass(slots=True, frozen=True)
class ToHolder:
    """Send a message to the holder of the group's lease, the one that asked last."""

    message: object


@dataclass(slots=True, frozen=True)
class ToEngine:
    """Send an order to this agent's engine."""

    order: Fetch | HoldAfter | SwitchAt | Release


Effect = ToRank | ToArbiter | ToHolder | ToEngine
