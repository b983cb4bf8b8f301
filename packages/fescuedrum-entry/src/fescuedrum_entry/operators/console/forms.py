"""Make forms from the document's classes and read them back into plain JSON.

Values that don't fit their type stay as they were typed, so that the operator sees them
again beside the finding. Keys of organisations never leave the draft: they can be
removed or added, and what is added is hashed at once.
"""

import dataclasses
import enum
import secrets
import types
import typing
from dataclasses import dataclass, field

from fescuedrum.conf import schema
from fescuedrum.conf.document import Document, KeyHash, hash_key
from fescuedrum.conf.reference import optional_of

SALT_BYTES = 12
REMOVE = "remove"
NEW_KEY = "new_key"


class Widget(enum.StrEnum):
    """Name the kinds of inputs that templates know."""

    TEXT = "text"
    NUMBER = "number"
    CHOICE = "choice"
    FLAG = "flag"
    LINES = "lines"
    KEYS = "keys"
    GROUP = "group"
    ROWS = "rows"


@dataclass(slots=True)
class Input:
    """Hold one input, or a group or rows of them."""

    name: str
    label: str
    help: str
    widget: Widget
    value: object = ""
    choices: list = field(default_factory=list)
    parts: list = field(default_factory=list)
    findings: list = field(default_factory=list)
    required: bool = False


def sections():
    """Return (field name, label, class of its items) of each part of the document."""
    hints = typing.get_type_hints(Document)
    return [
        (each.name, label_of(each.name), typing.get_args(hints[each.name])[0])
        for each in dataclasses.fields(Document)
    ]


def label_of(name):
    return name.replace("_", " ").capitalize()


def build_rows(cls, items, prefix, path, findings):
    """Return a group of inputs for each item and one for a new item."""
    rows = [
        build_group(cls, item, f"{prefix}.{index}", f"{path}[{index}]", findings)
        for index, item in enumerate(items)
    ]
    return [*rows, build_group(cls, {}, f"{prefix}.{len(items)}", "", findings)]


def build_group(cls, data, prefix, path, findings):
    hints = typing.get_type_hints(cls)
    group = Input(
        prefix,
        str(data.get("name", "")) or "New",
        "",
        Widget.GROUP,
        findings=[each for each in findings if each.path == path],
    )
    for each in dataclasses.fields(cls):
        default = schema.get_default(each)
        value = data.get(each.name, schema.dump(default))
        made = build_input(
            hints[each.name],
            None if value is schema.MISSING else value,
            f"{prefix}.{each.name}",
            f"{path}.{each.name}",
            findings,
        )
        made.label = label_of(each.name)
        made.help = each.metadata["help"]
        made.required = default is schema.MISSING
        group.parts.append(made)
    return group


def build_input(kind, value, name, path, findings):
    made = Input(name, "", "", Widget.TEXT, value="" if value is None else value)
    origin = typing.get_origin(kind)
    if origin is types.UnionType:
        kind = optional_of(kind)
    if origin is list:
        return build_list(made, typing.get_args(kind)[0], value, path, findings)
    if dataclasses.is_dataclass(kind):
        made.widget = Widget.GROUP
        made.parts = build_group(kind, value or {}, name, path, findings).parts
        return made
    if issubclass(kind, enum.Enum):
        made.widget = Widget.CHOICE
        made.choices = [member.value for member in kind]
    elif kind is bool:
        made.widget = Widget.FLAG
    elif kind in (int, float):
        made.widget = Widget.NUMBER
    made.findings = [each for each in findings if path and each.path == path]
    return made


def build_list(made, item, value, path, findings):
    made.findings = [
        each for each in findings if path and each.path.startswith((path, f"{path}["))
    ]
    if item is KeyHash:
        made.widget = Widget.KEYS
    elif dataclasses.is_dataclass(item):
        made.widget = Widget.ROWS
        made.parts = build_rows(item, value or [], made.name, path, findings)
    else:
        made.widget = Widget.LINES
        made.value = "\n".join(str(each) for each in value or [])
    return made


def read_rows(cls, form, items, prefix):
    """Read the items of one list back from a form; rows without a name are dropped."""
    read = []
    for index in range(len(items) + 1):
        name = f"{prefix}.{index}"
        old = items[index] if index < len(items) else {}
        if f"{name}.name" not in form or form.get(f"{name}.{REMOVE}"):
            continue
        if form[f"{name}.name"].strip() or old:
            read.append(read_group(cls, form, old, name))
    return read


def read_group(cls, form, old, prefix):
    hints = typing.get_type_hints(cls)
    return {
        each.name: read_value(
            hints[each.name], form, old.get(each.name), f"{prefix}.{each.name}"
        )
        for each in dataclasses.fields(cls)
    }


def read_value(kind, form, old, name):
    origin = typing.get_origin(kind)
    text = form.get(name, "").strip()
    if origin is types.UnionType:
        return read_value(optional_of(kind), form, old, name) if text else None
    if origin is list:
        return read_list(typing.get_args(kind)[0], form, old or [], name)
    if dataclasses.is_dataclass(kind):
        return read_group(kind, form, old or {}, name)
    if kind is bool:
        return text == "true"
    if kind in (int, float):
        return read_number(kind, text)
    return text


def read_list(item, form, old, name):
    if item is KeyHash:
        return read_keys(form, old, name)
    if dataclasses.is_dataclass(item):
        return read_rows(item, form, old, name)
    return [line.strip() for line in form.get(name, "").splitlines() if line.strip()]


def read_keys(form, old, name):
    kept = [
        key for index, key in enumerate(old) if not form.get(f"{name}.{index}.{REMOVE}")
    ]
    new = form.get(f"{name}.{NEW_KEY}", "").strip()
    if new:
        salt = secrets.token_hex(SALT_BYTES)
        kept.append({"salt": salt, "sha256": hash_key(salt, new)})
    return kept


def read_number(kind, text):
    try:
        return kind(text)
    except ValueError:
        return text
