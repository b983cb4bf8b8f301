"""Check that all log lines come from events that are documented and in use."""

import ast
import json
import logging
from pathlib import Path

import pytest

import fescuedrum
from fescuedrum.events import reference
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import RequestEnded, RequestRefused
from fescuedrum.logs import STANDARD_ATTRIBUTES, JsonLinesFormatter

ROOT = Path(fescuedrum.__path__[0]).parents[3]
PROGRAMS = [
    ROOT / "packages" / name / "src"
    for name in (
        "fescuedrum",
        "fescuedrum-agent",
        "fescuedrum-entry",
        "fescuedrum-gateway",
    )
] + [ROOT / "platform" / "src"]
LOGGING_METHODS = {"debug", "info", "warning", "error", "critical", "exception", "log"}
EVENTS = reference.all_events()


def sources():
    return [path for top in PROGRAMS for path in top.rglob("*.py")]


def format_event(event):
    """Return the log line of an event."""
    records = []
    logger = logging.Logger("test", logging.DEBUG)
    handler = logging.Handler()
    handler.emit = records.append
    logger.addHandler(handler)
    log_event(logger, event)
    return json.loads(JsonLinesFormatter({"instance": "gateway-1"}).format(records[0]))


def test_only_events_are_logged():
    """A line with free text can't be found by its message in the reference."""
    calls = [
        f"{path.name}:{node.lineno}"
        for path in sources()
        if path.name != "event.py"
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in LOGGING_METHODS
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == "logger"
    ]
    assert calls == []


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
def test_each_event_is_logged_somewhere(event):
    """The operators' page would list lines that no process writes any more."""
    users = [
        path
        for path in sources()
        if "events" not in path.parts and event.__name__ in path.read_text()
    ]
    assert users != []


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
def test_no_field_is_named_like_an_attribute_of_log_records(event):
    """Logging such an event raises KeyError and fails the request."""
    assert not set(event.__slots__) & STANDARD_ATTRIBUTES


def test_messages_of_events_are_unique():
    messages = [event.message for event in EVENTS]
    assert len(messages) == len(set(messages)) > 60


def test_a_line_has_only_the_fields_with_a_value():
    refused = RequestRefused("r-1", "overloaded", "all-full", 503, None, 0.01)
    line = format_event(refused)
    assert line["message"] == "request refused"
    assert (line["request"], line["code"], line["status"]) == ("r-1", "overloaded", 503)
    assert "retry_after" not in line


def test_only_answered_requests_are_routine():
    assert RequestEnded("r-1", "answered", "stream", 0.2).routine
    assert not RequestEnded("r-1", "cut", "reset", 0.2).routine


def test_the_page_lists_each_event_and_field():
    page = reference.events_page("Events", "")
    for event in EVENTS:
        assert f"`{event.message}`" in page
        assert all(f"`{name}` (" in page for name in event.__slots__)
