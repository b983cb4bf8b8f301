"""Describe data classes as JSON Schema and as Markdown reference pages."""

import dataclasses
import enum
import inspect
import types
import typing

from fescuedrum.conf import schema

DIALECT = "https://json-schema.org/draft/2020-12/schema"
SCALAR_TYPES = {str: "string", int: "integer", float: "number", bool: "boolean"}


def json_schema(cls, title):
    """Return the JSON Schema of a data class and the classes it contains."""
    definitions = {}
    describe_type(cls, {}, definitions)
    return {
        "$schema": DIALECT,
        "title": title,
        "$ref": f"#/$defs/{cls.__name__}",
        "$defs": dict(sorted(definitions.items())),
    }


def describe_type(kind, metadata, definitions):
    """Return the JSON Schema of a type; add its classes to definitions."""
    origin = typing.get_origin(kind)
    if origin is types.UnionType:
        inner = describe_type(optional_of(kind), metadata, definitions)
        return {"anyOf": [inner, {"type": "null"}]}
    if origin is list:
        (item,) = typing.get_args(kind)
        return {"type": "array", "items": describe_type(item, {}, definitions)}
    if origin is dict:
        _, item = typing.get_args(kind)
        values = describe_type(item, {}, definitions)
        return {"type": "object", "additionalProperties": values}
    if dataclasses.is_dataclass(kind):
        if kind.__name__ not in definitions:
            definitions[kind.__name__] = None
            definitions[kind.__name__] = describe_class(kind, definitions)
        return {"$ref": f"#/$defs/{kind.__name__}"}
    if issubclass(kind, enum.Enum):
        return {"enum": [member.value for member in kind]}
    return describe_scalar(kind, metadata)


def describe_scalar(kind, metadata):
    """Return the JSON Schema of a scalar with its bounds."""
    described = {"type": SCALAR_TYPES[kind]}
    for bound in ("minimum", "maximum"):
        if metadata.get(bound) is not None:
            described[bound] = metadata[bound]
    return described


def describe_class(cls, definitions):
    """Return the JSON Schema of a data class."""
    hints = typing.get_type_hints(cls)
    properties = {}
    required = []
    for field in dataclasses.fields(cls):
        described = describe_type(hints[field.name], field.metadata, definitions)
        described["description"] = field.metadata["help"]
        default = schema.get_default(field)
        if default is schema.MISSING:
            required.append(field.name)
        else:
            described["default"] = schema.dump(default)
        properties[field.name] = described
    return {
        "type": "object",
        "description": first_line(cls),
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def reference_page(cls, title, introduction):
    """Return a Markdown page with a table for each class."""
    lines = [f"# {title}", "", introduction]
    for each in [cls, *nested_classes(cls)]:
        lines += ["", f"## {each.__name__}", "", first_line(each), ""]
        lines += ["| field | type | default | meaning |", "|---|---|---|---|"]
        lines += [describe_row(each, field) for field in dataclasses.fields(each)]
    return "\n".join(lines) + "\n"


def describe_row(cls, field):
    """Return the table row of a field."""
    kind = typing.get_type_hints(cls)[field.name]
    default = schema.get_default(field)
    shown = "required" if default is schema.MISSING else f"`{schema.dump(default)}`"
    meaning = field.metadata["help"] + describe_bounds(field.metadata)
    return f"| `{field.name}` | {type_name(kind)} | {shown} | {meaning} |"


def describe_bounds(metadata):
    """Return a field's bounds and unit in parentheses."""
    parts = []
    for bound in ("minimum", "maximum", "unit"):
        if metadata.get(bound) not in (None, ""):
            parts.append(f"{bound} {metadata[bound]}")
    return f" ({', '.join(parts)})" if parts else ""


def type_name(kind):
    """Return the name of a type for the reference page."""
    origin = typing.get_origin(kind)
    if origin is types.UnionType:
        return f"{type_name(optional_of(kind))} or null"
    if origin is list:
        return f"list of {type_name(typing.get_args(kind)[0])}"
    if dataclasses.is_dataclass(kind):
        return f"[{kind.__name__}](#{kind.__name__.lower()})"
    if issubclass(kind, enum.Enum):
        return ", ".join(f"`{member.value}`" for member in kind)
    return SCALAR_TYPES[kind]


def nested_classes(cls):
    """Return the data classes nested in a class, in the order of first use."""
    found = []
    for kind in typing.get_type_hints(cls).values():
        for inner in [kind, *typing.get_args(kind)]:
            if dataclasses.is_dataclass(inner) and inner not in found:
                found += [inner]
                found += [each for each in nested_classes(inner) if each not in found]
    return found


def optional_of(kind):
    """Return the inner type of an optional type."""
    return next(arg for arg in typing.get_args(kind) if arg is not types.NoneType)


def first_line(cls):
    """Return the first line of a class's docstring."""
    return inspect.getdoc(cls).splitlines()[0]
