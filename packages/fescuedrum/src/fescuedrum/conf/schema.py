"""Build data classes from JSON; report each error with its path and remedy."""

import dataclasses
import enum
import sys
import types
import typing

from result import Err, Ok

from fescuedrum import checks

MISSING = dataclasses.MISSING
SCALARS = {str: "a string", int: "a whole number", float: "a number", bool: "a boolean"}


def setting(default=MISSING, *, help, minimum=None, maximum=None, unit=""):
    """Declare a field of a settings or document class; help is its description."""
    metadata = {"help": help, "minimum": minimum, "maximum": maximum, "unit": unit}
    if callable(default):
        return dataclasses.field(default_factory=default, metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def load(cls, data):
    """Build cls from decoded JSON; return Ok(instance) or Err(findings)."""
    findings = []
    instance = build(cls, data, "$", findings)
    if findings:
        return Err(findings)
    return Ok(instance)


def build(kind, data, path, findings, metadata=None):
    """Return data as a value of a type, or None after appending findings."""
    origin = typing.get_origin(kind)
    if origin is types.UnionType:
        return build_optional(kind, data, path, findings, metadata)
    if origin is list:
        return build_list(kind, data, path, findings)
    if origin is dict:
        return build_mapping(kind, data, path, findings)
    if dataclasses.is_dataclass(kind):
        return build_object(kind, data, path, findings)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return build_choice(kind, data, path, findings)
    return build_scalar(kind, data, path, findings, metadata or {})


def build_optional(kind, data, path, findings, metadata):
    """Return None for null, else the value of the inner type."""
    if data is None:
        return None
    inner = next(arg for arg in typing.get_args(kind) if arg is not types.NoneType)
    return build(inner, data, path, findings, metadata)


def build_list(kind, data, path, findings):
    """Return a list of built items."""
    if not isinstance(data, list):
        findings.append(wrong_type(path, "a list"))
        return None
    (item,) = typing.get_args(kind)
    return [
        build(item, value, f"{path}[{index}]", findings)
        for index, value in enumerate(data)
    ]


def build_mapping(kind, data, path, findings):
    """Return a dict of built values."""
    if not isinstance(data, dict):
        findings.append(wrong_type(path, "an object"))
        return None
    _, item = typing.get_args(kind)
    return {
        name: build(item, value, f"{path}.{name}", findings)
        for name, value in data.items()
    }


def build_choice(kind, data, path, findings):
    """Return a member of an enumeration."""
    choices = [member.value for member in kind]
    if data in choices:
        return kind(data)
    names = ", ".join(str(choice) for choice in choices)
    findings.append(
        checks.error(
            "conf.E004",
            path,
            f"{data!r} isn't a valid choice.",
            f"Use one of {names}.",
        )
    )
    return None


def build_object(kind, data, path, findings):
    """Return an instance of a data class."""
    if not isinstance(data, dict):
        findings.append(wrong_type(path, "an object"))
        return None
    hints = typing.get_type_hints(kind)
    fields = {field.name: field for field in dataclasses.fields(kind)}
    report_unknown(data, fields, path, findings)
    values = {}
    for name, field in fields.items():
        where = f"{path}.{name}"
        if name in data:
            values[name] = build(
                hints[name], data[name], where, findings, field.metadata
            )
        elif field.default is MISSING and field.default_factory is MISSING:
            findings.append(
                checks.error(
                    "conf.E001", where, "The field is missing.", describe_field(field)
                )
            )
    if any(finding.path.startswith(path) for finding in findings):
        return None
    return kind(**values)


def report_unknown(data, fields, path, findings):
    """Append a finding for each field that the class does not have."""
    known = ", ".join(sorted(fields))
    for name in data:
        if name not in fields:
            findings.append(
                checks.error(
                    "conf.E002",
                    f"{path}.{name}",
                    "The field is unknown.",
                    f"Remove it, or use one of {known}.",
                )
            )


def build_scalar(kind, data, path, findings, metadata):
    """Return a string, number or boolean within its range."""
    if kind is float and type(data) is int and abs(data) <= sys.float_info.max:
        data = float(data)
    if type(data) is not kind:
        findings.append(wrong_type(path, SCALARS[kind]))
        return None
    minimum, maximum = metadata.get("minimum"), metadata.get("maximum")
    too_low = minimum is not None and data < minimum
    too_high = maximum is not None and data > maximum
    if too_low or too_high:
        findings.append(
            checks.error(
                "conf.E005",
                path,
                f"{data} is out of range.",
                f"Use a value from {minimum} to {maximum}.",
            )
        )
        return None
    return data


def wrong_type(path, expected):
    """Return the finding for a value of a wrong type."""
    return checks.error(
        "conf.E003", path, f"The value is not {expected}.", f"Write {expected}."
    )


def describe_field(field):
    """Return the help of a field as the hint to give it a value."""
    return field.metadata.get("help", f"Give a value for {field.name}.")


def dump_non_default(instance):
    """Return a data class as JSON values, without fields at their default."""
    if dataclasses.is_dataclass(instance):
        return {
            field.name: dump_non_default(getattr(instance, field.name))
            for field in dataclasses.fields(instance)
            if getattr(instance, field.name) != get_default(field)
        }
    if isinstance(instance, list):
        return [dump_non_default(item) for item in instance]
    return dump(instance)


def get_default(field):
    """Return a field's default, or MISSING if it has none."""
    if field.default_factory is not MISSING:
        return field.default_factory()
    return field.default


def dump(instance):
    """Return a data class as JSON values."""
    if dataclasses.is_dataclass(instance):
        return {
            field.name: dump(getattr(instance, field.name))
            for field in dataclasses.fields(instance)
        }
    if isinstance(instance, enum.Enum):
        return instance.value
    if isinstance(instance, list | tuple):
        return [dump(item) for item in instance]
    if isinstance(instance, dict):
        return {name: dump(item) for name, item in instance.items()}
    return instance
