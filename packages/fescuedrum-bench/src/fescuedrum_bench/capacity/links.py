"""Measure the cost of heartbeats for an entry by the number of linked agents."""

import asyncio

from fescuedrum.platform.interfaces import Instance
from fescuedrum.process import cancel
from fescuedrum.wire.handshake import PeerKey
from fescuedrum_agent.conf import AgentSettings
from fescuedrum_agent.process.agent import Agent
from fescuedrum_bench.capacity.measures import cpu_seconds, memory_bytes
from fescuedrum_bench.capacity.roles import HEARTBEAT_SECONDS
from fescuedrum_bench.capacity.slopes import fit
from fescuedrum_bench.member import PORT
from fescuedrum_bench.site import Site, SiteShape

AGENT_COUNTS = (10, 30, 100, 300)
# Too few for the pacing of heartbeats, so their rate is proportional to the links.
UNPACED_COUNTS = (8, 16, 24, 32)
FIRST_HOST = 100
HOSTS = 100
OBSERVED_SECONDS = 8.0
SETTLE_SECONDS = 1.0
CONNECT_SECONDS = 30.0


class AgentHost:
    """Run many agents in this process, as only the entry is measured."""

    __slots__ = ("agents", "servers", "site", "tasks")

    def __init__(self, site):
        self.site = site
        self.agents = []
        self.servers = []
        self.tasks = []

    async def grow(self, count):
        """Start and list agents until there are `count` of them."""
        while len(self.agents) < count:
            await self.add(len(self.agents))

    async def add(self, index):
        """Start one agent and list it at the platform."""
        host = f"{self.site.prefix}.{FIRST_HOST + index % HOSTS}"
        port = PORT + index // HOSTS
        settings = AgentSettings(
            name=f"agent-{index}",
            zone=self.site.zone(0),
            endpoint=f"engine-{index}",
            service="advice",
            host=host,
            port=port,
            endpoint_url="http://127.0.0.1:9",
            platform_url=self.site.platform.url,
            peer_keys=[PeerKey("site", self.site.peer_secret)],
        )
        agent = Agent(settings, incarnation=index + 1)
        server = await asyncio.start_server(agent.serve_connection, host, port)
        self.agents.append(agent)
        self.servers.append(server)
        self.tasks.append(asyncio.create_task(agent.run_periodic_tasks()))
        instance = Instance(settings.name, "agent", settings.zone, host, port)
        await self.site.list_instance(instance)

    async def wait_linked(self):
        """Wait until every agent has a session with an entry."""
        async with asyncio.timeout(CONNECT_SECONDS):
            while not all(agent.sessions for agent in self.agents):
                await asyncio.sleep(0.1)

    async def stop(self):
        """Stop all agents and close their connections."""
        await cancel(self.tasks)
        for agent in self.agents:
            for session in list(agent.sessions):
                session.connection.close()
        for server in self.servers:
            server.close()


async def measure_links():
    """Return the slopes of the entry by heartbeat (processor) and link (memory)."""
    shape = SiteShape(zones=1, entries=1, engines=0, services=0)
    processor, memory = [], []
    async with Site(shape, ["club"]) as site:
        host = AgentHost(site)
        for count in UNPACED_COUNTS:
            await host.grow(count)
            await host.wait_linked()
            processor.append(
                (count / HEARTBEAT_SECONDS, await observe(site.entries[0]))
            )
        for count in AGENT_COUNTS[1:]:
            await host.grow(count)
            await host.wait_linked()
            await asyncio.sleep(SETTLE_SECONDS)
            memory.append((count, memory_bytes(site.entries[0])))
        await host.stop()
    return [
        fit("link.heartbeats", processor, per="heartbeat each way", unit="s"),
        fit("link.memory", memory, per="link", unit="B"),
    ]


async def observe(entry):
    """Return the processor seconds that an idle process spends per second."""
    before = cpu_seconds(entry)
    await asyncio.sleep(OBSERVED_SECONDS)
    return (cpu_seconds(entry) - before) / OBSERVED_SECONDS
