"""Events about endpoints that end and the requests at which they do."""

import logging
from typing import Annotated

from fescuedrum.events.event import (
    EndpointName,
    Error,
    Event,
    Fingerprint,
    RequestId,
    event,
)

PartId = Annotated[str, "id of the part of a prompt"]
EndpointNames = Annotated[str, "the endpoints that ended, separated by spaces"]
TrialNumber = Annotated[int, "number of the trial, 1 for the first"]


@event
class EndpointEnded(Event):
    """Logged when nothing serves at an endpoint's address any more.

    Nothing listens there, or a proxy drops each connection.
    """

    message = "endpoint ended"

    endpoint: EndpointName
    requests: Annotated[
        int, "requests of this gateway that broke off there before their answer began"
    ]
    parts: Annotated[
        str | None, "ids of the parts of their prompts, separated by spaces; at most 24"
    ]
    begun: Annotated[int, "requests that broke off there in their answers"]
    fingerprints: Annotated[
        str | None, "of both kinds of requests, separated by spaces; at most 24"
    ]


@event
class PartQuarantined(Event):
    """Logged when prompts with a part are refused, as endpoints ended at them."""

    message = "part quarantined"
    level = logging.WARNING

    part: PartId
    endpoints: EndpointNames
    only_with: Annotated[
        str | None,
        "ids of the parts that explain the ends as well, separated by spaces; only "
        "prompts with all of them are refused",
    ]


@event
class PartReleased(Event):
    """Logged when prompts with a quarantined part are sent again."""

    message = "part released"

    part: PartId
    was_answered: Annotated[bool, "whether an answer has shown the part to be sound"]


@event
class PartTried(Event):
    """Logged when a request with a quarantined part is sent to see if it is sound."""

    message = "part tried"

    part: PartId
    request: RequestId
    trial: TrialNumber


@event
class RequestQuarantined(Event):
    """Logged when repeats of a request are refused, as endpoints ended at it."""

    message = "request quarantined"
    level = logging.WARNING

    fingerprint: Fingerprint
    endpoints: EndpointNames


@event
class RequestReleased(Event):
    """Logged when repeats of a quarantined request are sent again."""

    message = "request released"

    fingerprint: Fingerprint
    was_answered: Annotated[bool, "whether a whole answer has shown it to be sound"]


@event
class RequestTried(Event):
    """Logged when a repeat of a quarantined request is sent to see if it is sound."""

    message = "request tried"

    fingerprint: Fingerprint
    request: RequestId
    trial: TrialNumber


@event
class RequestTakenBack(Event):
    """Logged when a request is taken from its endpoint, as it is quarantined."""

    message = "request taken back"

    part: Annotated[str, "id of the part of its prompt, or its fingerprint"]
    request: RequestId
    endpoint: EndpointName


@event
class QuarantineRead(Event):
    """Logged when a process that starts reads what is quarantined from the store."""

    message = "quarantine read"

    parts: Annotated[int, "number of parts and requests"]


@event
class QuarantineNotRead(Event):
    """Logged when rows of the quarantine can't be read from the store, or decoded.

    If the store does not answer, they are read again. Other gateways tell them as well.
    """

    message = "quarantine not read"

    error: Error


@event
class QuarantineNotSaved(Event):
    """Logged when a row of the quarantine can't be written; it is written again."""

    message = "quarantine not saved"

    part: Annotated[str, "id of the part, or fingerprint of the request"]
    error: Error
