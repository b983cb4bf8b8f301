"""Define the durations and sizes of each kind of run and the length of streams."""

import enum
import random
from dataclasses import dataclass, replace

EVENT_SECONDS = 0.04
CALM_EVENT_SECONDS = 0.1


class RunKind(enum.StrEnum):
    """List the kinds of run."""

    # Random faults and planned work.
    FAULTS = "faults"
    # Planned work only, with many stops: no truncated response is allowed.
    STOPS = "stops"
    # Faults of the gateway that manages a group of ranks, and late orders to ranks.
    GROUPS = "groups"
    # More demand than a service with two groups of ranks can serve, with faults.
    DEMAND = "demand"
    # Endpoints end at prompts with certain parts, beside other faults.
    PARTS = "parts"
    # Endpoints end at requests that their callers send again, or as in a release.
    REPEATS = "repeats"


class RequestKind(enum.StrEnum):
    """List the kinds of request; the value is the first part of the path."""

    ONCE = "once"
    AGAIN = "again"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Conditions:
    """Hold the constant parameters of a run; times are in seconds."""

    kind: RunKind
    # Default duration of faults and planned work.
    seconds: float
    # Configured time of a process from the stop signal to its end.
    stop_seconds: float
    # Deadline of a caller's request and timeout of each route.
    patience_seconds: float
    # Longest pause of a caller between two requests.
    think_seconds: float
    callers: int
    # The kind of each request is drawn from these.
    requests: tuple[RequestKind, ...]
    # Concurrent requests of an endpoint.
    slots: int
    event_interval_seconds: float
    fewest_events: int
    most_events: int


# The stop time is shorter than the callers' patience, so that a stopping gateway has to
# refuse requests that no longer fit. Responses are short, so that each fault affects
# many requests.
FAULTS = Conditions(
    kind=RunKind.FAULTS,
    seconds=20.0,
    stop_seconds=2.5,
    patience_seconds=4.0,
    think_seconds=0.05,
    callers=6,
    requests=tuple(RequestKind),
    slots=8,
    event_interval_seconds=EVENT_SECONDS,
    fewest_events=12,
    most_events=12,
)
# As on the users' sites: a process has 8 s to stop, half of the streams last more than
# 2 s and none much more than 4 s, and connections are idle for seconds between
# requests.
STOPS = Conditions(
    kind=RunKind.STOPS,
    seconds=16.0,
    stop_seconds=8.0,
    patience_seconds=8.0,
    think_seconds=1.5,
    callers=48,
    requests=(*RequestKind, RequestKind.STREAM),
    slots=48,
    event_interval_seconds=CALM_EVENT_SECONDS,
    fewest_events=3,
    most_events=40,
)
# A stopping gateway may be in the middle of a map change.
GROUPS = replace(FAULTS, kind=RunKind.GROUPS, stop_seconds=4.0)
# Long enough for 100 requests of each priority that no fault touches. The stop time
# is shorter than the patience, as in FAULTS.
DEMAND = replace(
    FAULTS,
    kind=RunKind.DEMAND,
    seconds=30.0,
    stop_seconds=4.0,
    patience_seconds=8.0,
    callers=1,
    fewest_events=6,
    most_events=6,
)
# Long enough for the bounds that hold 3 and 6 s after the fifth end of an endpoint.
PARTS = replace(
    FAULTS,
    kind=RunKind.PARTS,
    seconds=22.0,
    callers=1,
    requests=(RequestKind.STREAM,),
)
REPEATS = replace(PARTS, kind=RunKind.REPEATS, seconds=16.0)
CONDITIONS = {
    each.kind: each for each in (FAULTS, STOPS, GROUPS, DEMAND, PARTS, REPEATS)
}


class Streams:
    """Compute the length and body of each request's stream from the seed."""

    def __init__(self, seed, conditions):
        self.seed = seed
        self.conditions = conditions

    def event_count(self, request_id):
        """Return the number of events of a request's stream."""
        rng = random.Random(f"{self.seed}/{request_id}")
        return rng.randint(self.conditions.fewest_events, self.conditions.most_events)

    def event(self, request_id, number):
        """Return one event of a request's stream."""
        return encode_event(request_id, number)

    def body(self, request_id):
        """Return the whole stream of a request."""
        numbers = range(1, self.event_count(request_id) + 1)
        return b"".join(self.event(request_id, number) for number in numbers)


def encode_event(request_id, number):
    """Return one server-sent event of a request's stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()
