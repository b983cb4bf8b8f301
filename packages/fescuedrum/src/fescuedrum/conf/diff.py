"""Say in words how two documents differ, and merge changes made side by side.

Items of a list are matched by their names, never by their places: a reordered list is
no change. Hashes of keys are counted, never shown.
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
    """Say what happened to a part of the document."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(slots=True, frozen=True)
class Change:
    """Hold one difference: where, of which kind, and in words."""

    path: str
    kind: ChangeKind
    words: str

    def __str__(self):
        return self.words


def diff(before, after):
    """List the changes that lead from one document to another."""
    changes = []
    for field in dataclasses.fields(Document):
        compare_named(
            getattr(before, field.name), getattr(after, field.name), field.name, changes
        )
    return changes


def compare_named(before, after, field, changes, owner=""):
    olds = {item.name: item for item in before}
    news = {item.name: item for item in after}
    for name in [*olds, *(name for name in news if name not in olds)]:
        subject = f"{owner}{SINGULAR[field]} {name}"
        path = f"{field}/{name}"
        if name not in news:
            words = f"{subject} removed"
            changes.append(Change(path, ChangeKind.REMOVED, words))
        elif name not in olds:
            words = f"{subject} added{describe_new(news[name])}"
            changes.append(Change(path, ChangeKind.ADDED, words))
        else:
            compare_fields(olds[name], news[name], subject, path, changes)


def describe_new(item):
    """Name the fields of an added item that differ from their defaults."""
    parts = []
    for field in dataclasses.fields(item):
        value = getattr(item, field.name)
        if field.name != "name" and value not in (schema.get_default(field), []):
            parts.append(f"{spaced(field.name)} {show(value)}")
    return f" with {', '.join(parts)}" if parts else ""


def compare_fields(before, after, subject, path, changes):
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
            words = f"{subject}: {spaced(field.name)} {show_change(old, new)}"
            changes.append(Change(where, ChangeKind.CHANGED, words))


def is_named(item):
    return dataclasses.is_dataclass(item) and hasattr(item, "name")


def show_change(old, new):
    if not isinstance(old, list):
        return f"changed from {show(old)} to {show(new)}"
    parts = []
    for label, items in (
        ("added", [item for item in new if item not in old]),
        ("removed", [item for item in old if item not in new]),
    ):
        if items:
            parts.append(f"{label} {show(items)}")
    return "; ".join(parts) or f"put in the order {show(new)}"


def show(value):
    """Write a value for readers; hashes of keys are only counted."""
    if isinstance(value, list):
        if value and isinstance(value[0], KeyHash):
            return f"{len(value)} key{'s' if len(value) > 1 else ''}"
        return ", ".join(show(item) for item in value) or "none"
    if dataclasses.is_dataclass(value):
        return describe_new(value).removeprefix(" with ") or "defaults"
    return "none" if value in (None, "") else str(value)


def spaced(name):
    return name.replace("_", " ")


@dataclass(slots=True, frozen=True)
class Conflict:
    """Name a field that both sides changed, each to a value of its own."""

    path: str
    mine: str
    theirs: str


def merge(base, mine, theirs):
    """Merge two changes of one document: (document, conflicts).

    Where both changed one field differently, the merged document has their value
    and the conflict says what mine was.
    """
    conflicts = []
    merged = copy.deepcopy(theirs)
    for field in dataclasses.fields(Document):
        values = [getattr(side, field.name) for side in (base, mine, theirs)]
        setattr(merged, field.name, merge_named(*values, field.name, conflicts))
    return merged, conflicts


def merge_named(base, mine, theirs, field, conflicts):
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
    if any(map(is_named, [*base, *mine, *theirs])):
        return merge_named(base, mine, theirs, path, conflicts)
    kept = [item for item in theirs if item in mine or item not in base]
    return kept + [item for item in mine if item not in base and item not in kept]


def describe_side(value):
    return "removed" if value is None else show(value)
