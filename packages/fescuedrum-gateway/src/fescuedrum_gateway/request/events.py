"""Split a stream of bytes into its events."""

import re
from dataclasses import dataclass

# An event ends with an empty line.
BOUNDARY = re.compile(rb"\n\r?\n")
ID_FIELD = b"id:"
# Events have some hundred bytes. Without a bound a faulty endpoint could fill the
# memory.
MAXIMUM_EVENT_BYTES = 1024 * 1024


class EventTooLongError(Exception):
    """Report an event that is longer than MAXIMUM_EVENT_BYTES."""


@dataclass(slots=True, frozen=True)
class Event:
    """Hold the bytes of one complete event and its id, which may be empty."""

    raw: bytes
    id: str


class EventSplitter:
    """Split received bytes into complete events.

    An endpoint may fail in the middle of an event. If a part of it had been forwarded,
    the caller would read it as one with the event with which another endpoint resumes.
    """

    __slots__ = ("remainder",)

    def __init__(self):
        self.remainder = b""

    def feed(self, data):
        """Add bytes and return the events that are complete now.

        Raise EventTooLongError.
        """
        data = self.remainder + data
        events = []
        begin = 0
        for boundary in BOUNDARY.finditer(data):
            raw = data[begin : boundary.end()]
            events.append(Event(raw, find_id(raw)))
            begin = boundary.end()
        self.remainder = data[begin:]
        if len(self.remainder) > MAXIMUM_EVENT_BYTES:
            raise EventTooLongError
        return events


def find_id(raw):
    """Return the id in the bytes of an event; empty if it has none."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode(errors="replace")
    return ""


def is_after(event_id, last_id):
    """Return whether an event comes after the last one; always if ids aren't numbers.

    An endpoint that resumes a stream may repeat events that the caller already has.
    """
    if not event_id.isdigit() or not last_id.isdigit():
        return True
    return int(event_id) > int(last_id)
