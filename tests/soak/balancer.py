"""Stand in for the balancer, which chooses where new connections go."""

import asyncio
import collections
import socket

import aiohttp
from aiohttp.abc import AbstractResolver

LOOK_SECONDS = 1.0
# A gateway is out once so many looks one after the other have missed.
LOOKS = 2
# Longer than any connection rests here: only gateways close what is kept.
KEEP_SECONDS = 60.0
# Callers know the balancer's name only.
NAME = "soak.example"


class Balancer:
    """Ask gateways whether they are ready, and send new connections to those."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.looks = {each.name: collections.deque(maxlen=LOOKS) for each in gateways}

    async def run(self, session):
        while True:
            await self.look(session)
            await asyncio.sleep(LOOK_SECONDS)

    async def look(self, session):
        answers = (gateway.is_ready(session) for gateway in self.gateways)
        for gateway, ready in zip(
            self.gateways, await asyncio.gather(*answers), strict=True
        ):
            self.looks[gateway.name].append(ready)

    def choose(self, random):
        """Return a gateway that is in, or any if none is."""
        ready = [each for each in self.gateways if any(self.looks[each.name])]
        return random.choice(ready or self.gateways)


class Lane(AbstractResolver):
    """Keep one connection; when it is gone, the next goes where the balancer says."""

    def __init__(self, balancer, random):
        self.balancer = balancer
        self.random = random
        self.port = balancer.gateways[0].ports.callers
        # Where the last connection was opened to.
        self.gateway = ""

    @property
    def url(self):
        return f"http://{NAME}:{self.port}"

    def open_session(self):
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=1,
                resolver=self,
                use_dns_cache=False,
                keepalive_timeout=KEEP_SECONDS,
            )
        )

    async def resolve(self, host, port=0, family=socket.AF_INET):
        """Tell the library where a new connection goes."""
        gateway = self.balancer.choose(self.random)
        self.gateway = gateway.name
        address = {"host": gateway.host, "port": port, "family": socket.AF_INET}
        return [address | {"hostname": host, "proto": 0, "flags": 0}]

    async def close(self):
        """Hold nothing that has to be closed."""
