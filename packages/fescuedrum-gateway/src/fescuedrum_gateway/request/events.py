"""Split a stream into its events."""

import re
from dataclasses import dataclass

# An event's lines end at an empty one.
BOUNDARY = re.compile(rb"\r?\n\r?\n")
ID_FIELD = b"id:"
# An event is some hundred bytes; without a bound a broken endpoint fills the memory.
MAXIMUM_EVENT_BYTES = 1024 * 1024


class EventTooLongError(Exception):
    """Report a stream that does not end an event within the bound."""


@dataclass(slots=True, frozen=True)
class Event:
    """Hold one whole event as it came, and its id; empty when it has none."""

    raw: bytes
    id: str


class EventSplitter:
    """Collect bytes and give out whole events.

    An endpoint may die in the middle of an event. A part of one that had been passed
    on would be joined to the event with which another endpoint resumes.
    """

    __slots__ = ("rest",)

    def __init__(self):
        self.rest = b""

    def feed(self, data):
        """Return the events that are whole now."""
        data = self.rest + data
        events = []
        begin = 0
        for boundary in BOUNDARY.finditer(data):
            raw = data[begin : boundary.end()]
            events.append(Event(raw, find_id(raw)))
            begin = boundary.end()
        self.rest = data[begin:]
        if len(self.rest) > MAXIMUM_EVENT_BYTES:
            raise EventTooLongError
        return events


def find_id(raw):
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode(errors="replace")
    return ""


def is_after(event_id, last_id):
    """Tell whether an event is a later one; ids that are no numbers are taken as such.

    An endpoint that resumes may repeat what the caller already has.
    """
    if not event_id.isdigit() or not last_id.isdigit():
        return True
    return int(event_id) > int(last_id)
