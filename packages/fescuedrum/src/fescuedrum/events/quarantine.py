"""Events about endpoints that end and the parts of prompts at which they do."""

import logging
from typing import Annotated

from fescuedrum.events.event import EndpointName, Error, Event, RequestId, event

PartId = Annotated[str, "id of the part of a prompt"]


@event
class EndpointEnded(Event):
    """Logged when nothing listens at an endpoint's address any more."""

    message = "endpoint ended"

    endpoint: EndpointName
    requests: Annotated[
        int, "requests of this gateway that broke off there before their answer began"
    ]
    parts: Annotated[
        str | None, "ids of the parts of their prompts, separated by spaces; at most 24"
    ]


@event
class PartQuarantined(Event):
    """Logged when prompts with a part are refused, as endpoints ended at them."""

    message = "part quarantined"
    level = logging.WARNING

    part: PartId
    endpoints: Annotated[str, "the endpoints that ended, separated by spaces"]
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
    trial: Annotated[int, "number of the trial, 1 for the first"]


@event
class RequestTakenBack(Event):
    """Logged when a request is taken from its endpoint, as a part is quarantined."""

    message = "request taken back"

    part: PartId
    request: RequestId
    endpoint: EndpointName


@event
class QuarantineRead(Event):
    """Logged when a process that starts reads quarantined parts from the store."""

    message = "quarantine read"

    parts: Annotated[int, "number of parts"]


@event
class QuarantineNotRead(Event):
    """Logged when quarantined parts can't be read from the store, or a row decoded.

    If the store does not answer, they are read again. Other gateways tell them as well.
    """

    message = "quarantine not read"

    error: Error


@event
class QuarantineNotSaved(Event):
    """Logged when a quarantined part can't be written to the store; it is retried."""

    message = "quarantine not saved"

    part: PartId
    error: Error
