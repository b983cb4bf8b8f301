"""Decide which process holds the lease on a singleton duty.

Load pattern: several processes compete for one duty, and any of them may be paused,
partitioned or replaced. Without a lease each would give its own orders. If clocks of
different hosts were compared, a process with a skewed clock could take a duty that is
still held. So a challenger measures with its own clock only how long the row's version
has not changed, and the holder counts its term from before it sent the renewal. A
holder paused past the end of its term may still act on the lease for a moment: its
orders carry the fencing number of its term, and receivers refuse numbers below the
highest they have seen.

Renewing three times per term tolerates two lost renewals in a row. The margin covers
timers of the two hosts that differ in rate by up to a tenth.
"""

from dataclasses import dataclass

RENEWALS_PER_TERM = 3
CLOCK_RATE_MARGIN = 0.1


@dataclass(slots=True, frozen=True)
class Acquire:
    """Acquire the lease if the row still has this version."""

    expected_version: int


@dataclass(slots=True, frozen=True)
class Renew:
    """Renew the lease if the row still has this version."""

    expected_version: int


@dataclass(slots=True, frozen=True)
class Wait:
    """Don't write the row: another process holds the lease."""


class LeaseTerm:
    """What one process knows of one lease row; times are loop time in seconds.

    holder is unique for each start of a process; duration is in seconds.
    """

    __slots__ = ("duration", "fence", "held_until", "holder", "seen_at", "version")

    def __init__(self, holder, duration):
        self.holder = holder
        self.duration = duration
        self.version = None
        self.seen_at = 0.0
        self.fence = None
        self.held_until = 0.0

    def holds(self, now):
        """Return whether this process may act as the holder."""
        return self.fence is not None and now < self.held_until

    def observe(self, holder, version, fence, now):
        """Update from a row that was read; now is when the store's answer came."""
        self.fence = fence if holder == self.holder else None
        if version != self.version:
            self.version = version
            # The row may have changed just before the answer, so a whole term counts
            # from now.
            self.seen_at = now

    def decide(self, holder, now):
        """Return the next action for the row that was just observed."""
        if holder == self.holder:
            return Renew(self.version)
        takeover_seconds = self.duration * (1 + CLOCK_RATE_MARGIN)
        if not holder or now - self.seen_at >= takeover_seconds:
            return Acquire(self.version)
        return Wait()

    def record_written(self, fence, version, sent_at):
        """Record that this process's write, sent at sent_at, is in the table."""
        self.fence = fence
        self.version = version
        self.seen_at = sent_at
        self.held_until = sent_at + self.duration

    def lost(self):
        """Record that another process changed the row."""
        self.fence = None
        self.held_until = 0.0

    @property
    def renewal_interval(self):
        """Return the seconds between two renewals."""
        return self.duration / RENEWALS_PER_TERM
