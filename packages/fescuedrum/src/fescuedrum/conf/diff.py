"""Describe the differences of two documents in words and merge concurrent changes.

Items of a list are matched by name, not by position, so a reordered list is no change.
Hashes of keys are counted and never shown.
"""

import copy
import dataclasses
import enum
from dataclasses import dataclass

from fescuedrum.conf import schema
from fescuedrum.conf.document.model import Document, KeyHash

SINGULAR = {
    "services": "service",
    "organisations": "organisation",
    "zones": "zone",
    "endpoints": "endpoint",
    "models": "model",
    "classes": "class",
    "sharing_rules": "sharing rule",
    "rank_groups": "rank group",
    "adapters": "adapter",
}


class ChangeKind(enum.StrEnum):
    """Say how a part of the document changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(slots=True, frozen=True)
class Change:
    """Hold a difference: its path, its kind and its description."""

    path: str
    kind: ChangeKind
    words: str

    def __str__(self):
        return self.words


def diff(before, after):
    """Return the changes that lead from one document to another."""
    changes = []
    for field in dataclasses.fields(Document):
        compare_named(
            getattr(before, field.name), getattr(after, field.name), field.name, changes
        )
    return changes


def compare_named(before, after, field, changes, owner=""):
    """Append the changes between two lists of named items."""
    old_items = {item.name: item for item in before}
    new_items = {item.name: item for item in after}
    for name in [*old_items, *(name for name in new_items if name not in old_items)]:
        subject = f"{owner}{SINGULAR[field]} {name}"
        path = f"{field}/{name}"
        if name not in new_items:
            words = f"{subject} removed"
            changes.append(Change(path, ChangeKind.REMOVED, words))
        elif name not in old_items:
            words = f"{subject} added{describe_new(new_items[name])}"
            changes.append(Change(path, ChangeKind.ADDED, words))
        else:
            compare_fields(old_items[name], new_items[name], subject, path, changes)


def describe_new(item):
    """Return the fields of an added item that differ from their defaults, in words."""
    parts = []
    for field in dataclasses.fields(item):
        value = getattr(item, field.name)
        if field.name != "name" and value not in (schema.get_default(field), []):
            parts.append(f"{with_spaces(field.name)} {format_value(value)}")
    return f" with {', '.join(parts)}" if parts else ""


def compare_fields(before, after, subject, path, changes):
    """Append the changes between the fields of two objects."""
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        where = f"{path}/{field.name}"
        if field.name in SINGULAR and any(map(is_named, [*old, *new])):
            compare_named(old, new, field.name, changes, owner=f"{subject}: ")
        elif dataclasses.is_dataclass(old):
            compare_fields(old, new, subject, where, changes)
        else:
            words = f"{subject}: {with_spaces(field.name)} {format_change(old, new)}"
            changes.append(Change(where, ChangeKind.CHANGED, words))


def is_named(item):
    """Return whether an item is an object with a name."""
    return dataclasses.is_dataclass(item) and hasattr(item, "name")


def format_change(old, new):
    """Return the description of a changed value."""
    if not isinstance(old, list):
        return f"changed from {format_value(old)} to {format_value(new)}"
    parts = []
    for label, items in (
        ("added", [item for item in new if item not in old]),
        ("removed", [item for item in old if item not in new]),
    ):
        if items:
            parts.append(f"{label} {format_value(items)}")
    return "; ".join(parts) or f"put in the order {format_value(new)}"


def format_value(value):
    """Return a value as text; hashes of keys are only counted."""
    if isinstance(value, list):
        if value and isinstance(value[0], KeyHash):
            return f"{len(value)} key{'s' if len(value) > 1 else ''}"
        return ", ".join(format_value(item) for item in value) or "none"
    if dataclasses.is_dataclass(value):
        return describe_new(value).removeprefix(" with ") or "defaults"
    return "none" if value in (None, "") else str(value)


def with_spaces(name):
    """Return a field's name with spaces instead of underscores."""
    return name.replace("_", " ")


@dataclass(slots=True, frozen=True)
class Conflict:
    """Hold a field that both sides changed to different values."""

    path: str
    mine: str
    theirs: str


def merge(base, mine, theirs):
    """Merge two changed versions of a document; return (document, conflicts).

    Where both changed a field to different values, the merged document has the value of
    theirs and the conflict holds both.
    """
    conflicts = []
    merged = copy.deepcopy(theirs)
    for field in dataclasses.fields(Document):
        values = [getattr(side, field.name) for side in (base, mine, theirs)]
        setattr(merged, field.name, merge_named(*values, field.name, conflicts))
    return merged, conflicts


def merge_named(base, mine, theirs, field, conflicts):
    """Return the merged list of named items and append to conflicts."""
    bases, ours, others = (
        {item.name: item for item in side} for side in (base, mine, theirs)
    )
    merged = []
    for name in dict.fromkeys([*others, *ours]):
        sides = [side.get(name) for side in (bases, ours, others)]
        chosen = merge_value(*sides, f"{field}/{name}", conflicts)
        if chosen is not None:
            merged.append(copy.deepcopy(chosen))
    return merged


def merge_value(base, mine, theirs, path, conflicts):
    """Return the merged value and append to conflicts."""
    if mine in (base, theirs):
        return theirs
    if theirs == base:
        return mine
    if all(map(dataclasses.is_dataclass, (base, mine, theirs))):
        merged = copy.deepcopy(theirs)
        for field in dataclasses.fields(theirs):
            values = [getattr(side, field.name) for side in (base, mine, theirs)]
            where = f"{path}/{field.name}"
            setattr(merged, field.name, merge_value(*values, where, conflicts))
        return merged
    if all(isinstance(side, list) for side in (base, mine, theirs)):
        return merge_lists(base, mine, theirs, path, conflicts)
    conflicts.append(Conflict(path, describe_side(mine), describe_side(theirs)))
    return theirs


def merge_lists(base, mine, theirs, path, conflicts):
    """Return the merged list; items that either side removed are left out."""
    if any(map(is_named, [*base, *mine, *theirs])):
        return merge_named(base, mine, theirs, path, conflicts)
    kept = [item for item in theirs if item in mine or item not in base]
    return kept + [item for item in mine if item not in base and item not in kept]


def describe_side(value):
    """Return a side's value of a conflict as text."""
    return "removed" if value is None else format_value(value)
