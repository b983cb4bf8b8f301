"""Decide from which peer to pull a newer version."""

PULL_TIMEOUT_SECONDS = 1.0


class PullThrottle:
    """Pull each new version from one peer, and from another if that one is silent.

    Many peers announce the same version within milliseconds. Without the limit, the
    whole document would be requested from each of them.
    """

    __slots__ = ("requested_at", "requested_version")

    def __init__(self):
        self.requested_version = 0
        self.requested_at = 0.0

    def should_pull(self, announced, in_force, now):
        """Return whether to pull a version that a peer announced, and remember it."""
        if announced <= in_force:
            return False
        is_waiting = now - self.requested_at < PULL_TIMEOUT_SECONDS
        if announced <= self.requested_version and is_waiting:
            return False
        self.requested_version = announced
        self.requested_at = now
        return True
