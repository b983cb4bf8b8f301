"""Describe routes, services and organisations as the platform's operators set them."""

import enum
import math
from dataclasses import dataclass


class RequestKind(enum.StrEnum):
    """Say how often a request may run and how its answer comes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable-stream"

    @property
    def is_stream(self):
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM)

    @property
    def is_repeatable(self):
        """Tell whether it may run more than once; a stream only if it can resume."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE_STREAM)


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """Give a service a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Send requests of one host under one path prefix to services."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    # Longest time that a caller is kept waiting, in seconds.
    timeout: float
    # Time in which an answer, or a stream's first event, earns its full worth.
    target: float
    # 0 is the most urgent.
    priority: int
    # Endpoints that one request may be sent to.
    maximum_attempts: int
    # No organisation's key is asked for.
    public: bool
    # Longest pause between a stream's events with which it is on time, in seconds; 0
    # where there is no bound.
    longest_pause: float = 0.0


@dataclass(slots=True, frozen=True)
class ExpertProfile:
    """Describe the experts of a service's groups."""

    layers: int
    experts: int
    # Experts that a rank holds in each layer.
    places: int
    # Experts new to a rank that one change may bring, in each layer.
    spare: int
    # Time that a rank takes to copy one expert, in seconds.
    copy_seconds: float
    # How old what a rank says of itself may be, in seconds.
    report_lag: float


@dataclass(slots=True, frozen=True)
class EngineProfile:
    """Describe how the model engines of a service work."""

    # Requests that an engine runs at the same time; more wait in its queue.
    slots: int
    # Tokens that an engine's memory holds.
    token_capacity: int = 0
    # None where engines hold all experts themselves.
    experts: ExpertProfile | None = None


@dataclass(slots=True, frozen=True)
class RoutedService:
    """Describe a service whose endpoints are reached directly."""

    name: str
    maximum_connections: int = 0
    # Requests a second that an endpoint in a cold start tolerates; 0 for no bound.
    cold_per_second: float = 0.0
    engine: EngineProfile | None = None


@dataclass(slots=True, frozen=True)
class RoutedOrganisation:
    """Describe an organisation, its callers' keys and its rank."""

    name: str
    keys: tuple[str, ...]
    # Goes before the route's priority; None leaves that in force.
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bound what callers may send."""

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
        "document",
        "organisations_by_key",
        "routes_by_host",
        "services",
    )

    def __init__(self, document):
        self.document = document
        self.services = {each.name: each for each in document.services}
        self.organisations_by_key = {
            key: organisation
            for organisation in document.organisations
            for key in organisation.keys
        }
        # Shortest pause between events that a service's callers allow, in seconds.
        self.allowed_pauses = shortest_pauses(document.routes)
        self.routes_by_host = {}
        longest_first = sorted(document.routes, key=lambda each: -len(each.prefix))
        for route in longest_first:
            self.routes_by_host.setdefault(route.host, []).append(route)

    @property
    def version(self):
        return self.document.version

    @property
    def needs_keys(self):
        return bool(self.document.organisations)

    def find_route(self, host, path):
        """Return the route with the longest prefix that begins path, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def shortest_pauses(routes):
    pauses = {}
    for route in routes:
        for share in route.shares if route.longest_pause else ():
            known = pauses.get(share.service, route.longest_pause)
            pauses[share.service] = min(known, route.longest_pause)
    return pauses


def choose_service(route, random):
    """Draw one of a route's services by their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if not math.fsum(weights) > 0:
        return route.shares[0].service
    return random.choices(route.shares, weights)[0].service
