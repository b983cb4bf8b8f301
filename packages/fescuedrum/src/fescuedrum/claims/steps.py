"""Name what a keyed request may do next and what can happen to it."""

from dataclasses import dataclass

from fescuedrum.claims.ledger import FenceResult
from fescuedrum.claims.record import Claim, RecordedAnswer
from fescuedrum.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class ChooseAgent:
    """Pick an agent that may take the request."""


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

    It must leave on the connection that was open when the table was last asked. A
    process that is paused in between loses that connection by its silence, and with
    it the request, which its agent may have fenced and forgotten by then.
    """

    claim: Claim


@dataclass(slots=True, frozen=True)
class Ask:
    """Ask the claim's agent to fence its attempts, or for what became of them."""

    claim: Claim


@dataclass(slots=True, frozen=True)
class Follow:
    """Read the answer that the claim's agent holds under the key."""

    claim: Claim


@dataclass(slots=True, frozen=True)
class Replay:
    """Give the caller the recorded answer."""

    answer: RecordedAnswer


@dataclass(slots=True, frozen=True)
class Record:
    """Keep the end in the key's row; nothing depends on whether this works."""

    claim: Claim
    expected_version: int


@dataclass(slots=True, frozen=True)
class Tell:
    """End with an outcome that has no answer."""

    outcome: Outcome
    reason: str
    # Whether the table has shown what stands under the key.
    key_checked: bool = True


@dataclass(slots=True, frozen=True)
class RefuseBody:
    """End because the key stands for a request with another body."""


@dataclass(slots=True, frozen=True)
class Chosen:
    """Name the agent to use and the life it is in."""

    agent: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class RowRead:
    """Give the row as the table has it; version 0 when there is none."""

    claim: Claim | None
    version: int


@dataclass(slots=True, frozen=True)
class WriteDone:
    """Say whether the write took effect or its expected version was wrong."""

    applied: bool


@dataclass(slots=True, frozen=True)
class StoreSilent:
    """Say that the table gave no answer; a write may have taken effect, or may yet."""


@dataclass(slots=True, frozen=True)
class NotSent:
    """Say that the request did not leave this process."""


@dataclass(slots=True, frozen=True)
class Refused:
    """Say that the agent took the request and did not run it."""

    reason: str


@dataclass(slots=True, frozen=True)
class ConnectionLost:
    """Say that nothing more comes; the request may have reached its agent."""


@dataclass(slots=True, frozen=True)
class Answered:
    """Give the agent's verdict on the attempts asked about."""

    verdict: FenceResult


@dataclass(slots=True, frozen=True)
class CannotAsk:
    """Say that the agent can't be reached now."""


@dataclass(slots=True, frozen=True)
class Ended:
    """Say that the attempt ended, with its answer if that is small."""

    outcome: Outcome
    answer: RecordedAnswer | None = None
    reason: str = ""


@dataclass(slots=True, frozen=True)
class DeadlineNear:
    """Say that there is only time left to say what became of the request."""
