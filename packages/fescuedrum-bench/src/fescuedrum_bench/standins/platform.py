"""Stand-in for the platform: table, object store and instance list in memory."""

import asyncio
from collections import Counter

from aiohttp import web

from fescuedrum.platform.client import CONFLICT, NOT_FOUND
from fescuedrum_bench.standins.runner import serve


class Platform:
    """Hold rows, objects and instances, and inject faults into the answers.

    Faults (PUT /faults): down refuses all calls; lost_answers drops that many
    answers of transactions after their writes took effect; delay_seconds delays
    every call.
    """

    __slots__ = (
        "calls",
        "delay_seconds",
        "down",
        "instances",
        "lost_answers",
        "objects",
        "rows",
    )

    def __init__(self):
        # Number of calls by method and first part of the path.
        self.calls = Counter()
        self.rows = {}
        self.objects = {}
        self.instances = {}
        self.down = False
        self.lost_answers = 0
        self.delay_seconds = 0.0

    def build_application(self):
        """Return the application with the routes for the platform and its faults."""
        application = web.Application(middlewares=[self.inject_faults])
        router = application.router
        router.add_get("/table/row", self.get_row)
        router.add_get("/table/scan", self.scan)
        router.add_post("/table/transact", self.transact)
        router.add_get("/objects/{name}", self.get_object)
        router.add_put("/objects/{name}", self.put_object)
        router.add_get("/instances", self.list_instances)
        router.add_put("/instances/{name}", self.put_instance)
        router.add_delete("/instances/{name}", self.delete_instance)
        router.add_put("/faults", self.put_faults)
        router.add_get("/calls", self.list_calls)
        return application

    @web.middleware
    async def inject_faults(self, request, handler):
        """Count a call, and delay it, refuse it or drop its answer as planned."""
        if request.path in ("/faults", "/calls"):
            return await handler(request)
        self.calls[f"{request.method} /{request.path.split('/')[1]}"] += 1
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        if self.down:
            return web.Response(status=503, text="outage")
        response = await handler(request)
        if request.path == "/table/transact" and self.lost_answers > 0:
            self.lost_answers -= 1
            request.transport.abort()
        return response

    async def list_calls(self, _):
        """Answer with the number of calls of each kind."""
        return web.json_response(self.calls)

    async def put_faults(self, request):
        """Set the faults that the request names; the others stay."""
        plan = await request.json()
        self.down = plan.get("down", self.down)
        self.lost_answers = plan.get("lost_answers", self.lost_answers)
        self.delay_seconds = plan.get("delay_seconds", self.delay_seconds)
        return web.json_response({})

    def row(self, key):
        """Return a row; an absent one has version 0."""
        value, version = self.rows.get(key, (None, 0))
        return {"key": key, "value": value, "version": version}

    async def get_row(self, request):
        """Answer with one row."""
        return web.json_response(self.row(request.query["key"]))

    async def scan(self, request):
        """Answer with the rows whose keys have a prefix, sorted by key."""
        prefix = request.query["prefix"]
        found = [self.row(key) for key in sorted(self.rows) if key.startswith(prefix)]
        return web.json_response(found)

    async def transact(self, request):
        """Apply all writes, or none if a row has another version than expected."""
        writes = await request.json()
        for write in writes:
            expected = write["expected_version"]
            if expected is not None and self.row(write["key"])["version"] != expected:
                return web.json_response(self.row(write["key"]), status=CONFLICT)
        for write in writes:
            self.apply(write)
        return web.json_response({})

    def apply(self, write):
        """Write or delete one row."""
        version = self.row(write["key"])["version"] + 1
        if write["value"] is None:
            self.rows.pop(write["key"], None)
        else:
            self.rows[write["key"]] = (write["value"], version)

    async def get_object(self, request):
        """Answer with the bytes of an object."""
        body = self.objects.get(request.match_info["name"])
        if body is None:
            return web.Response(status=NOT_FOUND)
        return web.Response(body=body)

    async def put_object(self, request):
        """Store the bytes of an object."""
        self.objects[request.match_info["name"]] = await request.read()
        return web.Response()

    async def list_instances(self, _):
        """Answer with all instances."""
        return web.json_response(list(self.instances.values()))

    async def put_instance(self, request):
        """Add or replace an instance."""
        self.instances[request.match_info["name"]] = await request.json()
        return web.Response()

    async def delete_instance(self, request):
        """Remove an instance if it is listed."""
        self.instances.pop(request.match_info["name"], None)
        return web.Response()


async def run(arguments):
    """Serve the platform until SIGTERM."""
    await serve(Platform().build_application(), arguments)
