"""Declare the metrics of the places of contested services."""

from fescuedrum.decisions.admitting.places import PlaceState, reserve
from fescuedrum.metrics import SERVICE, Label, MetricCatalogue

RANK = Label("rank", "urgency ranks of the service, and one for retries of the last")
DECIDED = Label("result", "3: served, waited, refused")
SERVED = "served"
WAITED = "waited"
REFUSED = "refused"


class PlaceMetrics:
    """Hold the metrics of the places of contested services."""

    __slots__ = ("bound", "decided", "demand", "reserved", "taken")

    def __init__(self, catalogue: MetricCatalogue) -> None:
        self.decided = catalogue.counter(
            "fescuedrum_gateway_places_decided_total",
            "Requests that were served at once, served after a wait, or refused.",
            *(SERVICE, RANK, DECIDED),
        )
        self.bound = catalogue.gauge(
            "fescuedrum_gateway_places_bound",
            "Places that can be filled with passes within the pause allowed.",
            SERVICE,
        )
        self.taken = catalogue.gauge(
            "fescuedrum_gateway_places_taken",
            "Requests at the service's endpoints, by all gateways' counts.",
            SERVICE,
        )
        self.reserved = catalogue.gauge(
            "fescuedrum_gateway_places_reserved",
            "Places that the least urgent rank must leave free.",
            SERVICE,
        )
        self.demand = catalogue.gauge(
            "fescuedrum_gateway_demand_per_second",
            "New requests per second at all gateways.",
            *(SERVICE, RANK),
        )

    def count(self, service: str, rank: int, result: str) -> None:
        """Count a decision."""
        self.decided.labels(service, rank, result).inc()

    def observe(self, service: str, state: PlaceState, ranks: int) -> None:
        """Set the gauges of a service with this many ranks."""
        self.bound.labels(service).set(state.bound)
        self.taken.labels(service).set(state.taken)
        self.reserved.labels(service).set(reserve(ranks - 1, state))
        for rank in range(ranks):
            self.demand.labels(service, rank).set(state.demand.get(rank, 0.0))
