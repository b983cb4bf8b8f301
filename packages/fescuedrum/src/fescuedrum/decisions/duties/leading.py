"""Choose which of many processes performs a duty that only one should perform.

Load pattern: expert maps of tens of kilobytes are sent to every rank of a group at
once, two or three times in ten seconds, and every stream is late until they have
arrived. On a narrow link the transfer takes as long as everything else together. So
the process with the widest link is preferred, then the lowest address.

The order is fixed. When all processes are restarted in turn, the first one passes the
duty on when it stops and takes it back when it returns, and the other restarts change
nothing. If the longest running process were preferred, each restart of the oldest one
would pass the duty on again, and each new holder must first learn the demand.

All processes compute the same order from what each process reports about itself. When
some of them can't hear others, there is more than one holder, so the duty must be safe
to perform twice.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Candidate:
    """Address and link speed that a process reports about itself."""

    host: str
    link_megabits: float

    @property
    def sort_key(self):
        """Return the sort key of the candidate; the lowest is preferred."""
        return (-self.link_megabits, self.host)


def is_leader(own, others):
    """Return whether a candidate comes before all others in the order."""
    return all(own.sort_key < other.sort_key for other in others)
