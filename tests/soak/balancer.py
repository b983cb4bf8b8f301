"""Simulate the load balancer that chooses the gateway of each new connection."""

import asyncio
import collections
import socket

import aiohttp
from aiohttp.abc import AbstractResolver

PROBE_INTERVAL_SECONDS = 1.0
# A gateway gets no new connections after this many failed probes in a row.
PROBES_UNTIL_OUT = 2
# Longer than any connection stays idle: only gateways close idle connections.
KEEPALIVE_SECONDS = 60.0
# Callers know only this name of the balancer.
NAME = "soak.example"


class Balancer:
    """Probe the readiness of gateways and choose a ready one for new connections."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.probe_results = {
            each.name: collections.deque(maxlen=PROBES_UNTIL_OUT) for each in gateways
        }

    async def run(self, session):
        """Probe the gateways periodically until cancelled."""
        while True:
            await self.probe_gateways(session)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def probe_gateways(self, session):
        """Record once for each gateway whether it is ready."""
        answers = (gateway.is_ready(session) for gateway in self.gateways)
        for gateway, ready in zip(
            self.gateways, await asyncio.gather(*answers), strict=True
        ):
            self.probe_results[gateway.name].append(ready)

    def choose(self, random):
        """Return a random gateway of the ready ones, or of all if none is ready."""
        ready = [each for each in self.gateways if any(self.probe_results[each.name])]
        return random.choice(ready or self.gateways)


class PersistentConnection(AbstractResolver):
    """Hold one persistent connection; the balancer chooses the gateway of the next."""

    def __init__(self, balancer, random):
        self.balancer = balancer
        self.random = random
        self.port = balancer.gateways[0].ports.callers
        # Name of the gateway to which the last connection was opened.
        self.gateway = ""

    @property
    def url(self):
        return f"http://{NAME}:{self.port}"

    def open_session(self):
        """Return a client session that uses one connection at a time."""
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=1,
                resolver=self,
                use_dns_cache=False,
                keepalive_timeout=KEEPALIVE_SECONDS,
            )
        )

    async def resolve(self, host, port=0, family=socket.AF_INET):
        """Return the address of the gateway that the balancer chooses."""
        gateway = self.balancer.choose(self.random)
        self.gateway = gateway.name
        address = {"host": gateway.host, "port": port, "family": socket.AF_INET}
        return [address | {"hostname": host, "proto": 0, "flags": 0}]

    async def close(self):
        """Do nothing: the resolver holds no resources."""
