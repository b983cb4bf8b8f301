"""Define what the gateway needs of the adapter that speaks for its platform."""

from dataclasses import dataclass
from typing import Protocol

from fescuedrum.conf.routing import RoutingDocument
from fescuedrum.decisions.presence import ListedEndpoint
from fescuedrum.decisions.ratelimits import Rate, Unlimited
from fescuedrum.groups.engines import EngineClient
from fescuedrum.platform.interfaces import RowStore, VersionedRow


@dataclass(slots=True, frozen=True)
class CallHead:
    """Hold what a request's headers say."""

    request_id: str
    # Key of the caller's organisation; empty when there is none.
    key: str
    # How long the caller will wait, in seconds; None when it does not say.
    patience: float | None
    prompt_tokens: int
    # Id of the last event that the caller has of a stream; empty at its start.
    last_event_id: str
    # Headers that the endpoint gets as they came.
    headers: list[tuple[str, str]]


@dataclass(slots=True, frozen=True)
class SendHead:
    """Hold what an endpoint is told beside the caller's own headers."""

    # Identity that the endpoint must have, or it must not run the request.
    endpoint_name: str
    # Time that is left to the caller, in seconds.
    patience: float
    # Name of the caller's organisation; empty when it has none.
    organisation: str
    # 0 is the most urgent.
    priority: int
    last_event_id: str


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """Hold what an endpoint's status and headers say."""

    status: int
    # Id of the request that it answers; None when it names none.
    request_id: str | None
    # The endpoint declares that it did not run the request and never will.
    not_run: bool
    # The endpoint signed the answer.
    signed: bool
    # The body was changed on its way.
    encoded: bool
    # Headers that the caller gets.
    headers: list[tuple[str, str]]
    # What the endpoint takes from all gateways together.
    rate: Rate = Unlimited()

    @property
    def succeeded(self):
        return 200 <= self.status < 300


@dataclass(slots=True, frozen=True)
class ZoneOut:
    """Say that operators have taken a zone out of service."""

    zone: str


class Adapter(Protocol):
    """Translate between the platform's names and formats and the gateway's types."""

    # Names of the store's tables.
    operators_table: str
    endpoints_table: str
    gateways_table: str

    def open_store(self, base_url: str, session) -> RowStore: ...

    def open_engines(self, session, link_megabits: float) -> EngineClient:
        """Return the engines as they are reached over a link of so many Mbit/s."""
        ...

    def read_operators_row(self, row: VersionedRow) -> RoutingDocument | ZoneOut | None:
        """Decode a row of operators; None for one that says nothing to a gateway.

        Raise RowNotUnderstood.
        """
        ...

    def read_endpoint(self, row: VersionedRow) -> ListedEndpoint:
        """Decode a line of the list of endpoints; raise RowNotUnderstood."""
        ...

    def read_call(self, headers) -> CallHead:
        """Decode a request's headers; raise BadRequest."""
        ...

    def write_call(self, head: CallHead, send: SendHead) -> list[tuple[str, str]]:
        """Return the headers that an endpoint gets."""
        ...

    def read_answer(self, status: int, headers) -> AnswerHead: ...

    def refusal_headers(
        self, request_id: str, retry_after: float | None
    ) -> dict[str, str]:
        """Return the headers of an answer that is the gateway's own."""
        ...
