"""Choose the endpoint of a request among few endpoints that many entries share.

Load pattern: a dozen engines advance in lock-step, and the fullest of them determines
the speed of all. Entries choose independently; each knows its own requests at once, and
those of the others some tens of milliseconds later. Choosing by own counts alone stacks
requests of several entries on one engine, and every stream in the group slows down. So
the endpoint with the lowest sum of all entries' counts is chosen; among equals the one
with the fewest prompt tokens still to be read, then a random one, so that entries that
choose at the same moment spread out.

When there are many entries, only those of one zone send each other their counts
promptly (fescuedrum.decisions.duties.meshes). Then endpoints of the entry's own zone
are preferred, and those of other zones get the requests that these have no capacity
for. With outdated counts, all entries would take the same few endpoints for the least
loaded ones until new counts arrive. So among endpoints of other zones, or in a zone of
very many entries, the least loaded of a few random ones is chosen (Mitzenmacher: The
Power of Two Choices in Randomized Load Balancing, 2001).

An endpoint that can't be connected to is excluded for a pause that doubles with each
consecutive failure, unless all are excluded. A cold endpoint fails when it gets too
many requests within a second; each entry keeps to its share of that limit
(fescuedrum.decisions.placing.coldness), and to its share of the rate limit that an
endpoint may announce (fescuedrum.decisions.placing.ratelimits). Such an endpoint stays
in its group; only new requests go elsewhere.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from fescuedrum.decisions.duties import meshes
from fescuedrum.decisions.placing import coldness, ratelimits
from fescuedrum.decisions.returning.retries import SlidingCount

FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 4.0
CANDIDATE_SAMPLE_SIZE = 4
RECENT_REFUSAL_SECONDS = 0.5
REFUSING_ENDPOINTS = 2


@dataclass(slots=True)
class Load:
    """Number of requests at one endpoint, and of prompt tokens still to be read."""

    requests: int = 0
    unread_tokens: int = 0
    # Tokens that the requests hold there or may still generate.
    tokens: int = 0


@dataclass(slots=True, eq=False)
class EndpointHistory:
    """This entry's requests at one endpoint, and the endpoint's recent failures."""

    own: Load = field(default_factory=Load)
    failures: int = 0
    avoided_until: float = 0.0
    # Requests sent in the last second, and in the last window of rate limits.
    arrivals: SlidingCount = field(
        default_factory=lambda: SlidingCount(coldness.WINDOW_SECONDS)
    )
    rated_arrivals: SlidingCount = field(
        default_factory=lambda: SlidingCount(ratelimits.WINDOW_SECONDS)
    )

    def sent(self, now: float) -> None:
        """Count a request that is sent to the endpoint."""
        self.arrivals.add(now)
        self.rated_arrivals.add(now)

    def failed(self, now):
        """Exclude the endpoint for a pause that doubles with each failure."""
        pause = min(FIRST_PAUSE_SECONDS * 2**self.failures, LONGEST_PAUSE_SECONDS)
        self.failures = min(self.failures + 1, 10)
        self.avoided_until = now + pause

    def succeeded(self):
        """End the exclusion after a successful connection."""
        self.failures = 0
        self.avoided_until = 0.0


class RecentRefusals:
    """Distinguish a service that refuses requests from a single endpoint that does.

    While one rank of a group is gone, all of its ranks refuse requests, and retrying a
    request at one after the other only adds arrivals that none can run. If a single
    endpoint refuses, another one may accept the request.
    """

    __slots__ = ("times",)

    def __init__(self):
        # Time of the last refusal of each endpoint that has not answered since.
        self.times = {}

    def refused(self, name, now):
        """Record that an endpoint refused a request."""
        self.times[name] = now

    def answered(self):
        """Record that an endpoint answered; forget all refusals."""
        self.times.clear()

    def is_service_wide(self, now):
        """Return whether several endpoints refused recently and none answered since."""
        return self.count(now) >= REFUSING_ENDPOINTS

    def count(self, now: float) -> int:
        """Return how many endpoints refused recently; forget older refusals."""
        self.times = {
            name: at
            for name, at in self.times.items()
            if now - at <= RECENT_REFUSAL_SECONDS
        }
        return len(self.times)


@dataclass(slots=True, frozen=True)
class Option:
    """One endpoint to choose from, with its load and history."""

    endpoint: object
    load: Load
    history: EndpointHistory
    same_zone: bool
    # Whether changes of its load are reported promptly.
    in_mesh: bool = True


class RefusalCause(enum.StrEnum):
    """Reasons why no endpoint was chosen."""

    NONE_LISTED = "none-listed"
    ALL_FULL = "all-full"
    ALL_AT_COLD_BOUND = "all-at-cold-bound"
    ALL_RATE_LIMITED = "all-rate-limited"
    ALL_RESTING = "all-resting"
    GROUPS_OUT = "groups-out"


@dataclass(slots=True, frozen=True)
class Chosen:
    """The endpoint to send a request to, and its load."""

    endpoint: object
    load: Load
    # Whether the request is to show if the endpoint's group answers again.
    is_probe: bool = False


@dataclass(slots=True, frozen=True)
class Refused:
    """The reason why no endpoint may get the request now."""

    cause: RefusalCause


@dataclass(slots=True, frozen=True)
class PlacementLimits:
    """Limits on the requests per endpoint and on the number of endpoints compared."""

    # Returns how many requests may be at an endpoint; None for no limit.
    request_limit: Callable[[object], int] | None = None
    # Returns how many requests this entry may send an endpoint per second; None for
    # no limit.
    arrivals: Callable[[object], int] | None = None
    # Returns how many requests this entry may send an endpoint per window of rate
    # limits; None, or a result of None, for no limit.
    rated_arrivals: Callable[[object], int | None] | None = None
    # Returns the options with memory for the request's tokens; None for no limit.
    select_with_room: Callable[[list["Option"]], list["Option"]] | None = None
    # Number of the mesh's endpoints to compare; None for all.
    candidates: int | None = None


def choose_endpoint(options, limits, now, random):
    """Return the best option as Chosen, or Refused with the cause if none is open."""
    if not options:
        return Refused(RefusalCause.NONE_LISTED)
    allowed_options = [
        each for each in options if is_within_cold_limit(each, limits, now)
    ]
    if not allowed_options:
        return Refused(RefusalCause.ALL_AT_COLD_BOUND)
    allowed_options = [
        each for each in allowed_options if is_within_rate(each, limits, now)
    ]
    if not allowed_options:
        return Refused(RefusalCause.ALL_RATE_LIMITED)
    healthy = [each for each in allowed_options if each.history.avoided_until <= now]
    best = least_loaded_near(healthy or allowed_options, limits, random)
    if best is None:
        return Refused(RefusalCause.ALL_FULL)
    return Chosen(best.endpoint, best.load)


def choose_healthy(
    options: list[Option], limits: PlacementLimits, now: float, random: Random
) -> Chosen | None:
    """Return the best option with capacity and without a recent failure, or None."""
    healthy = [
        each
        for each in options
        if each.history.avoided_until <= now
        and is_within_cold_limit(each, limits, now)
        and is_within_rate(each, limits, now)
    ]
    best = least_loaded_of(healthy, limits, limits.candidates, random)
    return None if best is None else Chosen(best.endpoint, best.load)


def sample_size(members: int) -> int | None:
    """Return how many endpoints to compare in a mesh of this size; None for all."""
    return None if meshes.is_fresh(members) else CANDIDATE_SAMPLE_SIZE


def least_loaded_near(
    options: list[Option], limits: PlacementLimits, random: Random
) -> Option | None:
    """Return the least loaded option in the mesh, or outside it if the mesh is full."""
    mesh = [each for each in options if each.in_mesh]
    best = least_loaded_of(mesh, limits, limits.candidates, random)
    if best is None and len(mesh) < len(options):
        others = [each for each in options if not each.in_mesh]
        best = least_loaded_of(others, limits, CANDIDATE_SAMPLE_SIZE, random)
    return best


def least_loaded_of(
    options: list[Option],
    limits: PlacementLimits,
    candidates: int | None,
    random: Random,
) -> Option | None:
    """Return the least loaded of some random options, or of all if those are full.

    candidates is how many to draw; None compares all. Return None if all are full.
    """
    if limits.select_with_room is not None:
        options = limits.select_with_room(options)
    if not options:
        return None
    if candidates is not None and candidates < len(options):
        sampled = random.sample(options, candidates)
        best = min(sampled, key=lambda each: sort_key(each, random))
        if has_capacity(best, limits):
            return best
    best = min(options, key=lambda each: sort_key(each, random))
    return best if has_capacity(best, limits) else None


def has_capacity(option, limits):
    """Return whether the endpoint may have one more request."""
    if limits.request_limit is None:
        return True
    return option.load.requests < limits.request_limit(option.endpoint)


def is_within_cold_limit(option, limits, now):
    """Return whether the endpoint may get one more request in this second."""
    if limits.arrivals is None:
        return True
    return option.history.arrivals.value(now) < limits.arrivals(option.endpoint)


def is_within_rate(option: Option, limits: PlacementLimits, now: float) -> bool:
    """Return whether the endpoint may get one more request in this rate window."""
    if limits.rated_arrivals is None:
        return True
    allowed = limits.rated_arrivals(option.endpoint)
    return allowed is None or option.history.rated_arrivals.value(now) < allowed


def sort_key(option, random):
    """Return the sort key of an option; the lowest is preferred."""
    load = option.load
    return (load.requests, load.unread_tokens, not option.same_zone, random.random())
