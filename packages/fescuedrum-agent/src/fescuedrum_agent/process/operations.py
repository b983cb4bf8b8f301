"""Serve the platform's health checks and the agent's metrics over HTTP."""

from aiohttp import web

UNAVAILABLE = 503


class Operations:
    """Run the HTTP listener for health checks and metrics; port 0 turns it off."""

    __slots__ = ("agent", "runner")

    def __init__(self, agent):
        self.agent = agent
        self.runner = web.AppRunner(self.build_application(), access_log=None)

    def build_application(self):
        """Return the application with all routes."""
        application = web.Application()
        application.router.add_get("/healthz", self.healthz)
        application.router.add_get("/readyz", self.readyz)
        application.router.add_get("/metrics", self.metrics)
        return application

    async def start(self):
        """Listen on the port of the settings, if there is one."""
        settings = self.agent.settings
        if not settings.operations_port:
            return
        await self.runner.setup()
        site = web.TCPSite(self.runner, settings.host, settings.operations_port)
        await site.start()

    async def stop(self):
        """Stop listening."""
        await self.runner.cleanup()

    async def healthz(self, _):
        """Answer that the loop runs; a process that can't answer must be replaced."""
        return web.json_response({"alive": True})

    async def readyz(self, _):
        """Answer whether the agent takes new work; when draining, it is only alive."""
        agent = self.agent
        body = {
            "ready": not agent.gate.leaving and agent.configuration.version > 0,
            "leaving": agent.gate.leaving,
            "zone_out": agent.gate.zone_out,
            "version": agent.configuration.version,
            "entries": len(agent.sessions),
        }
        return web.json_response(body, status=200 if body["ready"] else UNAVAILABLE)

    async def metrics(self, _):
        """Answer with all metrics in the exposition format."""
        text, content_type = self.agent.metrics.catalogue.expose()
        return web.Response(body=text, headers={"Content-Type": content_type})
