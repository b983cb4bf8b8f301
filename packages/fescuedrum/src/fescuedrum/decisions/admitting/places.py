"""Decide which request gets the next place of a contested service.

Load pattern: more demand than a group of engines can serve on time, from kinds and
organisations that are not equally urgent. If every request is admitted while a slot is
free, a pass takes longer than the pause that callers allow, and all streams of the
group are late, the urgent ones with them.

A place is a request slot of a usable endpoint. Places are filled up to the load at
which a pass still fits into the pause. Some of them are kept for more urgent requests
that arrive elsewhere before this gateway can learn of them.

Gateways that see the same free places at the same time would fill them several times.
So while there are fewer than the requests expected until they learn of each other, each
request is served with a probability that fills the free places once.
"""

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass

# Longest pass, as a share of the pause that callers allow.
MAXIMUM_PASS_RATIO = 0.95
# With a bound below the first share of the places, refusals would not bring streams
# back on time. The bound applies again above the second.
MINIMUM_BOUND_SHARE = 1 / 3
RESTORED_BOUND_SHARE = 0.4
SMOOTHING_SECONDS = 0.5
# Time for which the last known pass length is used.
FACTOR_EXPIRY_SECONDS = 2.0
RESERVE_DEVIATIONS = 2.0
# Largest part of the bound that may be kept free, whatever demand is reported.
MAXIMUM_RESERVE_SHARE = 1 / 3
# Time in which free places are filled, as a multiple of the mean age of counts. Below 2
# some counts are older, and the number of requests oscillates.
FILL_AGES = 3.0
# Standard deviations of the requests served unseen that are left free when not all
# requests of a rank can be served.
FILL_DEVIATIONS = 2.0
ORGANISATION_SHARE = 0.5


class PlaceRefusal(enum.StrEnum):
    """Reasons why a request gets no place."""

    ALL_FULL = "all-full"
    RESERVED = "reserved"
    ORGANISATION_OVER_SHARE = "organisation-over-share"


@dataclass(slots=True, frozen=True)
class Serve:
    """Send the request now."""


@dataclass(slots=True, frozen=True)
class Wait:
    """Hold the request for at most some seconds, until a place is free."""

    seconds: float


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse the request now."""

    reason: PlaceRefusal


@dataclass(slots=True, frozen=True)
class PlaceRequest:
    """Describe a request that asks for a place."""

    rank: int
    organisation: str
    # Time that it may still be made to wait, in seconds.
    wait_seconds: float
    # A random number from 0 to 1 that stays the same while the request waits.
    draw: float = 0.0


@dataclass(slots=True, frozen=True)
class PlaceState:
    """Hold what is known of a service when a request asks for a place."""

    places: int
    # Requests at the usable endpoints, of all gateways.
    taken: int
    # Number of places that can be filled with passes within the pause.
    bound: float
    # Requests per second of all gateways by rank.
    demand: Mapping[int, float]
    # Age of the data about the other gateways, in seconds.
    age: float
    # Mean duration of a request, in seconds.
    mean_seconds: float
    # Running requests of all gateways by organisation.
    organisations: Mapping[str, int]
    # Part of the requests of each rank that is served in any case.
    floor_share: float = 0.0
    # Whether a request was refused recently for want of a place.
    is_scarce: bool = False
    # Time for which any request may be made to wait for a place and be on time; the
    # more urgent of those that wait get the next free place.
    urgent_wait_seconds: float = 0.0
    # Whether the floor of the request's rank, or of its organisation, grants a place.
    owes_rank: bool = False
    owes_organisation: bool = False


def decide(request: PlaceRequest, state: PlaceState) -> Serve | Wait | Refuse:
    """Return whether a request is served, waits or is refused."""
    if state.places <= 0:
        # The choice of an endpoint names the cause of the refusal.
        return Serve()
    if is_over_share(request.organisation, state) and not state.owes_organisation:
        return Refuse(PlaceRefusal.ORGANISATION_OVER_SHARE)
    room = state.bound - state.taken - reserve(request.rank, state)
    if room > 0 and request.draw < served_part(request.rank, room, state):
        return Serve()
    if state.owes_rank and state.taken < state.places:
        return Serve()
    if request.wait_seconds > 0:
        return Wait(request.wait_seconds)
    is_reserved = room <= 0 and state.taken < state.bound
    return Refuse(PlaceRefusal.RESERVED if is_reserved else PlaceRefusal.ALL_FULL)


def is_over_share(organisation: str, state: PlaceState) -> bool:
    """Return whether an organisation takes too much while places are scarce."""
    running = state.organisations.get(organisation, 0)
    return state.is_scarce and running > ORGANISATION_SHARE * state.bound


def reserve(rank: int, state: PlaceState) -> float:
    """Return how many places a request of a rank must leave free."""
    expected = urgent_rate(rank, state) * kept_seconds(state)
    kept = expected + RESERVE_DEVIATIONS * math.sqrt(expected)
    return min(kept, MAXIMUM_RESERVE_SHARE * state.bound)


def kept_seconds(state: PlaceState) -> float:
    """Return the time for whose more urgent requests places are left free.

    That is until this gateway hears of them. If the next place comes free later than
    they may be made to wait for it, it is that much longer.
    """
    until_free = state.mean_seconds / max(state.taken, 1)
    return state.age + max(until_free - state.urgent_wait_seconds, 0.0)


def urgent_rate(rank: int, state: PlaceState) -> float:
    """Return the requests per second that are more urgent than a rank."""
    return math.fsum(rate for each, rate in state.demand.items() if each < rank)


def served_part(rank: int, room: float, state: PlaceState) -> float:
    """Return the part of a rank's requests that fills the room, and no more, in time.

    That is what has become free and what becomes free meanwhile, less what the more
    urgent take, and the less urgent by their floors.
    """
    seconds = FILL_AGES * state.age
    arriving = state.demand.get(rank, 0.0) * seconds
    others = urgent_rate(rank, state) + state.floor_share * math.fsum(
        rate for each, rate in state.demand.items() if each > rank
    )
    freed = max(state.taken / state.mean_seconds - others, 0.0)
    free = room + freed * seconds
    if arriving <= free:
        return 1.0
    deviation = math.sqrt(freed * state.age)
    return max(free - FILL_DEVIATIONS * deviation, 0.0) / arriving


@dataclass(slots=True, frozen=True)
class PassModel:
    """Describe how the length of a pass grows with the requests at an engine."""

    # Tokens per event.
    steps: int
    step_seconds: float
    per_request_seconds: float

    @property
    def is_known(self) -> bool:
        return self.step_seconds > 0 and self.per_request_seconds > 0

    def seconds(self, at_each: float) -> float:
        """Return the length of a pass with this many requests at each engine."""
        step = self.step_seconds + self.per_request_seconds * at_each
        return max(self.steps, 1) * step

    def load(self, seconds: float) -> float:
        """Return the requests at each engine with which a pass has a length."""
        step = seconds / max(self.steps, 1)
        return (step - self.step_seconds) / self.per_request_seconds


class PassBound:
    """Track how many places can be filled with passes within the allowed pause."""

    __slots__ = ("factor", "known_at", "lets_all")

    def __init__(self) -> None:
        # Measured length of a pass over that of the model; None if unknown.
        self.factor: float | None = None
        self.known_at = float("-inf")
        # Whether refusals could not bring streams back on time.
        self.lets_all = False

    def observe(
        self, model: PassModel, pass_seconds: float, at_each: float, now: float
    ) -> None:
        """Record the length of passes with this many requests at each engine."""
        measured = pass_seconds / model.seconds(at_each)
        elapsed = now - self.known_at
        self.known_at = now
        if self.factor is None or elapsed > FACTOR_EXPIRY_SECONDS:
            self.factor = measured
            return
        weight = 1 - math.exp(-elapsed / SMOOTHING_SECONDS)
        self.factor += weight * (measured - self.factor)

    def value(
        self, model: PassModel, pause: float, engines: int, places: int, now: float
    ) -> float:
        """Return the bound on the requests at this many engines."""
        if self.factor is None or now - self.known_at > FACTOR_EXPIRY_SECONDS:
            return places
        at_each = model.load(MAXIMUM_PASS_RATIO * pause / self.factor)
        bound = min(at_each * engines, places)
        least = RESTORED_BOUND_SHARE if self.lets_all else MINIMUM_BOUND_SHARE
        self.lets_all = bound < least * places
        return places if self.lets_all else bound
