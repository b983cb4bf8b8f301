"""Say how long things last in each kind of run, and how long each stream is."""

import enum
import random
from dataclasses import dataclass

EVENT_SECONDS = 0.04
CALM_EVENT_SECONDS = 0.1


class RunKind(enum.StrEnum):
    """Name the kinds of run."""

    # Faults and planned work at random.
    FAULTS = "faults"
    # Planned work only, among it many stops: nothing explains an answer that is cut.
    STOPS = "stops"


class Kind(enum.StrEnum):
    """Name the kinds of request by their path."""

    ONCE = "once"
    AGAIN = "again"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Conditions:
    """Hold what holds throughout a run; times are in seconds."""

    kind: RunKind
    # How long work goes on unless the command line says otherwise.
    seconds: float
    # What a process is told that it has from the signal to its end.
    stop: float
    # How long a caller waits, and the operators let it.
    patience: float
    # Longest pause of a caller between two requests.
    think: float
    callers: int
    # One of these is drawn for each request.
    requests: tuple[Kind, ...]
    # Requests that an endpoint runs at a time.
    slots: int
    event_pause: float
    fewest_events: int
    most_events: int


# A stop is shorter than the patience of callers, so that stops are seen to refuse what
# no longer fits. Answers are short, so that many requests meet each fault.
FAULTS = Conditions(
    kind=RunKind.FAULTS,
    seconds=20.0,
    stop=2.5,
    patience=4.0,
    think=0.05,
    callers=6,
    requests=tuple(Kind),
    slots=8,
    event_pause=EVENT_SECONDS,
    fewest_events=12,
    most_events=12,
)
# As on the users' sites: a process has 8 s, half of the streams last above 2 s and none
# much above 4, and connections rest for seconds between their requests.
STOPS = Conditions(
    kind=RunKind.STOPS,
    seconds=16.0,
    stop=8.0,
    patience=8.0,
    think=1.5,
    callers=48,
    requests=(*Kind, Kind.STREAM),
    slots=48,
    event_pause=CALM_EVENT_SECONDS,
    fewest_events=3,
    most_events=40,
)
CONDITIONS = {each.kind: each for each in (FAULTS, STOPS)}


class Streams:
    """Give each request's stream its length, which follows from the seed."""

    def __init__(self, seed, conditions):
        self.seed = seed
        self.conditions = conditions

    def count(self, request_id):
        """Return how many events the stream has."""
        chance = random.Random(f"{self.seed}/{request_id}")
        return chance.randint(
            self.conditions.fewest_events, self.conditions.most_events
        )

    def body(self, request_id):
        """Return the whole stream as bytes."""
        numbers = range(1, self.count(request_id) + 1)
        return b"".join(event(request_id, number) for number in numbers)


def event(request_id, number):
    """Return one event of a request's stream, as bytes."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()
