"""Hold one caller's request and the ways in which its sending can end."""

from dataclasses import dataclass

from fescuedrum.conf.routing import Route
from fescuedrum_gateway.adapter import AnswerHead, CallHead


@dataclass(slots=True, frozen=True)
class Call:
    """Hold a request that was admitted; times are loop time in seconds."""

    head: CallHead
    route: Route
    service: str
    organisation: str
    priority: int
    # The caller was refused before and comes back: its answer is late in any case.
    is_caller_retry: bool
    method: str
    # Path and query as they came.
    target: str
    body: bytes
    arrived: float
    # When the caller, or the route's timeout, gives up.
    ends_at: float


@dataclass(slots=True, frozen=True)
class Answered:
    """Hold an endpoint's whole answer."""

    head: AnswerHead
    body: bytes


@dataclass(slots=True, frozen=True)
class NotRun:
    """Say that an endpoint provably did not run the request."""

    reason: str
    # The endpoint's own refusal, if it gave one.
    answer: Answered | None = None
    # All endpoints of the service refuse at the moment.
    everywhere: bool = False


@dataclass(slots=True, frozen=True)
class Lost:
    """Say that the request may have run and that its answer can't be had."""

    reason: str


@dataclass(slots=True, frozen=True)
class StreamEnded:
    """Say that a stream came to its proper end."""


@dataclass(slots=True, frozen=True)
class StreamBroken:
    """Say that a stream broke off."""

    reason: str
