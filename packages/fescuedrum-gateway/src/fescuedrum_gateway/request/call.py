"""Define an admitted request and the possible results of sending it."""

from dataclasses import dataclass

from fescuedrum.conf.routing import Route
from fescuedrum_gateway.adapter import AnswerHead, CallHead
from fescuedrum_gateway.process.holders import HeldRequest

# Characters; an endpoint determines the length of what the library quotes.
LONGEST_DESCRIPTION = 240


@dataclass(slots=True, frozen=True)
class Call:
    """Hold an admitted request; times are loop time in seconds."""

    head: CallHead
    route: Route
    service: str
    organisation: str
    priority: int
    # Whether the caller was refused before and retries: its answer is late in any case.
    is_caller_retry: bool
    method: str
    # Path and query as received.
    target: str
    # Identity of its content, which its caller's repeats have as well.
    fingerprint: str
    # Holds the body, and counts it and the answers.
    held: HeldRequest
    # Tokens that it holds at an engine or may still generate.
    tokens: int
    arrived: float
    # End of the caller's time or of the route's timeout, whichever is earlier.
    deadline: float

    @property
    def traits(self) -> tuple[str, ...]:
        """Return what it may have in common with requests at which endpoints end."""
        return (*self.head.prompt_parts, self.fingerprint)

    @property
    def body(self) -> bytes:
        """Return the body; it is empty once no further attempt can need it."""
        return self.held.body


def describe_failure(reason: str, error: Exception | None) -> str:
    """Return a reason for the log, with the beginning of an error if there is one."""
    if error is None:
        return reason
    return f"{reason}: {error!r}"[:LONGEST_DESCRIPTION]


@dataclass(slots=True, frozen=True)
class Answered:
    """Hold the complete answer of an endpoint."""

    head: AnswerHead
    body: bytes


@dataclass(slots=True, frozen=True)
class NotRun:
    """Report that an endpoint provably did not run the request."""

    reason: str
    # The endpoint's refusal, if it sent one.
    answer: Answered | None = None
    # Whether the whole service refuses requests at the moment.
    everywhere: bool = False
    # Whether nothing listens at the endpoint's address.
    is_closed: bool = False


@dataclass(slots=True, frozen=True)
class Lost:
    """Report that the request may have run and that its answer is lost."""

    # For the caller and the log; nothing that the endpoint sent.
    reason: str
    # Head of the answer that arrived in its place, if there is one.
    head: AnswerHead | None = None
    # The error as the library reports it, for the log; may quote the endpoint's bytes.
    error: Exception | None = None
    # Rule that a malformed answer breaks; empty if it is not malformed.
    broken_rule: str = ""

    @property
    def description(self) -> str:
        """Return the reason for the log, with the beginning of the error."""
        return describe_failure(self.reason, self.error)


@dataclass(slots=True, frozen=True)
class StreamEnded:
    """Report that a stream ended properly."""


@dataclass(slots=True, frozen=True)
class StreamBroken:
    """Report that a stream broke off after its first event was sent to the caller."""

    reason: str
