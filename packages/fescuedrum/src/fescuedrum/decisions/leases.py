"""Decide who holds the lease on a singleton duty.

Load pattern: several processes want one duty, and any of them may be paused, cut off
or replaced. Without a lease each would give its own orders; with clocks compared
between hosts a skewed one would take a duty that is still held. So a challenger
measures, by its own clock alone, how long the row's version has stood still, and the
holder counts its time from before it sent the renewal. A holder paused past its time
may still believe in its lease for a moment: its orders carry the fencing number of
its term, and receivers refuse numbers below the highest they have seen.

Renewing three times in a term lets two renewals in a row be lost. The margin covers
timers of the two hosts that run up to a tenth apart.
"""

from dataclasses import dataclass

RENEWALS_PER_TERM = 3
CLOCK_RATE_MARGIN = 0.1


@dataclass(slots=True, frozen=True)
class Acquire:
    """Try to become the holder if the row still has this version."""

    expected_version: int


@dataclass(slots=True, frozen=True)
class Renew:
    """Try to stay the holder if the row still has this version."""

    expected_version: int


@dataclass(slots=True, frozen=True)
class Wait:
    """Leave the row alone: someone else holds the lease."""


class LeaseTerm:
    """Hold one process's knowledge of one lease row.

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
        """Tell whether this process may act as the holder."""
        return self.fence is not None and now < self.held_until

    def observe(self, holder, version, fence, now):
        """Take in a row whose answer came at this time."""
        self.fence = fence if holder == self.holder else None
        if version != self.version:
            self.version = version
            # A row that may have changed just before the answer gets a whole term.
            self.seen_at = now

    def decide(self, holder, now):
        """Choose what to do about a row that was just observed."""
        if holder == self.holder:
            return Renew(self.version)
        patience = self.duration * (1 + CLOCK_RATE_MARGIN)
        if not holder or now - self.seen_at >= patience:
            return Acquire(self.version)
        return Wait()

    def record_written(self, fence, version, sent_at):
        """Note that a write of ours, sent at that time, is in the table."""
        self.fence = fence
        self.version = version
        self.seen_at = sent_at
        self.held_until = sent_at + self.duration

    def lost(self):
        """Note that someone else changed the row."""
        self.fence = None
        self.held_until = 0.0

    @property
    def renewal_interval(self):
        """Return the seconds between two renewals."""
        return self.duration / RENEWALS_PER_TERM
