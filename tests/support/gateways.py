"""Run gateways inside the test process on loopback addresses, and call them."""

import asyncio
import contextlib
import socket

import aiohttp

from fescuedrum_gateway.conf import GatewaySettings
from fescuedrum_gateway.process.gateway import Gateway
from support.dialect import MemoryRowStore, PlainAdapter
from support.routing import build_routing_document

READY_SECONDS = 5.0

# Path and query of requests on the route that build_route makes.
PATH = "/advice/tension?court=clay%20dust"


def free_ports(count):
    """Return ports that are free at the moment."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("0.0.0.0", 0))
        return [each.getsockname()[1] for each in sockets]


def build_settings(name, host, ports, **changes):
    """Return settings with (callers, ready, peers) ports."""
    callers, ready, peers = ports
    values = {
        "name": name,
        "zone": "zone-1",
        "host": host,
        "callers_address": f"{host}:{callers}",
        "ready_address": f"{host}:{ready}",
        "peer_port": peers,
        "platform_url": "http://127.0.0.1:1",
        "stop_seconds": 2.0,
    }
    return GatewaySettings(**values | changes)


class RunningGateway:
    """Run one gateway as a task."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.stop = asyncio.Event()
        self.task = asyncio.create_task(gateway.run(self.stop))

    @property
    def url(self):
        return f"http://{self.gateway.settings.callers_address}"

    @property
    def callers_port(self):
        return int(self.gateway.settings.callers_address.rpartition(":")[2])

    async def until(self, condition, seconds=READY_SECONDS):
        """Wait until condition(gateway) holds; raise TimeoutError if it does not."""
        async with asyncio.timeout(seconds):
            while not condition(self.gateway):
                if self.task.done():
                    self.task.result()
                await asyncio.sleep(0.01)

    async def end(self):
        """Stop the gateway and wait for its end."""
        self.stop.set()
        await self.task


@contextlib.asynccontextmanager
async def running_gateway(
    store, *, host="127.0.0.1", ports=None, ready=True, **changes
):
    """Run a gateway with a store until the block ends; yield a RunningGateway."""
    settings = build_settings(
        f"gateway-{host}", host, ports or free_ports(3), **changes
    )
    running = RunningGateway(Gateway(settings, PlainAdapter(store), incarnation=1))
    try:
        if ready:
            await running.until(lambda gateway: gateway.ready)
        yield running
    finally:
        running.stop.set()
        running.task.cancel()
        await asyncio.gather(running.task, return_exceptions=True)


@contextlib.asynccontextmanager
async def site(*endpoints, document=None, **changes):
    """Run endpoints and one gateway; yield (RunningGateway, client session)."""
    store = MemoryRowStore()
    store.put("operators", "document", document or build_routing_document())
    for endpoint in endpoints:
        await endpoint.start()
        store.put("endpoints", endpoint.name, endpoint.listed())
    async with (
        running_gateway(store, **changes) as running,
        aiohttp.ClientSession() as session,
    ):
        yield running, session
    for endpoint in endpoints:
        endpoint.server.close()


def caller_headers(**changes):
    """Return the headers of a caller's request; underscores become hyphens."""
    values = {
        "Host": "club.example",
        "Request-Id": "r-1",
        "Key": "club-key",
        "Patience": "2.0",
    }
    return values | {name.replace("_", "-"): text for name, text in changes.items()}


async def call(running, session, method="POST", path=PATH, body=b"{}", **headers):
    """Send one request; return (status, headers, body)."""
    async with session.request(
        method, running.url + path, data=body, headers=caller_headers(**headers)
    ) as answer:
        return answer.status, answer.headers, await answer.read()
