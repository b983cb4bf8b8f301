"""Define the steps that a keyed request can require and the events that follow."""

from dataclasses import dataclass

from fescuedrum.claims.ledger import FenceResult
from fescuedrum.claims.record import Claim, RecordedAnswer
from fescuedrum.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class ChooseAgent:
    """Choose an agent that may accept the request."""


@dataclass(slots=True, frozen=True)
class ReadRow:
    """Read the key's row."""


@dataclass(slots=True, frozen=True)
class WriteRow:
    """Write the key's row if its version is still the expected one."""

    claim: Claim
    expected_version: int


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Send the request to the claim's agent, once.

    It must be sent on the connection that was open when the table was last queried. By
    the time that a paused process continues, the agent may have fenced and forgotten
    the attempt. The connection has then been closed for its silence, so the request
    can't reach the agent.
    """

    claim: Claim


@dataclass(slots=True, frozen=True)
class Ask:
    """Ask the claim's agent to fence its attempts or to report what became of them."""

    claim: Claim


@dataclass(slots=True, frozen=True)
class Follow:
    """Read the answer that the claim's agent holds for the key."""

    claim: Claim


@dataclass(slots=True, frozen=True)
class Replay:
    """Send the recorded answer to the caller."""

    answer: RecordedAnswer


@dataclass(slots=True, frozen=True)
class Record:
    """Record the end in the key's row; the request does not depend on its success."""

    claim: Claim
    expected_version: int


@dataclass(slots=True, frozen=True)
class Tell:
    """End the request with an outcome that has no answer."""

    outcome: Outcome
    reason: str
    # Whether the table has shown the state of the key.
    key_checked: bool = True


@dataclass(slots=True, frozen=True)
class RefuseBody:
    """End the request because its key was used for another body."""


@dataclass(slots=True, frozen=True)
class Chosen:
    """Hold the chosen agent and its incarnation."""

    agent: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class RowRead:
    """Hold the key's row as read from the table; version 0 if there is none."""

    claim: Claim | None
    version: int


@dataclass(slots=True, frozen=True)
class WriteDone:
    """Hold whether a write was applied; if not, its expected version was wrong."""

    applied: bool


@dataclass(slots=True, frozen=True)
class StoreSilent:
    """Report that the table did not respond.

    A write may have taken effect or may still do so.
    """


@dataclass(slots=True, frozen=True)
class NotSent:
    """Report that the request was not sent."""


@dataclass(slots=True, frozen=True)
class Refused:
    """Report that the agent received the request and did not run it."""

    reason: str


@dataclass(slots=True, frozen=True)
class ConnectionLost:
    """Report that the connection was lost; the agent may have the request."""


@dataclass(slots=True, frozen=True)
class Answered:
    """Hold the agent's answer to a request to fence attempts."""

    verdict: FenceResult


@dataclass(slots=True, frozen=True)
class CannotAsk:
    """Report that the agent can't be reached now."""


@dataclass(slots=True, frozen=True)
class Ended:
    """Hold the end of the attempt, with its answer if that is small."""

    outcome: Outcome
    answer: RecordedAnswer | None = None
    reason: str = ""


@dataclass(slots=True, frozen=True)
class DeadlineNear:
    """Report that the remaining time is only enough to determine the outcome."""
