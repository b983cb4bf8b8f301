"""Events about the requests of callers."""

import logging
from typing import Annotated

from fescuedrum.events.event import (
    EndpointName,
    Error,
    Event,
    Fingerprint,
    GroupName,
    RequestId,
    event,
)

PromptParts = Annotated[
    str,
    "ids of the parts of its prompt that other requests may have as well, separated "
    "by spaces; at most eight",
]

# Results of a request that was sent.
ANSWERED = "answered"
CUT = "cut"


@event
class RequestSent(Event):
    """Logged when a request is sent to an endpoint."""

    message = "request sent"
    routine = True

    request: RequestId
    endpoint: EndpointName
    attempt: Annotated[int, "number of the attempt, 1 for the first"]
    running_there: Annotated[
        int, "requests at the endpoint by all gateways' counts, without this one"
    ]
    version: Annotated[int, "version of the configuration that was used"]
    group: Annotated[
        GroupName | None, "the endpoint's group, if its service has several"
    ]
    is_probe: Annotated[
        bool | None, "true if it is sent to see whether a group that is out answers"
    ]
    parts: PromptParts | None
    fingerprint: Fingerprint


@event
class TakenWhileStopping(Event):
    """Logged when a process that was told to stop accepts another request."""

    message = "request taken while stopping"

    request: RequestId
    since_signal: Annotated[float, "time since the signal to stop, in seconds"]
    left: Annotated[float, "time until the process ends, in seconds"]
    may_last: Annotated[float, "time until the request's own limit, in seconds"]
    kept: Annotated[bool, "whether its connection has carried requests before"]


@event
class SendingFailed(Event):
    """Logged when an endpoint gives no usable response to a request."""

    message = "sending failed"

    request: RequestId
    endpoint: EndpointName
    result: Annotated[str, "`not run` (proven) or `lost` (may have run)"]
    reason: Annotated[str, "how the failure was detected"]
    rest_seconds: Annotated[
        float | None, "time in which the endpoint asks for no more requests, in seconds"
    ]
    parts: PromptParts | None
    fingerprint: Fingerprint


@event
class StreamBroken(Event):
    """Logged when a stream breaks off at its endpoint."""

    message = "stream broken"

    request: RequestId
    reason: Annotated[str, "how the failure was detected"]
    last_event: Annotated[str, "id of the last event that the caller received"]
    endpoint: EndpointName
    events: Annotated[int, "events that came from this endpoint"]
    parts: PromptParts | None
    fingerprint: Fingerprint


@event
class StreamEndedForMemory(Event):
    """Logged when an answer is cut since its caller reads slowly and memory is low."""

    message = "stream ended for memory"
    level = logging.WARNING

    request: RequestId
    unread: Annotated[int, "bytes that its caller had not read"]
    held: Annotated[int, "bytes that the gateway holds for callers without these"]


@event
class RequestEnded(Event):
    """Logged when a request that was sent to an endpoint ends."""

    message = "request ended"

    request: RequestId
    result: Annotated[
        str, "`answered`, `failed` (the endpoint's own error) or `cut` midway"
    ]
    detail: Annotated[
        str, "the HTTP status, `stream`, or why it was cut, also by the process's end"
    ]
    seconds: Annotated[float, "time since the request's head was read, in seconds"]

    @property
    def routine(self):
        return self.result == ANSWERED


@event
class RequestRefused(Event):
    """Logged when the gateway refuses a request with a response of its own."""

    message = "request refused"

    request: RequestId
    code: Annotated[str, "error code of the callers' interface"]
    detail: Annotated[str, "reason for the refusal"]
    status: Annotated[int, "HTTP status"]
    retry_after: Annotated[float | None, "time after which to retry, in seconds"]
    seconds: Annotated[float, "time since the request's head was read, in seconds"]


@event
class PlaceRefused(Event):
    """Logged when a request gets no place at a service whose routes differ in priority.

    The line `request refused` follows.
    """

    message = "place refused"

    request: RequestId
    service: Annotated[str, "service that was asked for"]
    rank: Annotated[int, "urgency rank of the request, 0 for the most urgent"]
    organisation: Annotated[str, "organisation of the caller"]
    reason: Annotated[str, "`all-full`, `reserved` or `organisation-over-share`"]
    taken: Annotated[int, "requests at the service, by all gateways' counts"]
    bound: Annotated[float, "places that can be filled with passes within the pause"]
    reserve: Annotated[float, "places that this rank must leave free"]
    urgent_per_second: Annotated[
        float, "requests that are more urgent, per second, of all gateways"
    ]
    kept_seconds: Annotated[
        float, "time for whose more urgent requests places are left free, in seconds"
    ]


@event
class RetryDenied(Event):
    """Logged when a request that could be sent again is not.

    Its last result is returned to the caller.
    """

    message = "retry denied"

    request: RequestId
    reason: Annotated[str, "`attempts`, `time` or `budget`, whichever is used up"]


@event
class WaitingForGroup(Event):
    """Logged when a returned caller begins to wait for a service that is down."""

    message = "waiting for group"

    request: RequestId
    service: Annotated[str, "name of the service"]
    rank: Annotated[int, "rank of urgency, 0 being the most urgent"]
    longest: Annotated[float, "longest time that it may wait, in seconds"]


@event
class GroupAwaited(Event):
    """Logged when a request that waited for a service ends or is answered."""

    message = "group awaited"

    request: RequestId
    seconds: Annotated[float, "time that it waited, in seconds"]
    result: Annotated[
        str, "`served` (an endpoint took it), `refused`, or `left` by its caller"
    ]


@event
class CallerLeft(Event):
    """Logged when a caller disconnects before its response is complete."""

    message = "caller left"

    request: RequestId
    seconds: Annotated[float, "time since the request's head was read, in seconds"]
    last_event: Annotated[str | None, "id of the last event received, for a stream"]
    silent_seconds: Annotated[float | None, "time since that event, in seconds"]


@event
class AnswerNotDelivered(Event):
    """Logged when a connection ends before a complete response has been sent."""

    message = "answer not delivered"

    request: RequestId


@event
class HeadNotWritable(Event):
    """Logged when the head of a response can't be written and the caller gets 502.

    The traceback follows.
    """

    message = "head not writable"
    level = logging.ERROR

    request: RequestId


@event
class RequestHandlerFailed(Event):
    """Logged when an error in the process's own code fails a request.

    The traceback follows.
    """

    message = "request broke the process"
    level = logging.ERROR

    request: RequestId | None = None


@event
class RequestNotAnswered(Event):
    """Logged when an entry returns an error for a request that may have run."""

    message = "request not answered"
    level = logging.WARNING

    code: Annotated[str, "error code of the callers' interface"]


@event
class RequestNotRun(Event):
    """Logged when an entry refuses a request."""

    message = "request not run"
    level = logging.DEBUG

    code: Annotated[str, "error code of the callers' interface"]


@event
class MalformedHttp(Event):
    """Logged when received bytes are not a valid HTTP request."""

    message = "malformed HTTP refused"

    caller: Annotated[str | None, "address of the caller"]
    error: Error


@event
class CallerLeftKeyed(Event):
    """Logged when a caller disconnects while its keyed request continues.

    The caller can ask for the result later with the same key.
    """

    message = "caller left; its request goes on"


@event
class SessionTaskFailed(Event):
    """Logged when an error in the agent's own code fails a request.

    The traceback follows.
    """

    message = "session's task failed"
    level = logging.ERROR


@event
class FairnessFindingReported(Event):
    """Logged when an organisation is served worse than its peers beyond chance."""

    message = "fairness finding"
    level = logging.WARNING

    finding: Annotated[str, "the finding with its figures"]


@event
class FairnessFindingCleared(Event):
    """Logged when an organisation is served like its peers again."""

    message = "fairness finding cleared"

    organisation: Annotated[str, "name of the organisation"]
    finding: Annotated[str, "id of the finding"]
