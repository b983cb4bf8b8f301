"""Build forms from the document's classes and read them back into plain JSON.

Values that don't match their type stay as typed, so that the operator sees them again
next to the finding. Forms don't show organisations' keys: keys can be removed or added,
and an added key is hashed at once.
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
    """Define the kinds of inputs that the templates render."""

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
    """Hold one input, a group of inputs, or rows of groups."""

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
    """Return (field name, label, class of its items) of each document section."""
    hints = typing.get_type_hints(Document)
    return [
        (each.name, label_of(each.name), typing.get_args(hints[each.name])[0])
        for each in dataclasses.fields(Document)
    ]


def label_of(name):
    """Return the label of a field's name."""
    return name.replace("_", " ").capitalize()


def build_rows(cls, items, prefix, path, findings):
    """Return a group of inputs for each item and one for a new item."""
    rows = [
        build_group(cls, item, f"{prefix}.{index}", f"{path}[{index}]", findings)
        for index, item in enumerate(items)
    ]
    return [*rows, build_group(cls, {}, f"{prefix}.{len(items)}", "", findings)]


def build_group(cls, data, prefix, path, findings):
    """Return a group with an input for each field of a class."""
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
        form_input = build_input(
            hints[each.name],
            None if value is schema.MISSING else value,
            f"{prefix}.{each.name}",
            f"{path}.{each.name}",
            findings,
        )
        form_input.label = label_of(each.name)
        form_input.help = each.metadata["help"]
        form_input.required = default is schema.MISSING
        group.parts.append(form_input)
    return group


def build_input(kind, value, name, path, findings):
    """Return the input for a value of a type."""
    form_input = Input(name, "", "", Widget.TEXT, value="" if value is None else value)
    origin = typing.get_origin(kind)
    if origin is types.UnionType:
        kind = optional_of(kind)
    if origin is list:
        return build_list(form_input, typing.get_args(kind)[0], value, path, findings)
    if dataclasses.is_dataclass(kind):
        form_input.widget = Widget.GROUP
        form_input.parts = build_group(kind, value or {}, name, path, findings).parts
        return form_input
    if issubclass(kind, enum.Enum):
        form_input.widget = Widget.CHOICE
        form_input.choices = [member.value for member in kind]
    elif kind is bool:
        form_input.widget = Widget.FLAG
    elif kind in (int, float):
        form_input.widget = Widget.NUMBER
    form_input.findings = [each for each in findings if path and each.path == path]
    return form_input


def build_list(form_input, item, value, path, findings):
    """Set up an input for a list of items of a type and return it."""
    form_input.findings = [
        each for each in findings if path and each.path.startswith((path, f"{path}["))
    ]
    if item is KeyHash:
        form_input.widget = Widget.KEYS
    elif dataclasses.is_dataclass(item):
        form_input.widget = Widget.ROWS
        form_input.parts = build_rows(
            item, value or [], form_input.name, path, findings
        )
    else:
        form_input.widget = Widget.LINES
        form_input.value = "\n".join(str(each) for each in value or [])
    return form_input


def read_rows(cls, form, items, prefix):
    """Return the items of a list from a form; new rows without a name are dropped."""
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
    """Return the JSON object of a class's fields from a form."""
    hints = typing.get_type_hints(cls)
    return {
        each.name: read_value(
            hints[each.name], form, old.get(each.name), f"{prefix}.{each.name}"
        )
        for each in dataclasses.fields(cls)
    }


def read_value(kind, form, old, name):
    """Return the JSON value of one field from a form."""
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
    """Return the items of a list field from a form."""
    if item is KeyHash:
        return read_keys(form, old, name)
    if dataclasses.is_dataclass(item):
        return read_rows(item, form, old, name)
    return [line.strip() for line in form.get(name, "").splitlines() if line.strip()]


def read_keys(form, old, name):
    """Return the keys without the removed ones and with the hash of a new one."""
    kept = [
        key for index, key in enumerate(old) if not form.get(f"{name}.{index}.{REMOVE}")
    ]
    new = form.get(f"{name}.{NEW_KEY}", "").strip()
    if new:
        salt = secrets.token_hex(SALT_BYTES)
        kept.append({"salt": salt, "sha256": hash_key(salt, new)})
    return kept


def read_number(kind, text):
    """Return the number in a text, or the text itself if it holds none."""
    try:
        return kind(text)
    except ValueError:
        return text
