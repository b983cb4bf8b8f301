"""Choose which of many processes has a duty that only one should have.

Load pattern: expert maps of tens of kilobytes go to every rank of a group at once, two
or three times in ten seconds, and until they have arrived every stream is late. On a
narrow link that takes as long as all else together. So the widest link goes first, then
the order of addresses.

The order is fixed: where all processes are restarted in turn, the first hands the duty
on when it stops and takes it back when it returns, and the rest of the restarts change
nothing. With the one that has run longest in front, each restart of the oldest would
hand it on once more, and each new holder has to learn demand first.

All processes order alike by what each says of itself. Where some don't hear others
there is more than one holder; what they do must be safe then.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Candidate:
    """Hold what a process says of itself."""

    host: str
    link_megabits: float

    @property
    def sort_key(self):
        """Return where it stands in the order; the least is first."""
        return (-self.link_megabits, self.host)


def is_leader(own, others):
    """Tell whether a candidate stands before all others."""
    return all(own.sort_key < other.sort_key for other in others)
