"""Define what all events have, and write them to the log."""

import logging
from dataclasses import dataclass
from typing import Annotated, ClassVar

RequestId = Annotated[str, "the request's id, as its caller sent it"]
EndpointName = Annotated[str, "name of the endpoint"]
GroupName = Annotated[str, "name of the group of ranks"]
MapVersion = Annotated[int, "version of an expert map"]
TableName = Annotated[str, "`operators` or `endpoints`"]
RowKey = Annotated[str, "key of the row"]
RowVersion = Annotated[int, "the row's version in the store"]
Error = Annotated[str, "the error, as the library or the decoder tells it"]


# Makes a class an event. Events are neither compared nor printed: what a data class
# generates for that would cost each process half a megabyte and a slower start.
event = dataclass(slots=True, eq=False, repr=False)


class Event:
    """Tell of one decision on a request, or of one change of what is believed.

    Each subclass is a data class: its docstring is its meaning for readers of logs, and
    its fields are what decided it.
    """

    __slots__ = ()

    message: ClassVar[str]
    level: ClassVar[int] = logging.INFO
    # Whether lines of it are left out first when there are too many.
    routine: ClassVar[bool] = False

    def fields(self):
        """Return the fields that have a value, by name."""
        values = {name: getattr(self, name) for name in self.__slots__}
        return {name: value for name, value in values.items() if value is not None}


def log_event(logger, told, *, error=None):
    """Log an event; error is an exception whose traceback goes with it."""
    if logger.isEnabledFor(told.level):
        extra = {**told.fields(), "routine": told.routine}
        logger.log(told.level, told.message, exc_info=error, extra=extra)
