"""Assemble a site whose endpoints end at requests that their callers send again."""

import asyncio
import enum
import random
from dataclasses import replace

from aiohttp import web

from fescuedrum_bench.faultproxy import Mode
from soak import wire
from soak.callers import Ending
from soak.conditions import RequestKind
from soak.parts import (
    BACK_SECONDS,
    ORGANISATIONS,
    PROMPT_SECONDS,
    SOUND_PER_SECOND,
    UNLISTED_SECONDS,
    CrashingEndpoint,
    CrashMoment,
    PartArrival,
    PartsCaller,
    PartsRecord,
    PartsSite,
    encode_chunk,
    encode_head,
)
from soak.site import RANKED_SERVICE, SoakRoute

ROUTES = (
    SoakRoute("stream", f"/{RequestKind.STREAM}/", "stream", RANKED_SERVICE),
    SoakRoute("again", f"/{RequestKind.AGAIN}/", "idempotent", RANKED_SERVICE),
    SoakRoute("once", f"/{RequestKind.ONCE}/", "non_idempotent", RANKED_SERVICE),
)
# A caller sends its request again so long after a failure.
REPEAT_SECONDS = 0.3
SEVERAL_CALLERS = 6
# Endpoints end one after the other at this interval in a release, each so many times.
RELEASE_SECONDS = 0.5
RELEASE_ROUNDS = 3
# Time between the ends of the endpoints of a rack.
RACK_SECONDS = 0.02
LATE_EVENTS = 3


class RepeatScenario(enum.StrEnum):
    """List what ends endpoints in a run."""

    STREAM = "a stream whose own part alone is new"
    LATE_STREAM = "a stream at whose third event endpoints end"
    IDEMPOTENT = "an idempotent request without a prompt"
    NON_IDEMPOTENT = "a request without a prompt that may run once"
    CHANGED_BODY = "a stream whose body differs in each repeat"
    SEVERAL = "streams of several callers"
    # Nothing that is sent ends an endpoint.
    RELEASE = "a release that ends endpoints without a notice"
    RACK = "racks that go down and return"
    PROXIED = "a stream, before proxies that reset connections while endpoints are down"


SCENARIOS = tuple(RepeatScenario)
HARMLESS = (RepeatScenario.RELEASE, RepeatScenario.RACK)


def choose_scenario(seed):
    """Return the scenario of a seed; nine successive seeds play all of them."""
    return SCENARIOS[seed % len(SCENARIOS)]


class RepeatEndpoint(CrashingEndpoint):
    """End at the requests of the scenario; other requests are answered."""

    def crashing_part(self, request):
        parts = request.headers.get(wire.PROMPT_PARTS, "").split(",")
        own = parts[-1].partition(":")[0]
        return own if own.startswith("crash") else ""

    async def serve(self, request):
        body = (await request.read()).decode()
        if request.path.startswith("/stream/") or not body.startswith("crash"):
            return await super().serve(request)
        self.record_part_arrival(request.headers[wire.REQUEST_ID], body)
        await asyncio.sleep(PROMPT_SECONDS)
        if request.transport is not None:
            if self.site.endpoint(self.name) is self:
                self.site.end_endpoint(self, body)
            request.transport.abort()
        raise web.HTTPInternalServerError

    def record_part_arrival(self, request_id, part):
        arrival = PartArrival(request_id, part, self.site.loop.time())
        self.site.part_arrivals.append(arrival)

    async def crash(self, part, request, request_id, headers):
        if self.site.scenario is not RepeatScenario.LATE_STREAM:
            await super().crash(part, request, request_id, headers)
            return
        transport = request.transport
        transport.write(encode_head(headers, is_unframed=False))
        first = int(request.headers.get(wire.LAST_EVENT) or 0) + 1
        for number in range(first, first + LATE_EVENTS):
            await asyncio.sleep(self.streams.conditions.event_interval_seconds)
            transport.write(encode_chunk(self.streams.event(request_id, number)))
        if self.site.endpoint(self.name) is self:
            self.site.end_endpoint(self, part)
        transport.close()


class RepeatSite(PartsSite):
    """Hold endpoints that end at repeated requests, and what reached them."""

    routes = ROUTES

    def __init__(self, random_, plan):
        super().__init__(random_, plan)
        self.scenario = choose_scenario(plan.seed)
        # Ends of gateways and of endpoints at which no request is the cause.
        self.has_other_faults = plan.seed // len(SCENARIOS) % 2 == 1
        rng = random.Random(f"{plan.seed}/repeats")
        self.crashes = replace(
            self.crashes,
            parts=tuple(f"crash{number}" for number in range(self.count_callers())),
            moment=rng.choice((CrashMoment.BEFORE_HEAD, CrashMoment.AFTER_HEAD)),
            is_unframed=False,
        )

    def count_callers(self):
        """Return how many callers repeat a request."""
        if self.scenario in HARMLESS:
            return 0
        return SEVERAL_CALLERS if self.scenario is RepeatScenario.SEVERAL else 1

    def build_endpoint(self, *arguments):
        return RepeatEndpoint(*arguments, site=self)

    async def return_endpoint(self, endpoint):
        if self.scenario is not RepeatScenario.PROXIED:
            await super().return_endpoint(endpoint)
            return
        endpoint.proxy.mode = Mode.REFUSE
        endpoint.proxy.cut()
        with self.record_disturbance(endpoint.name):
            await asyncio.sleep(UNLISTED_SECONDS)
            self.store.put(wire.ENDPOINTS, endpoint.name, None)
            await asyncio.sleep(BACK_SECONDS - UNLISTED_SECONDS)
            await self.add_endpoint(endpoint.service, endpoint.zone)
            await endpoint.stop()

    async def end_harmlessly(self):
        """End endpoints for a reason that no request has."""
        if self.scenario is RepeatScenario.RELEASE:
            for _ in range(RELEASE_ROUNDS * len(self.zones)):
                await self.end_one(RELEASE_SECONDS)
        elif self.scenario is RepeatScenario.RACK:
            for _ in range(RELEASE_ROUNDS):
                for _ in range(len(self.zones) // 2):
                    await self.end_one(RACK_SECONDS)
                await asyncio.sleep(len(self.zones) * RELEASE_SECONDS)

    async def end_one(self, seconds):
        """End the endpoint that has run for longest, and wait."""
        if self.endpoints:
            self.end_endpoint(self.endpoints[0], "")
        await asyncio.sleep(seconds)


class RepeatCaller(PartsCaller):
    """Send sound streams at a constant rate, and the repeated requests beside them."""

    async def run(self):
        async with asyncio.TaskGroup() as group:
            for part in self.site.crashes.parts:
                group.create_task(self.repeat(part))
            while True:
                group.create_task(self.request(is_crashing=False))
                await asyncio.sleep(self.random.expovariate(SOUND_PER_SECOND))

    @property
    def comes(self):
        return self.crashing_per_second > 0

    async def repeat(self, part):
        """Send one request again and again, while such requests come."""
        while not self.comes:
            await asyncio.sleep(REPEAT_SECONDS)
        parts, number = self.draw_parts(""), 0
        organisation = self.random.choice(ORGANISATIONS)
        while self.comes:
            gateway = self.random.choice(self.site.gateways)
            record = PartsRecord(
                f"{part}.{number}",
                gateway=gateway.name,
                began=self.loop.time(),
                number=number,
                kind=self.kind,
                parts=parts,
                organisation=organisation,
                deadline=self.loop.time() + self.conditions.patience_seconds,
                crashing_part=part,
            )
            self.records.append(record)
            await self.send(self.session, gateway.url, record)
            if record.ending is Ending.ANSWERED:
                return
            number += 1
            await asyncio.sleep(REPEAT_SECONDS)

    @property
    def kind(self):
        """Return the kind of the repeated requests."""
        match self.site.scenario:
            case RepeatScenario.IDEMPOTENT:
                return RequestKind.AGAIN
            case RepeatScenario.NON_IDEMPOTENT:
                return RequestKind.ONCE
            case _:
                return RequestKind.STREAM

    def headers(self, record):
        headers = super().headers(record)
        if record.kind is not RequestKind.STREAM:
            del headers[wire.PROMPT_PARTS]
        elif record.crashing_part:
            names = (*record.parts, record.crashing_part)
            headers[wire.PROMPT_PARTS] = ",".join(f"{each}:50" for each in names)
        return headers

    async def read_body(self, answer, record):
        body = await super().read_body(answer, record)
        if answer.status != 200:
            record.refusal = body.decode()
        return body

    def body(self, record):
        if record.kind is not RequestKind.STREAM:
            return record.crashing_part.encode()
        if self.site.scenario is RepeatScenario.CHANGED_BODY and record.crashing_part:
            return str(record.number).encode()
        return super().body(record)
