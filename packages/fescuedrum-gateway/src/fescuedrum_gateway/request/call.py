"""Define an admitted request and the possible results of sending it."""

from dataclasses import dataclass

from fescuedrum.conf.routing import Route
from fescuedrum_gateway.adapter import AnswerHead, CallHead
from fescuedrum_gateway.process.holders import HeldRequest


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

    reason: str
    # Head of the answer that arrived in its place, if there is one.
    head: AnswerHead | None = None


@dataclass(slots=True, frozen=True)
class StreamEnded:
    """Report that a stream ended properly."""


@dataclass(slots=True, frozen=True)
class StreamBroken:
    """Report that a stream broke off after its first event was sent to the caller."""

    reason: str
