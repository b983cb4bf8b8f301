"""Define the interface between the gateway and the adapter to its platform."""

from dataclasses import dataclass
from typing import Protocol

from fescuedrum.conf.routing import RoutingDocument
from fescuedrum.decisions.placing.presence import ListedEndpoint
from fescuedrum.decisions.placing.ratelimits import Rate, Unlimited
from fescuedrum.groups.engines import EngineClient
from fescuedrum.platform.interfaces import RowStore, VersionedRow


@dataclass(slots=True, frozen=True)
class CallHead:
    """Hold the decoded headers of a caller's request."""

    request_id: str
    # Key of the caller's organisation; empty when there is none.
    key: str
    # How long the caller will wait, in seconds; None if it does not say.
    seconds_left: float | None
    prompt_tokens: int
    # Most tokens that the answer may have; 0 if the caller does not say.
    maximum_tokens: int
    # About how many tokens the answer will have; 0 if the caller does not say.
    expected_tokens: int
    # Id of the last event of a stream that the caller has; empty for a new stream.
    last_event_id: str
    # Headers that are forwarded to the endpoint unchanged.
    headers: list[tuple[str, str]]
    # Ids of the parts of its prompt that other requests may have as well, in order.
    prompt_parts: tuple[str, ...] = ()
    # Id of the part of its prompt that belongs to this request or its session; empty
    # if it names no parts.
    own_part: str = ""


@dataclass(slots=True, frozen=True)
class ForwardHead:
    """Hold what the gateway adds to a request that it forwards to an endpoint."""

    # Name of the endpoint that is meant; any other one must not run the request.
    endpoint_name: str
    # How long the caller will still wait, in seconds.
    seconds_left: float
    # Name of the caller's organisation; empty when it has none.
    organisation: str
    # 0 is the most urgent.
    priority: int
    last_event_id: str


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """Hold the status and the decoded headers of an endpoint's answer."""

    status: int
    # Id of the request that it answers; None if it names none.
    request_id: str | None
    # Whether the endpoint declares that it did not run the request and never will.
    not_run: bool
    # Whether the endpoint signed the answer.
    signed: bool
    # Whether the body is encoded, so that a proxy has changed it.
    encoded: bool
    # Headers that are passed on to the caller.
    headers: list[tuple[str, str]]
    # Requests a second that the endpoint accepts from all gateways together.
    rate: Rate = Unlimited()
    # For how long the endpoint asks to get nothing from this gateway, in seconds; None
    # if it does not ask.
    rest_seconds: float | None = None
    # Whether the endpoint announces that it leaves.
    is_leaving: bool = False
    # Why nothing in the answer can be believed, as its headers contradict each other;
    # empty if they do not.
    fault: str = ""

    @property
    def succeeded(self):
        """Return whether the status is one of success."""
        return 200 <= self.status < 300


@dataclass(slots=True, frozen=True)
class ZoneOut:
    """Represent an operators' row that takes a zone out of service."""

    zone: str


class Adapter(Protocol):
    """Translate between the platform's names and formats and the gateway's types."""

    # Names of tables of the platform's store.
    operators_table: str
    endpoints_table: str
    gateways_table: str
    quarantine_table: str

    def open_store(self, base_url: str, session) -> RowStore:
        """Return the platform's store at a URL."""
        ...

    def open_engines(self, session, link_megabits: float) -> EngineClient:
        """Return the interface to the engines; their link has so many Mbit/s."""
        ...

    def read_operators_row(self, row: VersionedRow) -> RoutingDocument | ZoneOut | None:
        """Decode a row of the operators' table; return None if it isn't for gateways.

        Raise RowNotUnderstood if it is malformed.
        """
        ...

    def read_endpoint(self, row: VersionedRow) -> ListedEndpoint:
        """Decode a row of the list of endpoints; raise RowNotUnderstood."""
        ...

    def read_call(self, headers) -> CallHead:
        """Decode the headers of a caller's request; raise BadRequest."""
        ...

    def write_call(self, head: CallHead, send: ForwardHead) -> list[tuple[str, str]]:
        """Return the headers of the request that is sent to an endpoint."""
        ...

    def read_answer(self, status: int, headers) -> AnswerHead:
        """Decode the status and headers of an endpoint's answer."""
        ...

    def refusal_headers(
        self, request_id: str, retry_after: float | None
    ) -> dict[str, str]:
        """Return the headers with which the gateway itself refuses a request."""
        ...
