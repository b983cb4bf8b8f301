"""Hold what one gateway knows of one contested service."""

import bisect
import collections
from collections.abc import Iterable
from dataclasses import dataclass

from fescuedrum.conf.routing import EngineProfile
from fescuedrum.decisions.admitting.demand import (
    DemandHistory,
    DemandMeter,
    sum_rates,
)
from fescuedrum.decisions.admitting.floors import Floors
from fescuedrum.decisions.admitting.places import (
    PassBound,
    PassModel,
    PlaceRequest,
    PlaceState,
)
from fescuedrum.decisions.duties import meshes
from fescuedrum_gateway.process.filling import Filling
from fescuedrum_gateway.process.peer_gateway import PeerGateway
from fescuedrum_gateway.process.peers import (
    CHANGE_BATCH_SECONDS,
    LOAD_EXPIRY_SECONDS,
    Peers,
)

# Time for which sums over the other gateways are used again.
REFRESH_SECONDS = 0.1
# Time after a refusal for want of a place in which places are scarce.
SCARCE_SECONDS = 1.0
# Mean duration of requests until one has ended.
FIRST_MEAN_SECONDS = 1.0
# Requests that end sooner have not run: their endpoint refused them.
SHORTEST_SECONDS = 0.05
# Weight of one request in the mean duration.
MEAN_WEIGHT = 0.1


@dataclass(slots=True, frozen=True)
class FleetView:
    """Hold the sums over all gateways that are computed now and then."""

    demand: dict[int, float]
    organisations: collections.Counter[str]
    age: float
    # Gateways that this one speaks for: several while it hears none of them.
    factor: int


class ContestedService:
    """Hold the demand, the bound and the waiting requests of one service."""

    __slots__ = (
        "bound",
        "history",
        "is_contended",
        "mean_seconds",
        "meter",
        "name",
        "organisation_floors",
        "peers",
        "rank_floors",
        "refreshed_at",
        "refused_at",
        "running",
        "urgent_wait_seconds",
        "view",
        "waiting",
    )

    def __init__(self, name, peers, random):
        self.name = name
        self.peers = peers
        self.meter = DemandMeter()
        self.history = DemandHistory()
        self.is_contended = False
        self.bound = PassBound()
        self.rank_floors = Floors(random)
        self.organisation_floors = Floors(random)
        # Running requests of this gateway by organisation.
        self.running = collections.Counter()
        self.mean_seconds = FIRST_MEAN_SECONDS
        # Time for which any request of the service may be made to wait for a place.
        self.urgent_wait_seconds = 0.0
        self.refused_at = float("-inf")
        self.refreshed_at = float("-inf")
        self.view = FleetView({}, collections.Counter(), 0.0, 1)
        # Waiters sorted by rank and deadline.
        self.waiting = []

    # Demand

    def ask(self, request: PlaceRequest, now: float, *, is_caller_retry: bool) -> None:
        """Count a request; one of a caller that retries is no new demand."""
        if not is_caller_retry:
            self.meter.observe(request.rank, now)
        self.rank_floors.ask(request.rank, now)
        self.organisation_floors.ask(request.organisation, now)

    def serve(self, request: PlaceRequest, now: float) -> None:
        """Count that a request is served."""
        self.rank_floors.serve(request.rank, now)
        self.organisation_floors.serve(request.organisation, now)

    def refresh(self, now: float) -> None:
        """Sum up what all gateways say, unless that was done a moment ago."""
        if now - self.refreshed_at < REFRESH_SECONDS:
            return
        self.refreshed_at = now
        heard = self.peers.heard_within(LOAD_EXPIRY_SECONDS)
        # A gateway that hears no other takes them for its like.
        factor = 1 if heard else self.peers.count_sharing_gateways()
        parts = [self.meter.rates(now)]
        parts += [each.demand.get(self.name, {}) for each in heard]
        demand = sum_rates(parts, factor)
        organisations = collections.Counter(
            {name: factor * n for name, n in self.running.items()}
        )
        for peer in heard:
            organisations.update(peer.organisations.get(self.name, {}))
        age = age_of_loads(self.peers, heard, now)
        self.view = FleetView(demand, organisations, age, factor)
        self.history.add(demand, now)
        self.is_contended = len(self.history.requested_ranks()) > 1

    def is_in_force(self, now: float) -> bool:
        """Return whether requests of several ranks have arrived lately."""
        self.refresh(now)
        return self.is_contended

    # Decisions

    def measure_bound(
        self,
        profile: EngineProfile,
        pause: float | None,
        pass_seconds: float | None,
        filling: Filling,
        now: float,
    ) -> float:
        """Return the bound on the requests; observe the present passes for it."""
        model = PassModel(
            profile.tokens_per_event, profile.step_seconds, profile.per_request_seconds
        )
        engines = filling.endpoints
        if not (model.is_known and pause and engines):
            return filling.places
        if pass_seconds:
            running = min(self.view.factor * filling.taken, filling.places)
            self.bound.observe(model, pass_seconds, running / engines, now)
        return self.bound.value(model, pause, engines, filling.places, now)

    def state(
        self,
        request: PlaceRequest,
        filling: Filling,
        bound: float,
        now: float,
        granted: int = 0,
    ) -> PlaceState:
        """Return the PlaceState for a request; granted places were given since."""
        view = self.view
        return PlaceState(
            places=filling.places,
            taken=view.factor * filling.taken + granted,
            bound=bound,
            demand=view.demand,
            age=view.age,
            mean_seconds=self.mean_seconds,
            organisations=view.organisations,
            urgent_wait_seconds=self.urgent_wait_seconds,
            floor_share=self.rank_floors.part(request.rank + 1, now),
            is_scarce=now - self.refused_at <= SCARCE_SECONDS,
            owes_rank=self.rank_floors.owes_rank(request.rank, now),
            owes_organisation=self.organisation_floors.owes(request.organisation, now),
        )

    def add_waiter(self, waiter) -> None:
        """Add a request that waits for a place, in order."""
        bisect.insort(self.waiting, waiter, key=lambda each: each.sort_key)

    # Running requests

    def enter(self, organisation: str) -> None:
        """Count a running request."""
        self.running[organisation] += 1

    def leave(self, organisation: str, seconds: float) -> None:
        """Count the end of a request that ran for some seconds."""
        self.running[organisation] -= 1
        if not self.running[organisation]:
            del self.running[organisation]
        if seconds >= SHORTEST_SECONDS:
            self.mean_seconds += MEAN_WEIGHT * (seconds - self.mean_seconds)


def age_of_loads(peers: Peers, heard: Iterable[PeerGateway], now: float) -> float:
    """Return the mean age of what other gateways have told of their loads.

    Within the mesh, a load that has changed is told sooner than in the next beacon.
    """
    told_within = CHANGE_BATCH_SECONDS + meshes.change_interval(peers.mesh_size)
    ages = [
        min(now - each.last_heard_at, told_within)
        if peers.is_in_mesh(each)
        else now - each.last_heard_at
        for each in heard
    ]
    return sum(ages) / len(ages) if ages else 0.0
