"""Simulate endpoints that record which requests they run."""

import asyncio
import contextlib
import hashlib
from dataclasses import dataclass, field

from aiohttp import web

from fescuedrum_bench.faultproxy import FaultProxy
from soak import wire

RUN_SECONDS = 0.03
# A failing endpoint aborts one request in this many.
FAILING_ONE_IN = 4


def whole_body(request_id):
    """Return the expected response body of a request that is not a stream."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode() * 8


@dataclass(slots=True, frozen=True)
class Run:
    """Record that an endpoint began to run a request; at is loop time."""

    request_id: str
    endpoint: str
    zone: str
    at: float


@dataclass(slots=True)
class RateLimit:
    """Record a period in which an endpoint announces a rate limit, and its arrivals."""

    endpoint: str
    # Requests per second from all gateways together.
    rate: float
    began: float
    ended: float = float("inf")
    # (loop time, request id) of each arrival.
    arrivals: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Arrival:
    """Record a request that reached an endpoint and what its answer asked for."""

    request_id: str
    endpoint: str
    at: float
    # Seconds of rest that the endpoint asked for with its refusal; 0 for none.
    rest: float = 0.0
    # Whether the endpoint announced that it leaves.
    leaving: bool = False


@dataclass(slots=True)
class Journal:
    """Hold the executions, arrivals and rate limits of all endpoints."""

    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    rate_limits: list[RateLimit] = field(default_factory=list)


class StandInEndpoint:
    """Serve requests of one service behind a fault proxy of its own."""

    def __init__(self, name, service, zone, journal, streams):
        self.name = name
        self.service = service
        self.zone = zone
        self.journal = journal
        self.streams = streams
        self.slots = streams.conditions.slots
        self.fails = False
        self.refuses = False
        # Seconds of rest that it asks for with each refusal; 0 for none.
        self.rest = 0.0
        # Whether it announces in all responses that it leaves.
        self.leaving = False
        # The current rate limit, or None.
        self.rate_limit = None
        self.proxy = None
        self.runner = None
        self.listed_address = ""

    build_proxy = FaultProxy

    async def start(self):
        """Listen on a free port behind the proxy."""
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.serve)
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.proxy = self.build_proxy("127.0.0.1", self.runner.addresses[0][1])
        await self.proxy.start("127.0.0.1", 0)
        port = self.proxy.server.sockets[0].getsockname()[1]
        self.listed_address = f"127.0.0.1:{port}"

    async def stop(self):
        await self.proxy.stop()
        await self.runner.cleanup()

    async def serve(self, request):
        """Run a request, or refuse or abort it as the current fault says."""
        request_id = request.headers[wire.REQUEST_ID]
        own = {wire.REQUEST_ID: request_id}
        if request.headers[wire.ENDPOINT_NAME] != self.name:
            return web.Response(status=wire.MISDIRECTED_STATUS, headers=own)
        await request.read()
        own |= self.record_arrival(request_id)
        now = asyncio.get_running_loop().time()
        self.journal.arrivals.append(
            Arrival(request_id, self.name, now, self.rest, self.leaving)
        )
        if self.leaving:
            own[wire.LEAVING] = "1"
        if self.rest:
            own[wire.REST] = str(self.rest)
        if self.must_refuse():
            return web.Response(status=503, headers=own | {wire.NOT_RUN: "1"})
        run = Run(request_id, self.name, self.zone, now)
        self.journal.runs.append(run)
        if self.fails and len(self.journal.runs) % FAILING_ONE_IN == 0:
            request.transport.abort()
            raise web.HTTPInternalServerError
        headers = own | {wire.SIGNATURE: "soak"}
        if request.path.startswith("/stream/"):
            return await self.stream(request, request_id, headers)
        await asyncio.sleep(RUN_SECONDS)
        return web.Response(body=whole_body(request_id), headers=headers)

    def must_refuse(self):
        return self.refuses or bool(self.rest)

    def start_rate_limit(self, rate):
        """Announce a rate limit in all responses until end_rate_limit is called."""
        now = asyncio.get_running_loop().time()
        self.rate_limit = RateLimit(self.name, rate, now)
        self.journal.rate_limits.append(self.rate_limit)

    def end_rate_limit(self):
        self.rate_limit.ended = asyncio.get_running_loop().time()
        self.rate_limit = None

    def record_arrival(self, request_id):
        """Record an arrival under a rate limit; return the header that announces it."""
        if self.rate_limit is None:
            return {}
        now = asyncio.get_running_loop().time()
        self.rate_limit.arrivals.append((now, request_id))
        return {wire.RATE: str(self.rate_limit.rate)}

    async def stream(self, request, request_id, headers):
        """Send the events of a stream after the last one that the request names."""
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        first = int(request.headers.get(wire.LAST_EVENT) or 0) + 1
        # A fault may have closed the connection.
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            await self.send_events(response, request_id, first)
            await response.write_eof()
        return response

    async def send_events(self, response, request_id, first):
        """Send the events of a stream from the given number on."""
        for number in range(first, self.streams.event_count(request_id) + 1):
            await asyncio.sleep(self.streams.conditions.event_interval_seconds)
            await response.write(self.streams.event(request_id, number))
