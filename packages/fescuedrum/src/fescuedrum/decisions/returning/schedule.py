"""Spread the callers that a service refuses over the time in which they may return.

Load pattern: a group of engines is down for seconds, or full, and thousands of callers
are told to return. Told the same time, they meet a full group together and are refused
for the second and last time. Each gateway counts how many callers it has told to return
in each quarter of a second, and compares this with its part of the places that become
free then.

The end of an outage is not known, so callers of all ranks return as late as they may.
If the urgent ones returned earlier, they would be served less often after a long
outage; if later, after a short one, as the others fill the group first.

If a service is only full, its places become free at a known rate, and a caller returns
as early as there is room, but late enough to be told from a new caller; otherwise it
takes the place of one.
"""

import enum
import math
import random
from dataclasses import dataclass, field

from fescuedrum.decisions.returning.returns import (
    LONGEST_WAIT_SHARE,
    retry_delay,
)

QUARTER_SECONDS = 0.25
HORIZON_SECONDS = 3.0
EARLIEST_SECONDS = 0.2
# Quarters with the most room among which one is drawn.
EMPTIEST = 3


class When(enum.StrEnum):
    """Reasons for the time that a caller is told."""

    OUTAGE = "outage"
    ROOM = "room"
    NO_ROOM = "no-room"


@dataclass(slots=True, frozen=True)
class ServiceState:
    """What a gateway knows of a service when it refuses a caller."""

    is_down: bool
    # This gateway's part of the places that become free, and its own new callers.
    free_per_second: float = 0.0
    demand_per_second: float = 0.0

    @property
    def room(self) -> float:
        """Return how many returning callers a quarter has room for."""
        room = (self.free_per_second - self.demand_per_second) * QUARTER_SECONDS
        return room if math.isfinite(room) else 0.0


@dataclass(slots=True, frozen=True)
class Told:
    """The seconds after which a caller is told to return, and the reason."""

    seconds: float
    when: When


@dataclass(slots=True)
class ReturnLedger:
    """Callers told to return, by quarter of a second of the next HORIZON_SECONDS."""

    assigned: dict[int, int] = field(default_factory=dict)

    def add(self, at: float, now: float) -> None:
        """Count a caller that returns at a time; drop the quarters that are past."""
        if at - now > HORIZON_SECONDS:
            return
        present = quarter_of(now)
        if any(quarter < present for quarter in self.assigned):
            kept = {key: n for key, n in self.assigned.items() if key >= present}
            self.assigned = kept
        quarter = quarter_of(at)
        self.assigned[quarter] = self.assigned.get(quarter, 0) + 1

    def count(self, quarter: int) -> int:
        """Return how many callers return in a quarter."""
        return self.assigned.get(quarter, 0)


def quarter_of(at: float) -> int:
    """Return the number of the quarter of a second that a time is in."""
    return math.floor(at / QUARTER_SECONDS)


def tell_return(
    patience: float,
    now: float,
    state: ServiceState,
    ledger: ReturnLedger,
    generator: random.Random,
    *,
    recognised_after: float = 0.0,
) -> Told:
    """Return when a refused new caller should return, and count it in the ledger.

    recognised_after is the wait from which on it is told from a new caller.
    """
    if state.is_down:
        told = Told(retry_delay(patience, generator), When.OUTAGE)
    else:
        earliest = max(EARLIEST_SECONDS, recognised_after)
        told = tell_room(patience, now, state.room, ledger, generator, earliest)
    ledger.add(now + told.seconds, now)
    return told


def tell_room(patience, now, room, ledger, generator, earliest) -> Told:
    """Return when a caller should return to a service that is only full."""
    first = now + earliest
    last = now + min(patience * LONGEST_WAIT_SHARE, HORIZON_SECONDS)
    quarter = choose_quarter(first, last, room, ledger, generator)
    if quarter is None:
        return Told(retry_delay(patience, generator), When.NO_ROOM)
    begin = max(quarter * QUARTER_SECONDS, first)
    end = min((quarter + 1) * QUARTER_SECONDS, last)
    # Sums of large clock readings may round to just outside the span.
    seconds = generator.uniform(begin, end) - now
    return Told(min(max(seconds, earliest), last - now), When.ROOM)


def choose_quarter(first, last, room, ledger, generator) -> int | None:
    """Return one of the emptiest quarters between two times; None if all are full.

    Of equally empty quarters the earlier ones are drawn.
    """
    if first >= last:
        return None
    quarters = range(quarter_of(first), quarter_of(last) + 1)
    # Room for a part of a caller admits one that often.
    needed = 1.0 - generator.random()
    free = [each for each in quarters if room - ledger.count(each) >= needed]
    if not free:
        return None
    emptiest = sorted(free, key=lambda each: (ledger.count(each), each))[:EMPTIEST]
    return generator.choice(emptiest)
