"""Define the findings that checks of settings and of the configuration return."""

import enum
from dataclasses import dataclass


class Level(enum.IntEnum):
    """Order findings by severity; an error rejects what is checked."""

    WARNING = 30
    ERROR = 40


@dataclass(slots=True, frozen=True)
class Finding:
    """Hold a finding: severity, stable id, the field's path, message and remedy."""

    level: Level
    id: str
    path: str
    message: str
    hint: str

    def __str__(self):
        return f"{self.path}: ({self.id}) {self.message} Hint: {self.hint}"


def error(id, path, message, hint):
    """Return a finding that rejects what is checked."""
    return Finding(Level.ERROR, id, path, message, hint)


def warning(id, path, message, hint):
    """Return a finding that is only reported."""
    return Finding(Level.WARNING, id, path, message, hint)


def has_errors(findings):
    """Return whether one of the findings is an error."""
    return any(finding.level >= Level.ERROR for finding in findings)
