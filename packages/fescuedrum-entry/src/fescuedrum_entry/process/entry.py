"""Tie the parts of the entry process together."""

import asyncio
import logging
import random

import aiohttp
from aiohttp import web

from fescuedrum import __version__
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.client import PlatformClient
from fescuedrum.process import cancel, stop_event
from fescuedrum.wire.gen.frames.ttypes import Hello
from fescuedrum.wire.gen.members.ttypes import Heartbeat
from fescuedrum_entry.connection.link import Link
from fescuedrum_entry.process.router import Router
from fescuedrum_entry.request.handler import CallerHandler
from fescuedrum_entry.request.selection import WaitingRoom
from fescuedrum_entry.version.configuration import Configuration

logger = logging.getLogger(__name__)

PROTOCOL = 1
DRAIN_POLL_SECONDS = 0.05


class Entry:
    """Own the links, the configuration and the HTTP server of one entry process."""

    __slots__ = (
        "configuration",
        "incarnation",
        "leaving",
        "link_tasks",
        "links",
        "platform",
        "random",
        "router",
        "running",
        "settings",
        "waiting_room",
    )

    def __init__(self, settings, incarnation):
        self.settings = settings
        self.incarnation = incarnation
        self.configuration = Configuration()
        self.links = {}
        self.link_tasks = {}
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
        async with aiohttp.ClientSession() as session:
            self.platform = PlatformClient(self.settings.platform_url, session)
            interval = self.settings.poll_seconds
            tasks = [
                asyncio.create_task(self.configuration.follow(self.platform, interval)),
                asyncio.create_task(self.follow_instances()),
            ]
            runner = web.AppRunner(self.build_application(), access_log=None)
            await runner.setup()
            site = web.TCPSite(runner, self.settings.host, self.settings.port)
            await site.start()
            logger.info("entry started", extra={"release": __version__})
            await stop.wait()
            await self.drain()
            await runner.cleanup()
            await cancel([*tasks, *self.link_tasks.values()])
        logger.info("entry stopped")

    def build_application(self):
        application = web.Application()
        handle = CallerHandler(self).handle
        application.router.add_post("/v1/chat/completions", handle)
        application.router.add_post("/v1/completions", handle)
        application.router.add_route("*", "/services/{service}/{rest:.*}", handle)
        application.router.add_get("/healthz", self.healthz)
        application.router.add_get("/readyz", self.readyz)
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
            protocol=PROTOCOL,
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
