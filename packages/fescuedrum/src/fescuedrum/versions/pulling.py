"""Decide from whom to pull a newer version."""

PULL_TIMEOUT_SECONDS = 1.0


class PullThrottle:
    """Ask one peer for each new version, and another when that one stays silent.

    Many peers announce one version within milliseconds; without this each would be
    asked for the whole document.
    """

    __slots__ = ("asked_at", "asked_version")

    def __init__(self):
        self.asked_version = 0
        self.asked_at = 0.0

    def should_pull(self, announced, in_force, now):
        """Tell whether to pull a version that a peer announced, and remember it."""
        if announced <= in_force:
            return False
        waiting = now - self.asked_at < PULL_TIMEOUT_SECONDS
        if announced <= self.asked_version and waiting:
            return False
        self.asked_version = announced
        self.asked_at = now
        return True
