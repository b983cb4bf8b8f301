"""Assemble the processes and stand-ins of one run."""

import asyncio
import contextlib
from dataclasses import dataclass

from support.gateways import free_ports

from soak import wire
from soak.conditions import Kind, Streams
from soak.endpoints import Journal, StandInEndpoint
from soak.processes import GatewayProcess, Ports
from soak.store import StandInStore

ZONES = ("zone-1", "zone-2", "zone-3")
SERVICES = ("plain", "streams")


@dataclass(slots=True, frozen=True)
class SoakRoute:
    """Describe a route by its prefix, kind and service."""

    name: str
    prefix: str
    kind: str
    service: str


@dataclass(slots=True, frozen=True)
class SoakDocument:
    """Describe one version of the configuration."""

    version: int
    routes: tuple[SoakRoute, ...]
    timeout_ms: int
    services: tuple[str, ...] = SERVICES
    keys: frozenset[str] = frozenset(("club-key",))


ROUTES = (
    SoakRoute("once", f"/{Kind.ONCE}/", "non_idempotent", "plain"),
    SoakRoute("again", f"/{Kind.AGAIN}/", "idempotent", "plain"),
    SoakRoute("stream", f"/{Kind.STREAM}/", "stream", "streams"),
)


@dataclass(slots=True)
class Span:
    """Say that something was out of order from a time to another, in loop time."""

    what: str
    began: float
    ended: float = float("inf")

    def touches(self, began, ended):
        return self.began <= ended and self.ended >= began


class Site:
    """Own everything that runs, and note what was disturbed when."""

    def __init__(self, random, plan):
        self.random = random
        self.conditions = plan.conditions
        self.streams = Streams(plan.seed, plan.conditions)
        self.loop = asyncio.get_running_loop()
        self.store = StandInStore()
        self.journal = Journal()
        self.endpoints = []
        ports = Ports(*free_ports(3))
        self.gateways = [
            GatewayProcess(number, ports, plan.directory, self.conditions.stop)
            for number in range(plan.gateways)
        ]
        timeout = round(self.conditions.patience * 1000)
        self.document = SoakDocument(1, ROUTES, timeout)
        self.disturbances = []
        self.stops = []
        self.zone_spans = []
        self.changes = []
        # Loop time at which an endpoint announced its leave.
        self.left = {}
        self.leaving = set()
        self.zones_out = set()
        self.findings = []
        self.closing = False
        self.named = 0

    async def open(self):
        port = await self.store.start("127.0.0.1")
        self.put_document(self.document)
        for zone in ZONES:
            for service in SERVICES:
                await self.add_endpoint(service, zone)
        for gateway in self.gateways:
            await gateway.open(port, [self.gateways[0].host, self.gateways[-1].host])
            gateway.start()

    async def close(self):
        self.closing = True
        for gateway in self.gateways:
            await gateway.close()
        for endpoint in list(self.endpoints):
            await endpoint.stop()
        await self.store.stop()

    def gateway(self, name):
        return next((each for each in self.gateways if each.name == name), None)

    def endpoint(self, name):
        return next((each for each in self.endpoints if each.name == name), None)

    async def add_endpoint(self, service, zone):
        self.named += 1
        endpoint = StandInEndpoint(
            f"i-{self.named}", service, zone, self.journal, self.streams
        )
        await endpoint.start()
        self.endpoints.append(endpoint)
        line = wire.encode_endpoint(endpoint, draining=False)
        self.store.put(wire.ENDPOINTS, endpoint.name, line)

    async def remove_endpoint(self, endpoint):
        self.store.put(wire.ENDPOINTS, endpoint.name, None)
        self.endpoints.remove(endpoint)
        await endpoint.stop()

    def put_document(self, document):
        self.document = document
        self.store.put(wire.OPERATORS, wire.DOCUMENT, wire.encode_document(document))
        self.changes.append((self.loop.time(), document.version))

    def note_left(self, endpoint):
        self.left[endpoint] = self.loop.time()

    @contextlib.contextmanager
    def span(self, spans, what):
        span = Span(what, self.loop.time())
        spans.append(span)
        try:
            yield
        finally:
            span.ended = self.loop.time()

    def disturbed(self, what):
        return self.span(self.disturbances, what)

    def planned(self, gateway):
        return self.span(self.stops, gateway)

    @contextlib.contextmanager
    def zone_out(self, zone):
        self.zones_out.add(zone)
        with self.span(self.zone_spans, zone):
            yield
        self.zones_out.discard(zone)
