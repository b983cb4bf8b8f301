"""Check that streams are split into complete events."""

import pytest

from fescuedrum_gateway.request import events
from fescuedrum_gateway.request.events import EventSplitter, EventTooLongError, is_after

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions: 3\nid: 3\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
def test_events_do_not_depend_on_how_bytes_are_chunked(size):
    splitter = EventSplitter()
    found = []
    for begin in range(0, len(STREAM), size):
        found += splitter.feed(STREAM[begin : begin + size])
    assert [event.id for event in found] == ["1", "2", "3"]
    assert b"".join(event.raw for event in found) == STREAM
    assert splitter.remainder == b""


def test_incomplete_event_is_held_back():
    """A caller receives a part of an event joined to a complete one.

    The endpoint failed in the middle of an event, and another one resumed the stream.
    """
    splitter = EventSplitter()
    found = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert len(found) == 1
    assert splitter.remainder == b"id: 2\nda"


def test_event_beyond_the_bound_raises(monkeypatch):
    monkeypatch.setattr(events, "MAXIMUM_EVENT_BYTES", 10)
    with pytest.raises(EventTooLongError):
        EventSplitter().feed(b"x" * 11)


def test_ids_that_are_not_numbers_count_as_later():
    assert is_after("3", "2")
    assert not is_after("2", "2")
    assert not is_after("9", "10")
    assert is_after("b", "a")
