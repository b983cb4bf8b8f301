"""Stand-in for a plain service that counts the executions of each booking."""

import asyncio
from collections import Counter

from aiohttp import web

from fescuedrum_bench.standins.runner import healthz, serve


class Bookings:
    """Count the executions by reference, to check that none ran more than once."""

    __slots__ = ("executions", "work_seconds")

    def __init__(self, work_seconds):
        self.executions = Counter()
        self.work_seconds = work_seconds

    def build_application(self):
        """Return the application with the routes for stock, bookings and counts."""
        application = web.Application()
        application.router.add_get("/stock/{item}", self.stock)
        application.router.add_post("/bookings", self.book)
        application.router.add_get("/executions", self.list_executions)
        application.router.add_get("/healthz", healthz)
        return application

    async def stock(self, request):
        """Answer a lookup of an item."""
        return web.json_response({"item": request.match_info["item"], "stock": 7})

    async def book(self, request):
        """Count the execution of a booking and answer it after the work time."""
        data = await request.json()
        self.executions[data["reference"]] += 1
        await asyncio.sleep(self.work_seconds)
        return web.json_response({"booked": data["reference"]}, status=201)

    async def list_executions(self, _):
        """Answer with the count of executions of each reference."""
        return web.json_response(self.executions)


async def run(arguments):
    """Serve the plain service until SIGTERM."""
    await serve(Bookings(arguments.work_seconds).build_application(), arguments)
