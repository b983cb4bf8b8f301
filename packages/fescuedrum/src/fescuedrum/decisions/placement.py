"""Choose the endpoint of a request among few endpoints that many entries share.

Load pattern: a dozen engines advance in lock-step, and the fullest of them sets the
pace of all. Entries choose independently; each knows what it sent itself at once, and
what the others sent some tens of milliseconds later. A choice by own counts alone
stacks requests of several entries on one engine, and every stream in the group slows
down. The least loaded endpoint by the sum of all entries' counts is taken; among equals
the one with the fewest prompt tokens still to be read, then chance, so that entries
that choose at the same moment spread.

Where entries are many, only those of one zone tell each other promptly what they send
(fescuedrum.decisions.meshes). Endpoints of the entry's own zone go first then, and
those of other zones get what these have no place for. By counts that are old, entries
would all take the same few endpoints for the least loaded ones until they hear
otherwise. So among endpoints elsewhere, or in a zone of very many entries, the least
loaded of a few drawn by chance is taken (Mitzenmacher: The Power of Two Choices in
Randomized Load Balancing, 2001).

An endpoint that can't be connected to is left out for a pause that doubles with each
failure in a row, unless all are. A cold endpoint fails when it gets too many requests
in a second; each entry keeps to its part of that bound (fescuedrum.decisions.coldness),
and to its part of the rate that an endpoint may name (fescuedrum.decisions.ratelimits).
Such an endpoint stays in its group; only new requests go elsewhere.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from fescuedrum.decisions import coldness, meshes, ratelimits
from fescuedrum.decisions.retries import SlidingCount

FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 4.0
CANDIDATES = 4
REFUSAL_SECONDS = 0.5
REFUSING_ENDPOINTS = 2


@dataclass(slots=True)
class Load:
    """Count requests at one endpoint and the prompt tokens still to be read."""

    requests: int = 0
    unread_tokens: int = 0


@dataclass(slots=True, eq=False)
class EndpointHistory:
    """Hold what this entry knows of one endpoint beyond its line in the list."""

    own: Load = field(default_factory=Load)
    failures: int = 0
    avoided_until: float = 0.0
    # What was sent in the last second, and in the window of rate limits.
    arrivals: SlidingCount = field(
        default_factory=lambda: SlidingCount(coldness.WINDOW_SECONDS)
    )
    rated_arrivals: SlidingCount = field(
        default_factory=lambda: SlidingCount(ratelimits.WINDOW_SECONDS)
    )

    def sent(self, now: float) -> None:
        """Count a request that is sent there."""
        self.arrivals.add(now)
        self.rated_arrivals.add(now)

    def failed(self, now):
        """Leave the endpoint out for a pause that doubles with each failure."""
        pause = min(FIRST_PAUSE_SECONDS * 2**self.failures, LONGEST_PAUSE_SECONDS)
        self.failures = min(self.failures + 1, 10)
        self.avoided_until = now + pause

    def succeeded(self):
        self.failures = 0
        self.avoided_until = 0.0


class RecentRefusals:
    """Tell a service that refuses everywhere from one endpoint that refuses.

    A group of engines refuses at all its ranks while one of them is gone, and a request
    that is sent on from one to the next only adds arrivals that nobody can run. One
    endpoint's refusal is its own trouble, and another one may take the request.
    """

    __slots__ = ("times",)

    def __init__(self):
        # Time of the last refusal of each endpoint that has not answered since.
        self.times = {}

    def refused(self, name, now):
        self.times[name] = now

    def answered(self):
        self.times.clear()

    def is_service_wide(self, now):
        """Tell whether several endpoints refused just now and none answered since."""
        recent = [at for at in self.times.values() if now - at <= REFUSAL_SECONDS]
        return len(recent) >= REFUSING_ENDPOINTS


@dataclass(slots=True, frozen=True)
class Option:
    """Offer one endpoint to a choice."""

    endpoint: object
    load: Load
    history: EndpointHistory
    same_zone: bool
    # Whether changes of its load are told promptly.
    in_mesh: bool = True


class RefusalCause(enum.StrEnum):
    """Name why no endpoint was chosen."""

    NONE_LISTED = "none-listed"
    ALL_FULL = "all-full"
    ALL_AT_COLD_BOUND = "all-at-cold-bound"
    ALL_RATE_LIMITED = "all-rate-limited"


@dataclass(slots=True, frozen=True)
class Chosen:
    """Name the endpoint to send to."""

    endpoint: object
    load: Load


@dataclass(slots=True, frozen=True)
class Refused:
    """Say that no endpoint may get the request now."""

    cause: RefusalCause


@dataclass(slots=True, frozen=True)
class PlacementLimits:
    """Bound what an endpoint gets and how many of them are compared."""

    # Returns how many requests may be at an endpoint; None for no bound.
    request_limit: Callable[[object], int] | None = None
    # Returns how many requests this entry may send an endpoint in a second; None for
    # no bound.
    arrivals: Callable[[object], int] | None = None
    # Returns how many requests this entry may send an endpoint in a window of rate
    # limits; None for no limit there.
    rated_arrivals: Callable[[object], int | None] | None = None
    # Endpoints of the mesh that are compared; None for all.
    candidates: int | None = None


def choose_endpoint(options, limits, now, random):
    """Choose among options."""
    if not options:
        return Refused(RefusalCause.NONE_LISTED)
    open_options = [each for each in options if has_cold_room(each, limits, now)]
    if not open_options:
        return Refused(RefusalCause.ALL_AT_COLD_BOUND)
    open_options = [each for each in open_options if is_within_rate(each, limits, now)]
    if not open_options:
        return Refused(RefusalCause.ALL_RATE_LIMITED)
    sound = [each for each in open_options if each.history.avoided_until <= now]
    best = least_loaded(sound or open_options, limits, random)
    if best is None:
        return Refused(RefusalCause.ALL_FULL)
    return Chosen(best.endpoint, best.load)


def choose_healthy(
    options: list[Option], limits: PlacementLimits, now: float, random: Random
) -> Chosen | None:
    """Choose among options that have a place and did not fail lately, if any."""
    sound = [
        each
        for each in options
        if each.history.avoided_until <= now
        and has_cold_room(each, limits, now)
        and is_within_rate(each, limits, now)
    ]
    best = least_of(sound, limits, limits.candidates, random)
    return None if best is None else Chosen(best.endpoint, best.load)


def sample_size(members: int) -> int | None:
    """Return how many endpoints of a mesh of so many to compare; None for all."""
    return None if meshes.is_fresh(members) else CANDIDATES


def least_loaded(
    options: list[Option], limits: PlacementLimits, random: Random
) -> Option | None:
    """Return the least loaded option of the mesh, or of the others if that is full."""
    mesh = [each for each in options if each.in_mesh]
    best = least_of(mesh, limits, limits.candidates, random)
    if best is None and len(mesh) < len(options):
        others = [each for each in options if not each.in_mesh]
        best = least_of(others, limits, CANDIDATES, random)
    return best


def least_of(
    options: list[Option],
    limits: PlacementLimits,
    candidates: int | None,
    random: Random,
) -> Option | None:
    """Return the least loaded of the candidates, or of all if those are full."""
    if not options:
        return None
    if candidates is not None and candidates < len(options):
        drawn = random.sample(options, candidates)
        best = min(drawn, key=lambda each: rank(each, random))
        if has_place(best, limits):
            return best
    best = min(options, key=lambda each: rank(each, random))
    return best if has_place(best, limits) else None


def has_place(option, limits):
    if limits.request_limit is None:
        return True
    return option.load.requests < limits.request_limit(option.endpoint)


def has_cold_room(option, limits, now):
    if limits.arrivals is None:
        return True
    return option.history.arrivals.value(now) < limits.arrivals(option.endpoint)


def is_within_rate(option: Option, limits: PlacementLimits, now: float) -> bool:
    if limits.rated_arrivals is None:
        return True
    allowed = limits.rated_arrivals(option.endpoint)
    return allowed is None or option.history.rated_arrivals.value(now) < allowed


def rank(option, random):
    """Return the order of preference; the least is best."""
    load = option.load
    return (load.requests, load.unread_tokens, not option.same_zone, random.random())
