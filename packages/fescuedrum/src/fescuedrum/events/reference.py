"""Generate the reference page of events."""

import inspect
import logging
import typing

from fescuedrum.events import event, groups, processes, quarantine, requests, tables

SUBJECTS = (
    ("Requests", requests),
    ("Endpoints that end, and prompts", quarantine),
    ("The platform's tables", tables),
    ("Groups of ranks", groups),
    ("Processes", processes),
)


def events_of(module):
    """Return the events that a module defines, in the order of their messages."""
    found = [
        value
        for value in vars(module).values()
        if inspect.isclass(value)
        and issubclass(value, event.Event)
        and value.__module__ == module.__name__
    ]
    return sorted(found, key=lambda each: each.message)


def all_events():
    """Return all events of all modules."""
    return [each for _, module in SUBJECTS for each in events_of(module)]


def events_page(title, introduction):
    """Return a Markdown page with a table of events for each subject."""
    lines = [f"# {title}", "", introduction]
    for heading, module in SUBJECTS:
        lines += ["", f"## {heading}", ""]
        lines += ["| message | level | meaning | fields |", "|---|---|---|---|"]
        lines += [describe_event(each) for each in events_of(module)]
    return "\n".join(lines) + "\n"


def describe_event(cls):
    """Return an event's row of the table."""
    level = logging.getLevelName(cls.level).lower()
    fields = "; ".join(describe_field(cls, name) for name in cls.__slots__)
    meaning = " ".join(inspect.getdoc(cls).split())
    return f"| `{cls.message}` | {level} | {meaning} | {fields} |"


def describe_field(cls, name):
    """Return the name and description of an event's field."""
    annotated = typing.get_type_hints(cls, include_extras=True)[name]
    return f"`{name}` ({describe_type(annotated)})"


def describe_type(annotated):
    """Return the description in a field's annotation."""
    for part in (annotated, *typing.get_args(annotated)):
        if typing.get_origin(part) is typing.Annotated:
            return typing.get_args(part)[1]
    return typing.get_args(annotated)[1]
