"""Tie the parts of the entry process together."""

import asyncio
import logging
import random

import aiohttp
from aiohttp import web

from fescuedrum import __version__
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.client import PlatformClient
from fescuedrum.process import cancel, on_reload, stop_event
from fescuedrum.tls import Certificates
from fescuedrum.wire.gen.frames.ttypes import Hello
from fescuedrum.wire.gen.members.ttypes import Heartbeat
from fescuedrum.wire.peers import Peers
from fescuedrum_entry.connection.link import Link
from fescuedrum_entry.operators import routes as operators
from fescuedrum_entry.operators.access import SignInLimit
from fescuedrum_entry.process.router import Router
from fescuedrum_entry.request.handler import CallerHandler
from fescuedrum_entry.request.selection import WaitingRoom
from fescuedrum_entry.version.configuration import Configuration

logger = logging.getLogger(__name__)

DRAIN_POLL_SECONDS = 0.05


class Entry:
    """Own the links, the configuration and the HTTP server of one entry process."""

    __slots__ = (
        "callers_tls",
        "configuration",
        "incarnation",
        "leaving",
        "link_tasks",
        "links",
        "peers",
        "platform",
        "random",
        "router",
        "running",
        "settings",
        "sign_in_limit",
        "waiting_room",
    )

    def __init__(self, settings, incarnation):
        self.settings = settings
        self.sign_in_limit = SignInLimit()
        self.incarnation = incarnation
        self.configuration = Configuration()
        self.links = {}
        self.link_tasks = {}
        self.peers = Peers(settings.peer_keys, settings.peer_tls, self.hello)
        self.callers_tls = Certificates()
        self.platform = None
        self.random = random.Random(incarnation)
        self.router = Router(self, settings.routing_policy, self.random)
        self.waiting_room = WaitingRoom(
            self, settings.endpoint_wait_limit, settings.endpoint_wait_seconds
        )
        self.running = 0
        self.leaving = False

    async def run(self):
        """Serve until a signal, then drain and stop."""
        stop = stop_event()
        on_reload(self.callers_tls.reload, self.peers.certificates.reload)
        async with aiohttp.ClientSession() as session:
            self.platform = PlatformClient(self.settings.platform_url, session)
            interval = self.settings.poll_seconds
            tasks = [
                asyncio.create_task(self.configuration.follow(self.platform, interval)),
                asyncio.create_task(self.follow_instances()),
                asyncio.create_task(self.callers_tls.follow()),
                asyncio.create_task(self.peers.certificates.follow()),
            ]
            runner = web.AppRunner(self.build_application(), access_log=None)
            await runner.setup()
            await self.listen(runner)
            logger.info("entry started", extra={"release": __version__})
            await stop.wait()
            await self.drain()
            await runner.cleanup()
            await cancel([*tasks, *self.link_tasks.values()])
        logger.info("entry stopped")

    async def listen(self, runner):
        settings = self.settings
        context = None
        if settings.callers_tls is not None:
            context = self.callers_tls.server_context(settings.callers_tls)
        site = web.TCPSite(runner, settings.host, settings.port, ssl_context=context)
        await site.start()

    def build_application(self):
        application = web.Application()
        handle = CallerHandler(self).handle
        application.router.add_post("/v1/chat/completions", handle)
        application.router.add_post("/v1/completions", handle)
        application.router.add_route("*", "/services/{service}/{rest:.*}", handle)
        application.router.add_get("/healthz", self.healthz)
        application.router.add_get("/readyz", self.readyz)
        operators.add_routes(application, self)
        return application

    async def healthz(self, _):
        return web.json_response({"alive": True})

    async def readyz(self, _):
        ready = not self.leaving and self.configuration.document is not None
        body = {"ready": ready, "version": self.configuration.version}
        return web.json_response(body, status=200 if ready else 503)

    async def drain(self):
        """Turn readiness down and let running requests end."""
        self.leaving = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.drain_seconds
        while self.running and loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def follow_instances(self):
        """Read the instance list and keep a link to each agent on it."""
        while True:
            try:
                self.update_links(await self.platform.list_instances())
            except StoreUnavailable as error:
                logger.info("instances not read", extra={"error": str(error)})
            await asyncio.sleep(self.settings.poll_seconds)

    def update_links(self, instances):
        agents = {each.name: each for each in instances if each.role == "agent"}
        for name, instance in agents.items():
            if name not in self.links:
                link = Link(self, instance)
                self.links[name] = link
                self.link_tasks[name] = asyncio.create_task(link.run())
        # The list lags: an instance gone from it keeps its link while it answers.
        for name in [*self.links]:
            if name not in agents and self.links[name].connection is None:
                self.link_tasks.pop(name).cancel()
                self.router.forget(self.links.pop(name))

    def hello(self):
        return Hello(
            instance=self.settings.name,
            incarnation=self.incarnation,
            role="entry",
            zone=self.settings.zone,
        )

    def heartbeat(self):
        return Heartbeat(
            instance=self.settings.name,
            incarnation=self.incarnation,
            zone=self.settings.zone,
            version=self.configuration.version,
            document_hash=self.configuration.document_hash,
            leaving=self.leaving,
        )
