"""Run gateways inside the test process on loopback addresses, and call them."""

import asyncio
import contextlib
import itertools
import os
import random
import socket

import aiohttp

from fescuedrum_gateway.conf import GatewaySettings
from fescuedrum_gateway.process.gateway import Gateway
from support.dialect import MemoryRowStore, PlainAdapter
from support.routing import build_routing_document

READY_SECONDS = 5.0
# Outgoing connections use ports from 32768 on.
LOWEST_PORT = 12000
PORTS_PER_WORKER = 1200
WORKERS = 16

# Path and query of requests on the route that build_route makes.
PATH = "/advice/tension?court=clay%20dust"


def free_ports(count):
    """Return ports that are free at the moment.

    They are below those of outgoing connections, one of which might take a port before
    a gateway listens on it, and differ from those of the other test workers.
    """
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    begin = LOWEST_PORT + PORTS_PER_WORKER * (int(worker) % WORKERS)
    candidates = random.sample(range(begin, begin + PORTS_PER_WORKER), PORTS_PER_WORKER)
    free = (port for port in candidates if is_free(port))
    return list(itertools.islice(free, count))


def is_free(port):
    """Return whether no socket of this machine uses a port, for TCP or for UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as opened:
            try:
                opened.bind(("0.0.0.0", port))
            except OSError:
                return False
    return True


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
    store,
    *,
    host="127.0.0.1",
    ports=None,
    ready=True,
    adapter=PlainAdapter,
    **changes,
):
    """Run a gateway with a store until the block ends; yield a RunningGateway."""
    settings = build_settings(
        f"gateway-{host}", host, ports or free_ports(3), **changes
    )
    running = RunningGateway(Gateway(settings, adapter(store), incarnation=1))
    try:
        if ready:
            await running.until(lambda gateway: gateway.ready)
        yield running
    finally:
        running.stop.set()
        running.task.cancel()
        await asyncio.gather(running.task, return_exceptions=True)
        # A gateway that was cancelled has not done it.
        running.gateway.peers.close()


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
