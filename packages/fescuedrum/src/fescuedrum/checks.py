"""Describe what a check of settings or of the configuration found."""

import enum
from dataclasses import dataclass


class Level(enum.IntEnum):
    """Order findings by weight; an error stops what is being checked."""

    WARNING = 30
    ERROR = 40


@dataclass(slots=True, frozen=True)
class Finding:
    """Hold one finding: a stable id, the field's path, what is wrong, the remedy."""

    level: Level
    id: str
    path: str
    message: str
    hint: str

    def __str__(self):
        return f"{self.path}: ({self.id}) {self.message} Hint: {self.hint}"


def error(id, path, message, hint):
    return Finding(Level.ERROR, id, path, message, hint)


def warning(id, path, message, hint):
    return Finding(Level.WARNING, id, path, message, hint)


def has_errors(findings):
    return any(finding.level >= Level.ERROR for finding in findings)
