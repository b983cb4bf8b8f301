"""Simulate callers of several ranks and organisations who compete for places."""

import asyncio
import collections
from dataclasses import dataclass

from fescuedrum.conf.routing import RoutedOrganisation, RoutingTable
from fescuedrum.decisions.placing.placement import Chosen
from fescuedrum.exceptions import Overloaded
from fescuedrum.metrics import MetricCatalogue
from fescuedrum.wire.gen.gateways.ttypes import Beacon
from fescuedrum_gateway.adapter import CallHead
from fescuedrum_gateway.process.beacons.demand import (
    encode_demand,
    encode_organisations,
)
from fescuedrum_gateway.process.place_metrics import PlaceMetrics
from fescuedrum_gateway.process.places import Places
from fescuedrum_gateway.request.call import Call
from support.clock import run_paused
from support.fleet import (
    PROMPT_SECONDS,
    SERVICE,
    WARM_UP_SECONDS,
    FleetShape,
    FleetSimulation,
)
from support.routing import build_engine_service, build_route, build_routing_document

TARGETS = (0.4, 0.4, 0.8)
ORGANISATIONS = tuple(f"club-{number}" for number in range(6))


def build_contested_document(slots=5, priorities=(0, 1, 2), **changes):
    """Return a document with a route for each priority, all to one service."""
    values = {
        "services": (build_engine_service(SERVICE, slots),),
        "routes": tuple(
            build_route(
                f"route-{number}",
                prefix=f"/{number}/",
                priority=priority,
                target=TARGETS[number],
            )
            for number, priority in enumerate(priorities)
        ),
        "organisations": tuple(
            RoutedOrganisation(name, (f"{name}-key",), priority=1)
            for name in ORGANISATIONS
        ),
    }
    return build_routing_document(**values | changes)


def build_call(table, kind, arrived, organisation=ORGANISATIONS[0]):
    """Return the Call of a new caller on the route of a kind."""
    route = table.document.routes[kind]
    return Call(
        head=CallHead("r-1", "", 8.0, 700, 0, 0, "", []),
        route=route,
        service=SERVICE,
        organisation=organisation,
        priority=1,
        is_caller_retry=False,
        method="POST",
        target=route.prefix,
        fingerprint="request:1",
        held=None,
        tokens=0,
        arrived=arrived,
        deadline=arrived + 8.0,
    )


@dataclass(slots=True)
class ContestedShape(FleetShape):
    """Hold the parameters of a simulation of callers that compete."""

    zones: int = 1
    gateways: int = 30
    engines: int = 48
    slots: int = 5
    seconds: float = 10.0
    cold_per_second: float = 0.0
    # Returns the requests per second of each kind at a time.
    rates: object = None
    # Part of the requests that the first organisation sends.
    first_part: float = 1 / len(ORGANISATIONS)
    network_delay: float = 0.001
    share_places: str = "auto"
    priorities: tuple[int, ...] = (0, 1, 2)


def compete(**shape):
    """Run a simulation to its end and return it."""

    async def run():
        return await ContestedFleet(ContestedShape(**shape)).run()

    return run_paused(run())


class ContestedFleet(FleetSimulation):
    """Simulate a fleet whose gateways give out places by rank.

    results[second] counts (kind, organisation, outcome); taken lists (time, requests at
    all engines) after each choice.
    """

    def __init__(self, shape):
        # Places by the host of their gateway.
        self.places_of = {}
        super().__init__(shape)
        self.network.delay = shape.network_delay
        document = build_contested_document(shape.slots, shape.priorities, version=2)
        self.configuration.update_if_newer(RoutingTable(document), 1.0)
        self.results = collections.defaultdict(collections.Counter)
        self.taken = []

    @property
    def places(self):
        return self.shape.engines * self.shape.slots

    def served(self, kind=None, organisation=None, seconds=None):
        """Return the share of the matching requests that were served."""
        found = collections.Counter()
        for second in seconds or range(int(WARM_UP_SECONDS), int(self.shape.seconds)):
            for (each, name, outcome), n in self.results[second].items():
                if kind in (None, each) and organisation in (None, name):
                    found[outcome] += n
        return 1 - found["refused"] / found.total()

    def build_gateway(self, number):
        directory = super().build_gateway(number)
        peers = directory.peers
        directory.settings.share_places = self.shape.share_places
        places = self.places_of[directory.settings.host] = Places(
            directory.settings,
            self.configuration,
            directory,
            peers,
            PlaceMetrics(MetricCatalogue()),
            directory.random,
        )
        build_loads = peers.build_beacon

        def build_beacon() -> Beacon:
            beacon = build_loads()
            beacon.demand = encode_demand(places.own_demand())
            beacon.organisations = encode_organisations(places.own_organisations())
            return beacon

        def on_change(zone):
            peers.announce_change(zone)
            places.wake()

        peers.build_beacon = build_beacon
        peers.on_beacon = lambda peer: places.wake()
        directory.announce_change = on_change
        return directory

    async def send_callers(self):
        """Send requests of each kind at its rate until the simulation ends."""
        async with asyncio.TaskGroup() as group:
            for kind in range(len(TARGETS)):
                group.create_task(self.send_kind(kind, group))

    async def send_kind(self, kind, group):
        while self.loop.time() < self.shape.seconds:
            rate = self.shape.rates(self.loop.time())[kind]
            if rate == 0:
                await asyncio.sleep(0.01)
                continue
            await asyncio.sleep(self.random.expovariate(rate))
            group.create_task(self.call_kind(kind))

    async def call_kind(self, kind):
        """Send one request through a random gateway and count its outcome."""
        gateway = self.random.choice(self.gateways)
        is_first = self.random.random() < self.shape.first_part
        others = ORGANISATIONS[1:]
        organisation = ORGANISATIONS[0] if is_first else self.random.choice(others)
        began = self.loop.time()
        table = self.configuration.table
        call = build_call(table, kind, began, organisation)
        outcome = await self.run_call(gateway, call)
        self.results[int(began)][kind, organisation, outcome] += 1

    async def run_call(self, gateway, call):
        """Return the outcome of a call."""
        try:
            place = await self.places_of[gateway.settings.host].take(call)
        except Overloaded:
            return "refused"
        try:
            return await self.place(gateway, call, place)
        finally:
            if place is not None:
                place.leave()

    async def place(self, gateway, call, place):
        """Run a call that has a place at an engine; return its outcome."""
        filling = place.filling if place else None
        placed = gateway.choose_endpoint(SERVICE, set(), False, filling)
        if not isinstance(placed, Chosen):
            return "refused"
        reservation = gateway.reserve(placed.endpoint, 700)
        engine = self.engines[placed.endpoint.name]
        at_engines = (e.running + len(e.waiting) for e in self.engines.values())
        self.taken.append((self.loop.time(), sum(at_engines) + 1))
        await engine.enter()
        await asyncio.sleep(PROMPT_SECONDS)
        reservation.mark_prompt_read()
        is_late = self.loop.time() - call.arrived > call.route.target
        spread = self.random.choice((0.4, 0.7, 1.0, 1.3, 1.6))
        await asyncio.sleep(self.shape.stream_seconds * spread)
        engine.leave()
        reservation.release()
        return "late" if is_late else "on time"
