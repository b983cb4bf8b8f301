"""Simulate a fleet whose engines end when they begin an answer to certain prompts."""

import asyncio
import collections
import itertools
from dataclasses import dataclass

from fescuedrum.decisions.placing.placement import Chosen
from fescuedrum.exceptions import Quarantined
from fescuedrum_gateway.connection.endpoint_checks import ConnectResult
from fescuedrum_gateway.process.beacons.quarantine import (
    encode_ended,
    encode_sound,
    encode_suspects,
)
from fescuedrum_gateway.process.quarantine import GatewayQuarantine
from support.clock import run_paused
from support.fleet import (
    NETWORK_DELAY_SECONDS,
    PROMPT_SECONDS,
    SERVICE,
    WARM_UP_SECONDS,
    FleetShape,
    FleetSimulation,
)

CRASHING = "crash"
BACK_SECONDS = 3.0
ATTEMPTS = 2
REPEAT_SECONDS = 0.3


@dataclass(slots=True)
class CrashingShape(FleetShape):
    """Hold the parameters; rates are requests per second in total."""

    cold_per_second: float = 0.0
    crashing_rate: float = 4.0
    # Callers that each send one request, at which engines end, again and again.
    repeating_callers: int = 0
    # Engines that end at once for another reason after the warm-up.
    ends_at_once: int = 0
    seconds: float = 12.0


def play(**shape):
    """Run a simulation to its end and return it."""

    async def run():
        return await CrashingFleet(CrashingShape(**shape)).run()

    return run_paused(run())


class CrashingFleet(FleetSimulation):
    """Simulate a fleet; results counts sound requests as begun, refused and lost.

    crashes lists when engines ended at a prompt with the part CRASHING, and
    repeat_crashes counts their ends at each repeated request.
    """

    def __init__(self, shape):
        self.quarantines = {}
        self.crashes = []
        self.repeat_crashes = collections.Counter()
        self.calls = itertools.count()
        self.ended = set()
        self.results = {"begun": 0, "refused": 0, "lost": 0}
        super().__init__(shape)

    def build_gateway(self, number):
        directory = super().build_gateway(number)
        peers = directory.peers
        quarantine = GatewayQuarantine(directory, peers, self.connect)
        self.quarantines[peers.settings.host] = quarantine
        build_others, merge_others = peers.build_beacon, peers.on_beacon

        def build_beacon():
            beacon, now = build_others(), self.loop.time()
            beacon.ended = encode_ended(quarantine.recently_ended(), now) or None
            beacon.suspects = encode_suspects(quarantine.quarantine, now) or None
            beacon.sound_parts = encode_sound(quarantine.quarantine, now) or None
            return beacon

        def on_beacon(peer):
            merge_others(peer)
            quarantine.merge(peer)

        peers.build_beacon, peers.on_beacon = build_beacon, on_beacon
        return directory

    async def connect(self, endpoint):
        await asyncio.sleep(2 * NETWORK_DELAY_SECONDS)
        is_ended = endpoint.name in self.ended
        return ConnectResult.REFUSED if is_ended else ConnectResult.OPEN

    async def send_callers(self):
        async with asyncio.TaskGroup() as group:
            group.create_task(super().send_callers())
            group.create_task(self.send_crashing(group))
            for number in range(self.shape.repeating_callers):
                group.create_task(self.repeat(f"request:crash{number}"))
            group.create_task(self.end_at_once())

    async def send_crashing(self, group):
        await asyncio.sleep(WARM_UP_SECONDS)
        while self.shape.crashing_rate and self.loop.time() < self.shape.seconds:
            group.create_task(self.call(self.random.choice(self.gateways), CRASHING))
            await asyncio.sleep(self.random.expovariate(self.shape.crashing_rate))

    async def repeat(self, fingerprint):
        """Send one request after each failure to any gateway."""
        await asyncio.sleep(WARM_UP_SECONDS)
        parts = self.draw_parts()
        while self.loop.time() < self.shape.seconds:
            gateway = self.random.choice(self.gateways)
            await self.send(gateway, parts, fingerprint)
            await asyncio.sleep(REPEAT_SECONDS)

    async def end_at_once(self):
        await asyncio.sleep(WARM_UP_SECONDS)
        for name in list(self.engines)[: self.shape.ends_at_once]:
            self.end_engine(name)

    def end_engine(self, name):
        """End an engine; another one takes its place later."""
        self.ended.add(name)
        self.loop.call_later(BACK_SECONDS, self.replace_engine, name)

    def replace_engine(self, name):
        del self.engines[name]
        for gateway in self.gateways:
            gateway.presences.unlisted(name, self.loop.time())
        self.add_engine(len(self.engines) + len(self.ended) * self.shape.engines)

    async def call(self, gateway, crashing=""):
        """Send a request and count its result."""
        parts = self.draw_parts()
        if crashing:
            parts = (parts[0], crashing, *parts[1:])
        began = self.loop.time()
        result = await self.send(gateway, parts, f"request:{next(self.calls)}")
        if began >= WARM_UP_SECONDS and not crashing:
            self.results[result] += 1

    def draw_parts(self):
        """Return the parts of a prompt that other requests have as well."""
        drawn = (("a", self.random.randrange(3)), ("b", self.random.randrange(9)))
        return tuple(f"{place}{number}" for place, number in drawn)

    async def send(self, gateway, parts, fingerprint):
        """Send a request to one engine after the other; return its result."""
        result, tried = "lost", set()
        for attempt in range(ATTEMPTS):
            try:
                result = await self.attempt(gateway, parts, fingerprint, tried)
            except Quarantined:
                return "refused" if attempt == 0 else "lost"
            if result == "begun":
                break
        return result

    async def attempt(self, gateway, parts, fingerprint, tried):
        quarantine = self.quarantines[gateway.settings.host]
        await quarantine.until_checked(fingerprint)
        quarantine.raise_if_quarantined((*parts, fingerprint))
        placed = gateway.choose_endpoint(SERVICE, tried, False)
        if not isinstance(placed, Chosen):
            return "refused"
        endpoint = placed.endpoint
        tried.add(endpoint.name)
        if endpoint.name in self.ended:
            gateway.history(endpoint).failed(self.loop.time())
            quarantine.checks.found_closed(endpoint)
            return "lost"
        taken_back = asyncio.Event()
        request = quarantine.sent(
            "r", parts, fingerprint, endpoint, lambda _: taken_back.set()
        )
        reservation = gateway.reserve(endpoint, 700)
        try:
            return await self.begin(quarantine, request, taken_back)
        finally:
            reservation.release()

    async def begin(self, quarantine, request, taken_back):
        """Wait for the beginning of an answer; return the result of the attempt."""
        await asyncio.sleep(PROMPT_SECONDS * self.random.uniform(0.7, 1.3))
        if taken_back.is_set():
            return "lost"
        name = request.endpoint.name
        repeated = request.fingerprint.startswith("request:crash")
        if (CRASHING in request.parts or repeated) and name not in self.ended:
            if repeated:
                self.repeat_crashes[request.fingerprint] += 1
            else:
                self.crashes.append(self.loop.time())
            self.end_engine(name)
        if name in self.ended:
            quarantine.broke(request)
            return "lost"
        quarantine.begun(request)
        quarantine.answered(request)
        return "begun"
