"""Define the base of all events, and log them."""

import logging
from dataclasses import dataclass
from typing import Annotated, ClassVar

RequestId = Annotated[str, "the request's id, as its caller sent it"]
Fingerprint = Annotated[
    str, "identity of the request's content, which repeats by its caller have as well"
]
EndpointName = Annotated[str, "name of the endpoint"]
ServiceName = Annotated[str, "name of the service"]
GroupName = Annotated[str, "name of the group of ranks"]
MapVersion = Annotated[int, "version of an expert map"]
TableName = Annotated[str, "`operators` or `endpoints`"]
RowKey = Annotated[str, "key of the row"]
RowVersion = Annotated[int, "the row's version in the store"]
Error = Annotated[str, "the error, as reported by the library or the decoder"]


# Decorates a class as an event. Events are neither compared nor printed; the generated
# methods for that would cost each process half a megabyte and a slower start.
event = dataclass(slots=True, eq=False, repr=False)


class Event:
    """Describe a decision on a request or a change in a process's view of the system.

    Each subclass is a data class. Its docstring is shown to readers of logs, and its
    fields hold what the decision was based on.
    """

    __slots__ = ()

    message: ClassVar[str]
    level: ClassVar[int] = logging.INFO
    # Whether its lines are dropped first when there are too many.
    routine: ClassVar[bool] = False

    def fields(self):
        """Return the fields that are not None, by name."""
        values = {name: getattr(self, name) for name in self.__slots__}
        return {name: value for name, value in values.items() if value is not None}


def log_event(logger, logged_event, *, error=None):
    """Log an event, with the traceback of error if one is given."""
    if logger.isEnabledFor(logged_event.level):
        extra = {**logged_event.fields(), "routine": logged_event.routine}
        logger.log(
            logged_event.level, logged_event.message, exc_info=error, extra=extra
        )
