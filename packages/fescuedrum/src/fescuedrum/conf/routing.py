"""Define the routing configuration: routes, services and organisations."""

import enum
import math
from dataclasses import dataclass


class RequestKind(enum.StrEnum):
    """Say whether a request may be repeated and whether its answer is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable-stream"

    @property
    def is_stream(self):
        """Return whether the answer is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM)

    @property
    def is_repeatable(self):
        """Return whether it may run more than once; a stream only if it can resume."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE_STREAM)


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """Give a service a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Route requests for a host and path prefix to services."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    # Longest time that a caller waits, in seconds.
    timeout: float
    # Time in which an answer or a stream's first event has its full value, in seconds.
    target: float
    # 0 is the most urgent.
    priority: int
    # Number of endpoints that a request may be sent to.
    maximum_attempts: int
    # Whether callers need no organisation's key.
    public: bool
    # Longest pause between events with which a stream is on time, in seconds; 0 sets no
    # limit.
    longest_pause: float = 0.0


@dataclass(slots=True, frozen=True)
class ExpertProfile:
    """Describe the experts of a service's groups."""

    layers: int
    experts: int
    # Experts that a rank holds in each layer.
    places: int
    # Experts that one map change may add to a rank, in each layer.
    spare: int
    # Time that a rank takes to copy one expert, in seconds.
    copy_seconds: float
    # Largest age of a rank's report about itself, in seconds.
    report_lag: float


@dataclass(slots=True, frozen=True)
class EngineProfile:
    """Describe how the model engines of a service work."""

    # Requests that an engine runs concurrently; others wait in its queue.
    slots: int
    # Tokens that fit into an engine's memory.
    token_capacity: int = 0
    # Tokens that an engine writes in one pass, which are one event; 0 if unknown.
    tokens_per_event: int = 0
    # Time of one token's step of an idle engine, and what each running request adds to
    # it, in seconds; 0 if unknown.
    step_seconds: float = 0.0
    per_request_seconds: float = 0.0
    # None if each engine holds all experts.
    experts: ExpertProfile | None = None


@dataclass(slots=True, frozen=True)
class RoutedService:
    """Describe a service whose endpoints are called directly."""

    name: str
    maximum_connections: int = 0
    # Requests per second that an endpoint accepts in a cold start; 0 sets no limit.
    cold_per_second: float = 0.0
    engine: EngineProfile | None = None


@dataclass(slots=True, frozen=True)
class RoutedOrganisation:
    """Describe an organisation, its callers' keys and its priority."""

    name: str
    keys: tuple[str, ...]
    # Overrides the route's priority; None keeps that of the route.
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limit what callers may send."""

    maximum_body_bytes: int = 4 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class RoutingDocument:
    """Hold one version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    organisations: tuple[RoutedOrganisation, ...] = ()
    limits: CallerLimits = CallerLimits()


class RoutingTable:
    """Look up a document's routes, services and keys."""

    __slots__ = (
        "allowed_pauses",
        "contested_services",
        "document",
        "organisations_by_key",
        "routes_by_host",
        "services",
        "shortest_targets",
        "urgencies",
    )

    def __init__(self, document):
        self.document = document
        self.services = {each.name: each for each in document.services}
        self.organisations_by_key = {
            key: organisation
            for organisation in document.organisations
            for key in organisation.keys
        }
        # For each service the shortest pause allowed by its routes, in seconds.
        self.allowed_pauses = shortest_pauses(document.routes)
        # The same for the targets for the first answer.
        self.shortest_targets = shortest_targets(document.routes)
        # Sorted priorities of the routes of each engine service whose routes differ in
        # it. Requests to plain services may wait at the endpoints.
        self.contested_services = {
            name: priorities
            for name, priorities in contested_services(document.routes).items()
            if name in self.services and self.services[name].engine is not None
        }
        # For each of them the sorted pairs that order its requests by urgency.
        self.urgencies = {
            name: urgency_pairs(name, document) for name in self.contested_services
        }
        self.routes_by_host = {}
        longest_first = sorted(document.routes, key=lambda each: -len(each.prefix))
        for route in longest_first:
            self.routes_by_host.setdefault(route.host, []).append(route)

    @property
    def version(self):
        return self.document.version

    @property
    def needs_keys(self):
        """Return whether the document defines organisations."""
        return bool(self.document.organisations)

    def tokens_per_event(self, service: str) -> int:
        """Return how many tokens an event of a service's streams has; 0 if unknown."""
        found = self.services.get(service)
        return found.engine.tokens_per_event if found and found.engine else 0

    def token_capacity(self, service: str) -> int:
        """Return how many tokens fit into a service's engines; 0 if unknown."""
        found = self.services.get(service)
        return found.engine.token_capacity if found and found.engine else 0

    def find_route(self, host, path):
        """Return the route with the longest prefix that matches a path, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def shortest_pauses(routes):
    """Return the shortest limited pause between events for each service."""
    pauses = {}
    for route in routes:
        for share in route.shares if route.longest_pause else ():
            shortest = pauses.get(share.service, route.longest_pause)
            pauses[share.service] = min(shortest, route.longest_pause)
    return pauses


def shortest_targets(routes: tuple[Route, ...]) -> dict[str, float]:
    """Return the shortest target for the first answer for each service."""
    targets = {}
    for route in routes:
        for share in route.shares:
            shortest = targets.get(share.service, route.target)
            targets[share.service] = min(shortest, route.target)
    return targets


def contested_services(routes: tuple[Route, ...]) -> dict[str, list[int]]:
    """Return the sorted priorities of each service whose routes differ in priority."""
    priorities: dict[str, set[int]] = {}
    for route in routes:
        for share in route.shares:
            priorities.setdefault(share.service, set()).add(route.priority)
    return {name: sorted(each) for name, each in priorities.items() if len(each) > 1}


def urgency_pairs(service: str, document: RoutingDocument) -> list[tuple[int, int]]:
    """Return the sorted (request's priority, route's priority) of possible requests.

    The request's priority is that of its organisation, or else that of its route.
    """
    pairs = set()
    for route in document.routes:
        if all(share.service != service for share in route.shares):
            continue
        if route.public or not document.organisations:
            pairs.add((route.priority, route.priority))
        for organisation in document.organisations:
            priority = organisation.priority
            own = route.priority if priority is None else priority
            pairs.add((own, route.priority))
    return sorted(pairs)


def choose_service(route, random):
    """Return one of a route's services, chosen at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if not math.fsum(weights) > 0:
        return route.shares[0].service
    return random.choices(route.shares, weights)[0].service
