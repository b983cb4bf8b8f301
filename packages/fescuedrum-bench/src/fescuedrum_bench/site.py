"""Start and stop a small site of real processes on loopback addresses."""

import asyncio
import copy
import datetime
import json
import pathlib
import secrets
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from fescuedrum.conf import document as documents, schema
from fescuedrum.conf.safety import Allowance
from fescuedrum.platform.client import PlatformClient
from fescuedrum.platform.interfaces import Instance
from fescuedrum.versions.apply import ChangeApplier, Proposal
from fescuedrum_bench.faultproxy import FaultProxy
from fescuedrum_bench.member import (
    PORT,
    Member,
    MemberNotUpError,
    connection_error,
    reserve_network,
)
from fescuedrum_entry.operators.accounts import Account, Role

PEER_PORT = 7001
READY_SECONDS = 20.0


@dataclass(slots=True)
class SiteShape:
    """Hold the size of a site and the settings of its processes."""

    zones: int = 3
    entries: int = 2
    engines: int = 3
    services: int = 1
    step_seconds: float = 0.01
    cold_limit: int = 2
    warm_limit: int = 16
    # Added to an engine's step for each sequence in the batch.
    sequence_seconds: float = 0.0
    # Sequences in an engine's largest batch.
    batch: int = 256
    # Weights by organisation; 1 for those not listed.
    weights: dict[str, float] = field(default_factory=dict)
    # Override the settings of every entry and every agent.
    entry_settings: dict[str, object] = field(default_factory=dict)
    agent_settings: dict[str, object] = field(default_factory=dict)
    # Whether connections between members pass through proxies that inject faults.
    proxied: bool = False


class Site:
    """Run the processes of a small site: platform, endpoints, agents and entries."""

    __slots__ = (
        "agents",
        "directory",
        "document",
        "endpoints",
        "entries",
        "fault_steps",
        "guard",
        "keys",
        "members",
        "next_host",
        "operator_token",
        "peer_secret",
        "platform",
        "prefix",
        "proxies",
        "session",
        "shape",
        "temporary",
        "version",
    )

    def __init__(self, shape, organisations):
        self.shape = shape
        self.prefix, self.guard = reserve_network()
        self.temporary = tempfile.TemporaryDirectory(prefix="fescuedrum-site-")
        self.directory = pathlib.Path(self.temporary.name)
        self.next_host = 1
        self.members = {}
        self.entries = []
        self.agents = []
        self.endpoints = []
        self.proxies = {}
        # Protocol step at which a member kills itself, by name.
        self.fault_steps = {}
        self.platform = None
        self.session = None
        self.version = 0
        self.operator_token = f"operator.{secrets.token_hex(16)}"
        self.peer_secret = secrets.token_hex(32)
        self.keys = {name: f"{name}.secret" for name in organisations}
        self.document = self.build_document(organisations)

    def build_document(self, organisations):
        """Return the configuration document with two services and the zones."""
        services = [
            documents.Service("advice", documents.ServiceKind.ENGINE, ["advice-1"]),
            documents.Service("bookings", documents.ServiceKind.PLAIN, []),
        ]
        hashed = [
            documents.Organisation(
                name,
                [
                    documents.KeyHash(
                        "salt", documents.hash_key("salt", self.keys[name])
                    )
                ],
                weight=self.shape.weights.get(name, 1.0),
            )
            for name in organisations
        ]
        zones = [documents.Zone(self.zone(index)) for index in range(self.shape.zones)]
        return documents.Document(services, hashed, zones)

    def zone(self, index):
        """Return the name of the zone of a process by its index."""
        return f"zone-{index % self.shape.zones + 1}"

    async def __aenter__(self):
        self.session = aiohttp.ClientSession()
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_):
        await self.stop()

    async def start(self):
        """Start all processes and wait until they serve."""
        self.platform = await self.start_standin("platform", "platform")
        await self.wait_ready(f"{self.platform.url}/instances")
        await self.apply(self.document)
        await self.start_endpoints()
        for index in range(self.shape.entries):
            await self.start_entry(index)
        await self.wait_whole()
        for endpoint in self.endpoints:
            await self.wait_ready(f"{endpoint.url}/healthz")

    async def start_endpoints(self):
        """Start the engines and plain services, each with its agent."""
        shape = self.shape
        for index in range(shape.engines):
            options = ("--step-seconds", shape.step_seconds)
            options += ("--cold-limit", shape.cold_limit)
            options += ("--sequence-seconds", shape.sequence_seconds)
            options += ("--batch", shape.batch)
            engine = await self.start_standin(f"engine-{index}", "engine", *options)
            await self.start_agent(engine, "advice", self.zone(index))
        for index in range(shape.services):
            service = await self.start_standin(f"service-{index}", "service")
            await self.start_agent(service, "bookings", self.zone(index))

    async def start_standin(self, name, kind, *options):
        """Start a stand-in and return its member."""
        module = ["-m", "fescuedrum_bench", "standin", kind]
        member = self.add(name, module)
        member.command += ["--host", member.host, "--port", str(PORT)]
        member.command += [str(option) for option in options]
        await member.start()
        if kind != "platform":
            self.endpoints.append(member)
        return member

    async def start_agent(self, endpoint, service, zone):
        """Start the agent of an endpoint and list it at the platform."""
        name = f"agent-{endpoint.name}"
        settings = {
            "endpoint": endpoint.name,
            "service": service,
            "endpoint_url": await self.proxied_url(f"{name}-endpoint", endpoint),
            "cold_limit": self.shape.cold_limit,
            "warm_limit": self.shape.warm_limit,
        } | self.shape.agent_settings
        member = self.add(name, ["-m", "fescuedrum_agent.management"])
        await self.launch(member, zone, settings)
        self.agents.append(member)
        await self.list_instance(
            Instance(
                name,
                "agent",
                zone,
                await self.through_proxy(f"entries-{name}", member.host),
                PORT,
                endpoint=endpoint.name,
                service=service,
            )
        )

    async def start_entry(self, index, seeds=(), *, listed=True):
        """Start an entry and, if `listed`, list it at the platform."""
        zone = self.zone(index)
        member = self.add(
            f"entry-{index}", ["-m", "fescuedrum_entry.management", "serve"]
        )
        settings = self.entry_settings(seeds) | self.shape.entry_settings
        await self.launch(member, zone, settings)
        self.entries.append(member)
        if not listed:
            return
        instance = Instance(
            member.name, "entry", zone, member.host, PORT, peer_port=PEER_PORT
        )
        await self.list_instance(instance)

    def entry_settings(self, seeds):
        """Return the settings that only entries have."""
        salted = documents.KeyHash(
            "salt", documents.hash_key("salt", self.operator_token)
        )
        operator = Account("operator", Role.OPERATOR, [salted])
        return {
            "peer_port": PEER_PORT,
            # No load balancer in front of the site needs notice of a stop.
            "notice_seconds": 0.0,
            "console_secret": self.peer_secret,
            "operators": [schema.dump(operator)],
            "seeds": [
                {"name": seed.name, "host": seed.host, "port": PEER_PORT}
                for seed in seeds
            ],
        }

    async def launch(self, member, zone, settings):
        """Write a member's settings to its file and start it."""
        path = self.directory / f"{member.name}.json"
        common = {
            "name": member.name,
            "zone": zone,
            "host": member.host,
            "port": PORT,
            "platform_url": await self.proxied_url(
                f"{member.name}-platform", self.platform
            ),
            "peer_keys": [{"id": "site", "secret": self.peer_secret}],
        }
        if step := self.fault_steps.get(member.name):
            settings = settings | {"fault_step": step}
        path.write_text(json.dumps(common | settings))
        member.command += ["--settings", str(path)]
        await member.start()

    async def through_proxy(self, name, host):
        """Return the address at which others reach a host, if need be a proxy's."""
        if not self.shape.proxied:
            return host
        proxy = FaultProxy(host, PORT)
        address = self.take_host()
        await proxy.start(address, PORT)
        self.proxies[name] = proxy
        return address

    async def proxied_url(self, name, member):
        """Return the URL at which others reach a member."""
        host = await self.through_proxy(name, member.host)
        return f"http://{host}:{PORT}"

    async def restart(self, member):
        """Start a member again that has ended, without its fault."""
        path = self.directory / f"{member.name}.json"
        settings = json.loads(path.read_text())
        settings.pop("fault_step", None)
        path.write_text(json.dumps(settings))
        await member.start()

    def add(self, name, arguments):
        """Return a new member with an address and a log file, not started."""
        host = self.take_host()
        log_path = self.directory / f"{name}.log"
        member = Member(name, host, [sys.executable, *arguments], log_path)
        self.members[name] = member
        return member

    def take_host(self):
        """Return the next unused address of the site's network."""
        host = f"{self.prefix}.{self.next_host}"
        self.next_host += 1
        return host

    def members_of(self, kind):
        """Return the endpoints of a kind in the order of their start."""
        return [each for each in self.endpoints if each.name.startswith(kind)]

    async def list_instance(self, instance):
        """Add or replace an instance in the platform's list."""
        url = f"{self.platform.url}/instances/{instance.name}"
        async with self.session.put(url, json=schema.dump(instance)) as response:
            response.raise_for_status()

    async def apply(self, document):
        """Apply a document as the platform's operators would."""
        applier = ChangeApplier(PlatformClient(self.platform.url, self.session))
        proposal = Proposal(
            self.version,
            document,
            change=f"site-{self.version + 1}",
            who="site",
            when=datetime.datetime.now(datetime.UTC).isoformat(),
            # No safety rule may refuse a change of the bench.
            allowed=list(Allowance),
        )
        accepted = await applier.apply(proposal)
        self.version = accepted.version

    async def set_zone(self, name, state):
        """Set the state of a zone by a change of the document."""
        document = copy.deepcopy(self.document)
        for zone in document.zones:
            if zone.name == name:
                zone.state = state
        await self.apply(document)

    async def count_started(self, zone):
        """Return the number of requests that the engines of a zone have begun."""
        engines = [
            member
            for index, member in enumerate(self.members_of("engine"))
            if self.zone(index) == zone
        ]
        loads = [await self.fetch_json(f"{each.url}/load") for each in engines]
        return sum(load["running"] + load["answered"] for load in loads)

    async def count_executions(self):
        """Return the plain services' executions of each reference."""
        total = Counter()
        for member in self.members_of("service"):
            total += Counter(await self.fetch_json(f"{member.url}/executions"))
        return total

    async def wait_whole(self):
        """Wait until every agent and endpoint listens and every entry is ready."""
        for member in [*self.agents, *self.endpoints]:
            await self.wait_listening(member)
        for entry in self.entries:
            await self.wait_ready(f"{entry.url}/readyz")

    async def wait_in_force(self, version):
        """Wait until every entry and all members known to it run a version."""
        async with asyncio.timeout(READY_SECONDS):
            for entry in self.entries:
                while not await self.runs(entry, version):
                    await asyncio.sleep(0.05)

    async def runs(self, entry, version):
        """Return whether an entry and all its members run a version."""
        _, status = await self.operate(entry, "status")
        members = status["members"]
        lowest = min([status["in_force"], *(each["version"] for each in members)])
        return lowest >= version and not any(each["silent"] for each in members)

    async def wait_ready(self, url):
        """Wait until a URL answers with status 200."""
        async with asyncio.timeout(READY_SECONDS):
            while not await self.answers(url):
                await asyncio.sleep(0.05)

    async def wait_listening(self, member):
        """Wait until a process accepts connections; raise MemberNotUpError if late."""
        error = "none was made"
        try:
            async with asyncio.timeout(READY_SECONDS):
                while (error := await connection_error(member.host)) is not None:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise MemberNotUpError(member, error) from None

    async def answers(self, url):
        """Return whether a URL answers with status 200."""
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def stop(self):
        """Stop entries first, then agents and endpoints, then the platform."""
        others = [*self.agents, *self.endpoints]
        for group in (self.entries, others, list(self.members.values())):
            await asyncio.gather(*(member.stop() for member in group))
        for proxy in self.proxies.values():
            await proxy.stop()
        await self.session.close()
        self.guard.close()
        self.temporary.cleanup()

    async def operate(self, entry, path, data=None):
        """Call the operators' API of an entry; return status and decoded answer."""
        # A kept-alive connection may close with the entry's process just as a call
        # begins on it, which would look like a call that the entry aborted.
        headers = {
            "Authorization": f"Bearer {self.operator_token}",
            "Connection": "close",
        }
        url = f"{entry.url}/operators/{path}"
        method = "GET" if data is None else "POST"
        async with self.session.request(
            method, url, json=data, headers=headers
        ) as response:
            return response.status, await response.json()

    async def set_faults(self, **faults):
        """Set the faults of the platform's stand-in."""
        url = f"{self.platform.url}/faults"
        async with self.session.put(url, json=faults) as response:
            response.raise_for_status()

    async def fetch_json(self, url):
        """Return the decoded answer of a GET."""
        async with self.session.get(url) as response:
            return await response.json()
