"""Define the messages and engine orders of a change of the expert map.

A change has a number that is never used again and is the number of its map as well:
the holder's fencing number above a count of its own, so later holders count on.
"""

from dataclasses import dataclass

COUNT_BITS = 20


def change_number(fence, count):
    """Return the number of a holder's change; numbers of later holders are higher."""
    return fence << COUNT_BITS | count


@dataclass(slots=True, frozen=True)
class Load:
    """Order a rank to fetch what the map of a change needs; nothing is bound yet."""

    change: int
    fence: int
    # The change whose map it starts from; a rank under another map doesn't arm.
    base: int
    # Bytes a second that this rank may take from the weight store.
    rate: float = 0.0


@dataclass(slots=True, frozen=True)
class Loaded:
    """Tell the holder that a rank has all weights of a change."""

    rank: int
    change: int


@dataclass(slots=True, frozen=True)
class DecisionRequest:
    """Ask the arbiter to arm all ranks and to decide."""

    change: int
    fence: int


@dataclass(slots=True, frozen=True)
class Inquire:
    """Ask the arbiter, as a new holder, what is under way."""

    fence: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Tell a holder that a higher fencing number has been seen."""

    highest_fence: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """Tell the holder what was decided last, and whether a change is under way."""

    change: int
    committed: bool
    step: int
    busy: bool


@dataclass(slots=True, frozen=True)
class Decision:
    """Say that a change's map is used from a step on, or that the old map stays.

    incarnation is that of the rank's agent it is meant for: an agent that has started
    anew has forgotten its promises, so it takes no answer meant for the one before.
    """

    epoch: int
    change: int
    committed: bool
    step: int
    incarnation: int = 0


@dataclass(slots=True, frozen=True)
class Discover:
    """Ask a rank, as an arbiter that has just started, what it knows."""

    arbiter: int


@dataclass(slots=True, frozen=True)
class RankState:
    """Answer Discover with the highest promise, what waits and what was decided."""

    rank: int
    incarnation: int
    arbiter: int
    promised_epoch: int
    pending_change: int
    last_decision: Decision | None


@dataclass(slots=True, frozen=True)
class Arm:
    """Ask a rank to stop before some step until the decision, and to promise.

    A rank that has seen an epoch takes no decision of a lower one.
    """

    epoch: int
    change: int
    previous: Decision | None


@dataclass(slots=True, frozen=True)
class Armed:
    """Answer Arm: the horizon, or a decision known here, or neither if not loaded."""

    rank: int
    incarnation: int
    epoch: int
    change: int
    # The rank starts no step from here on without the decision; None if not armed.
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
    """Order the engine to fetch the weights of a change beside the old ones."""

    change: int
    rate: float


@dataclass(slots=True, frozen=True)
class HoldAfter:
    """Order the engine to choose a step that far ahead and to stop before it."""

    change: int
    steps: int


@dataclass(slots=True, frozen=True)
class SwitchAt:
    """Order the engine to use a change's map from a step on, and to go on."""

    change: int
    step: int


@dataclass(slots=True, frozen=True)
class Release:
    """Order the engine to go on under the old map and to drop the change's weights."""

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
    """Send a message to the holder of the group's lease, whoever asked last."""

    message: object


@dataclass(slots=True, frozen=True)
class ToEngine:
    """Give an order to the engine beside this agent."""

    order: Fetch | HoldAfter | SwitchAt | Release


Effect = ToRank | ToArbiter | ToHolder | ToEngine
