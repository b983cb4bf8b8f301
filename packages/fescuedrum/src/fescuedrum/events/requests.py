"""Tell what becomes of callers' requests."""

import logging
from typing import Annotated

from fescuedrum.events.event import EndpointName, Error, Event, RequestId, event

# What becomes of a request that was sent.
ANSWERED = "answered"
CUT = "cut"


@event
class RequestSent(Event):
    """Tell that a request goes to an endpoint."""

    message = "request sent"
    routine = True

    request: RequestId
    endpoint: EndpointName
    attempt: Annotated[int, "1 for the first sending of this request"]
    running_there: Annotated[
        int, "requests at the endpoint by all gateways' counts, without this one"
    ]
    version: Annotated[int, "version of the configuration that decided it"]


@event
class TakenWhileStopping(Event):
    """Tell that a process that was told to stop takes a request all the same."""

    message = "request taken while stopping"

    request: RequestId
    since_signal: Annotated[float, "time since the signal to stop, in seconds"]
    left: Annotated[float, "time until the process ends, in seconds"]
    may_last: Annotated[float, "time until the request's own limit, in seconds"]
    kept: Annotated[bool, "whether its connection has carried requests before"]


@event
class SendingFailed(Event):
    """Tell that an endpoint gave no usable answer."""

    message = "sending failed"

    request: RequestId
    endpoint: EndpointName
    result: Annotated[str, "`not run` (proved) or `lost` (may have run)"]
    reason: Annotated[str, "what showed it"]


@event
class StreamBroken(Event):
    """Tell that a stream broke off at its endpoint."""

    message = "stream broken"

    request: RequestId
    reason: Annotated[str, "what showed it"]
    last_event: Annotated[str, "id of the last event that the caller has"]


@event
class RequestEnded(Event):
    """Tell that a request that was sent came to its end."""

    message = "request ended"

    request: RequestId
    result: Annotated[
        str, "`answered`, `failed` (the endpoint's own error) or `cut` midway"
    ]
    detail: Annotated[
        str, "the status, `stream`, or why it was cut, by the process's end too"
    ]
    seconds: Annotated[float, "time since its head was read, in seconds"]

    @property
    def routine(self):
        return self.result == ANSWERED


@event
class RequestRefused(Event):
    """Tell that a request got an answer of the gateway's own."""

    message = "request refused"

    request: RequestId
    code: Annotated[str, "code of the callers' interface"]
    detail: Annotated[str, "what decided it"]
    status: Annotated[int, "HTTP status"]
    retry_after: Annotated[float | None, "when to come back, in seconds"]
    seconds: Annotated[float, "time since its head was read, in seconds"]


@event
class CallerLeft(Event):
    """Tell that a caller's connection was gone before its answer was."""

    message = "caller left"

    request: RequestId
    seconds: Annotated[float, "time since its head was read, in seconds"]
    last_event: Annotated[str | None, "id of the last event that it has, of a stream"]
    silent_seconds: Annotated[float | None, "time since that event, in seconds"]


@event
class AnswerNotDelivered(Event):
    """Tell that the connection ended before all of a whole answer had left."""

    message = "answer not delivered"

    request: RequestId


@event
class RequestHandlerFailed(Event):
    """Tell that a fault of the process's own code met a request.

    Its traceback follows.
    """

    message = "request broke the process"
    level = logging.ERROR

    request: RequestId | None = None


@event
class RequestNotAnswered(Event):
    """Tell that an entry's caller got an error for a request that may have run."""

    message = "request not answered"
    level = logging.WARNING

    code: Annotated[str, "code of the callers' interface"]


@event
class RequestNotRun(Event):
    """Tell that an entry refused a request."""

    message = "request not run"
    level = logging.DEBUG

    code: Annotated[str, "code of the callers' interface"]


@event
class MalformedHttp(Event):
    """Tell that bytes that are no HTTP request were refused."""

    message = "malformed HTTP refused"

    caller: Annotated[str | None, "address of the caller"]
    error: Error


@event
class CallerLeftKeyed(Event):
    """Tell that a caller left, and its request goes on.

    Its key may be asked for again.
    """

    message = "caller left; its request goes on"


@event
class SessionTaskFailed(Event):
    """Tell that a fault of the agent's own code met a request.

    Its traceback follows.
    """

    message = "session's task failed"
    level = logging.ERROR


@event
class FairnessFindingReported(Event):
    """Tell that an organisation is served worse than its peers beyond chance."""

    message = "fairness finding"
    level = logging.WARNING

    finding: Annotated[str, "the finding with its figures"]


@event
class FairnessFindingCleared(Event):
    """Tell that an organisation is served like its peers again."""

    message = "fairness finding cleared"

    organisation: Annotated[str, "name of the organisation"]
    finding: Annotated[str, "id of the finding"]
