"""Assemble a site whose endpoints end when they begin an answer to certain prompts."""

import asyncio
import contextlib
import enum
import random
import socket
import struct
from dataclasses import dataclass, replace

from aiohttp import web

from fescuedrum_bench.faultproxy import FaultProxy
from soak import wire
from soak.callers import Caller, Ending, Record
from soak.conditions import RequestKind
from soak.endpoints import StandInEndpoint
from soak.site import (
    RANKED_SERVICE,
    ZONES,
    Site,
    SoakOrganisation,
    SoakRoute,
)

ENDPOINTS = 8
ROUTES = (SoakRoute("stream", f"/{RequestKind.STREAM}/", "stream", RANKED_SERVICE),)
ORGANISATIONS = tuple(
    SoakOrganisation(f"org-{number}", f"key-{number}") for number in range(4)
)
# Parts of sound prompts, by their place in the prompt.
SOUND_PARTS = tuple(
    tuple(f"{place}{number}" for number in range(count))
    for place, count in (("a", 3), ("b", 6), ("c", 20))
)
SOUND_PER_SECOND = 30.0
CRASHING_PER_SECOND = 4.0
# Sound requests only, to know how often they begin without a fault.
CALM_SECONDS = 4.0
# Time in which an endpoint reads a prompt.
PROMPT_SECONDS = 0.1
# Time from the end of an endpoint until its row is deleted, and until it is back.
UNLISTED_SECONDS = 1.2
BACK_SECONDS = 3.0
CLOSE_SECONDS = 0.01
# A caller that gets no answer sends its request again after this time.
REPEAT_SECONDS = 0.05
# Part of the time left that a caller waits when it is told when to come back.
LONGEST_WAIT_SHARE = 1 / 3
# Between other faults.
FAULT_PAUSE_SECONDS = (2.0, 5.0)


class CrashMoment(enum.StrEnum):
    """List when an endpoint ends that begins an answer."""

    BEFORE_HEAD = "before the head"
    AFTER_HEAD = "after the head"
    AFTER_FIRST_EVENT = "after the first event"


@dataclass(slots=True, frozen=True)
class CrashPlan:
    """Describe the prompts at which endpoints end, and how."""

    parts: tuple[str, ...]
    # Where the part is in a prompt; 0 for the first.
    position: int
    moment: CrashMoment
    # Whether answers have neither a length nor chunks and end with their connection.
    is_unframed: bool


def draw_crash_plan(seed):
    """Return the CrashPlan of a seed."""
    rng = random.Random(f"{seed}/crashes")
    return CrashPlan(
        parts=tuple(f"crash{number}" for number in range(rng.choice((1, 1, 2)))),
        position=rng.choice((0, 1, 1, 3)),
        moment=rng.choice(tuple(CrashMoment)),
        is_unframed=rng.random() < 0.4,
    )


@dataclass(slots=True, frozen=True)
class PartArrival:
    """Record that a request with a crashing part reached an endpoint."""

    request_id: str
    part: str
    at: float


@dataclass(slots=True, frozen=True)
class PartEnd:
    """Record that an endpoint ended as it began an answer to a prompt with a part."""

    endpoint: str
    part: str
    at: float


@dataclass(slots=True)
class PartsRecord(Record):
    """Hold one sending of a request; a request is sent again after a failure."""

    parts: tuple[str, ...] = ()
    organisation: SoakOrganisation | None = None
    deadline: float = 0.0
    # 0 for the first sending of a request.
    number: int = 0
    # The part at which endpoints end; empty for a sound request.
    crashing_part: str = ""
    retry_after: float | None = None
    # The body of an answer that is no success.
    refusal: str = ""


class ResettingProxy(FaultProxy):
    """Cut connections with a reset, which ends no answer without a length."""

    __slots__ = ()

    def cut(self):
        for carrier in self.carriers:
            for writer in carrier.writers:
                connection = writer.get_extra_info("socket")
                if connection.fileno() >= 0:
                    linger = struct.pack("ii", 1, 0)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        super().cut()


class CrashingEndpoint(StandInEndpoint):
    """Read each prompt and end at those with a crashing part; come back later."""

    build_proxy = ResettingProxy

    def __init__(self, *arguments, site):
        super().__init__(*arguments)
        self.site = site

    def crashing_part(self, request):
        """Return the part of a prompt at which this endpoint ends; empty for none."""
        parts = request.headers[wire.PROMPT_PARTS].split(",")[:-1]
        names = {part.partition(":")[0] for part in parts}
        return next((each for each in self.site.crashes.parts if each in names), "")

    async def stream(self, request, request_id, headers):
        part = self.crashing_part(request)
        if part:
            arrival = PartArrival(request_id, part, self.site.loop.time())
            self.site.part_arrivals.append(arrival)
        await asyncio.sleep(PROMPT_SECONDS)
        if request.transport is None:
            # The sender has closed the connection, or this endpoint has ended.
            raise web.HTTPInternalServerError
        if part:
            await self.crash(part, request, request_id, headers)
            raise web.HTTPInternalServerError
        if not self.site.crashes.is_unframed:
            return await super().stream(request, request_id, headers)
        await self.send_unframed(request, request_id, headers)
        raise web.HTTPInternalServerError

    async def send_unframed(self, request, request_id, headers):
        """Send a stream that ends with its connection."""
        transport = request.transport
        transport.write(encode_head(headers, is_unframed=True))
        first = int(request.headers.get(wire.LAST_EVENT) or 0) + 1
        for number in range(first, self.streams.event_count(request_id) + 1):
            await asyncio.sleep(self.streams.conditions.event_interval_seconds)
            if transport.is_closing():
                return
            transport.write(self.streams.event(request_id, number))
        transport.close()

    async def crash(self, part, request, request_id, headers):
        """Begin an answer as far as the plan says, and end."""
        plan, transport = self.site.crashes, request.transport
        if plan.moment is not CrashMoment.BEFORE_HEAD:
            transport.write(encode_head(headers, is_unframed=plan.is_unframed))
        if plan.moment is CrashMoment.AFTER_FIRST_EVENT:
            event = self.streams.event(request_id, 1)
            transport.write(event if plan.is_unframed else encode_chunk(event))
        if self.site.endpoint(self.name) is self:
            self.site.end_endpoint(self, part)
        if plan.is_unframed and plan.moment is CrashMoment.AFTER_FIRST_EVENT:
            # A closed stream would look whole; it is reset with the others.
            await asyncio.sleep(BACK_SECONDS)
        transport.close()


def encode_head(headers, *, is_unframed):
    """Return the head of an answer without a length."""
    framing = "Connection: close" if is_unframed else "Transfer-Encoding: chunked"
    lines = ["HTTP/1.1 200 OK", framing]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_chunk(data):
    """Return data as one chunk of an answer."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class PartsSite(Site):
    """Hold endpoints that end at certain prompts, and what reached them."""

    zones = tuple(ZONES[number % len(ZONES)] for number in range(ENDPOINTS))
    routes = ROUTES

    def __init__(self, random, plan):
        super().__init__(random, plan)
        self.crashes = draw_crash_plan(plan.seed)
        self.document = replace(
            self.document,
            routes=self.routes,
            services=(RANKED_SERVICE,),
            organisations=ORGANISATIONS,
        )
        self.part_arrivals = []
        self.part_ends = []
        # When requests with a crashing part came.
        self.crashing_span = None
        self.session = None
        self.returning = set()

    @contextlib.contextmanager
    def record_crashing_span(self):
        """Let requests with a crashing part come during the block."""
        spans = []
        with self.record_span(spans, "crashing prompts"):
            (self.crashing_span,) = spans
            yield

    def build_endpoint(self, *arguments):
        return CrashingEndpoint(*arguments, site=self)

    def end_endpoint(self, endpoint, part):
        """End an endpoint that began an answer, and let it return later."""
        self.part_ends.append(PartEnd(endpoint.name, part, self.loop.time()))
        self.endpoints.remove(endpoint)
        task = asyncio.create_task(self.return_endpoint(endpoint))
        self.returning.add(task)
        task.add_done_callback(self.returning.discard)

    async def return_endpoint(self, endpoint):
        """Stop an endpoint, and start another one in its place."""
        with self.record_disturbance(endpoint.name):
            await asyncio.sleep(CLOSE_SECONDS)
            await endpoint.stop()
            await asyncio.sleep(UNLISTED_SECONDS)
            self.store.put(wire.ENDPOINTS, endpoint.name, None)
            await asyncio.sleep(BACK_SECONDS - UNLISTED_SECONDS)
            await self.add_endpoint(endpoint.service, endpoint.zone)

    async def remove_endpoint(self, endpoint):
        # It may have ended as it began an answer.
        if self.endpoint(endpoint.name) is endpoint:
            await super().remove_endpoint(endpoint)

    async def close(self):
        for task in list(self.returning):
            task.cancel()
        await super().close()


class PartsCaller(Caller):
    """Send the requests of all organisations at a constant rate until cancelled."""

    async def run(self):
        async with asyncio.TaskGroup() as group:
            while True:
                is_crashing = self.draw_is_crashing()
                group.create_task(self.request(is_crashing))
                await asyncio.sleep(self.random.expovariate(self.per_second))

    @property
    def crashing_per_second(self):
        span = self.site.crashing_span
        comes = span is not None and span.overlaps(self.loop.time(), self.loop.time())
        return CRASHING_PER_SECOND if comes else 0.0

    @property
    def per_second(self):
        return SOUND_PER_SECOND + self.crashing_per_second

    def draw_is_crashing(self):
        return self.random.random() < self.crashing_per_second / self.per_second

    def draw_parts(self, crashing_part):
        """Return the parts of a prompt, with the part at which endpoints end."""
        parts = [self.random.choice(each) for each in SOUND_PARTS]
        if crashing_part:
            parts.insert(self.site.crashes.position, crashing_part)
        return tuple(parts)

    async def request(self, is_crashing):
        """Send a request, and again after a failure if there is time."""
        self.sent += 1
        name, crashes = f"{self.number}-{self.sent}", self.site.crashes
        part = self.random.choice(crashes.parts) if is_crashing else ""
        fixed = {
            "kind": RequestKind.STREAM,
            "parts": self.draw_parts(part),
            "organisation": self.random.choice(ORGANISATIONS),
            "deadline": self.loop.time() + self.conditions.patience_seconds,
            "crashing_part": part,
        }
        for number in range(2):
            gateway = self.random.choice(self.site.gateways)
            record = PartsRecord(
                f"{name}.{number}",
                gateway=gateway.name,
                began=self.loop.time(),
                number=number,
                **fixed,
            )
            self.records.append(record)
            await self.send(self.session, gateway.url, record)
            pause = record.retry_after or REPEAT_SECONDS
            left = record.deadline - self.loop.time()
            if record.ending is Ending.ANSWERED or pause > left * LONGEST_WAIT_SHARE:
                return
            await asyncio.sleep(pause)

    @property
    def session(self):
        return self.site.session

    def headers(self, record):
        own = f"own-{record.request_id}"
        return super().headers(record) | {
            wire.KEY: record.organisation.key,
            wire.PATIENCE: str(int((record.deadline - record.began) * 1000)),
            wire.PROMPT_PARTS: ",".join(f"{each}:50" for each in (*record.parts, own)),
        }

    async def read_body(self, answer, record):
        if wire.REST in answer.headers:
            record.retry_after = float(answer.headers[wire.REST])
        return await answer.read()
