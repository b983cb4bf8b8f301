"""Stand in for the platform's store, with outages of its own."""

import asyncio
import base64
import contextlib
import enum

from aiohttp import web

from soak import wire

SLOW_SECONDS = 0.4
HISTORY_GONE_STATUS = 410
FULL_PAGE = 500


class StoreMode(enum.Enum):
    """Say how the store treats calls."""

    SERVING = "serving"
    BUSY = "busy"
    SLOW = "slow"
    # Writes are done and not answered; reads are not answered either.
    SILENT = "silent"


class StandInStore:
    """Hold tables of rows; one counter gives every change its version."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        # Changes at or below this version can't be told one by one.
        self.forgotten = -1
        self.mode = StoreMode.SERVING
        self.changed = asyncio.Event()
        self.runner = None

    async def start(self, host):
        """Listen on a free port of host; return the port."""
        application = web.Application()
        application.router.add_get("/rows-get", self.get_rows)
        application.router.add_get("/rows-feed", self.feed_rows)
        application.router.add_post("/rows-tx", self.write_rows)
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, 0).start()
        return self.runner.addresses[0][1]

    async def stop(self):
        await self.runner.cleanup()

    def put(self, table, key, value):
        """Write or, with None, delete a row; the write counts at once."""
        self.version += 1
        self.rows.setdefault(table, {})[key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        self.forgotten = self.version

    async def behave(self):
        """Do to a call what the mode says; return a refusal or None."""
        match self.mode:
            case StoreMode.BUSY:
                return web.Response(status=503)
            case StoreMode.SLOW:
                await asyncio.sleep(SLOW_SECONDS)
            case StoreMode.SILENT:
                while self.mode is StoreMode.SILENT:
                    await asyncio.sleep(0.1)
                return web.Response(status=503)
        return None

    def answer(self, rows):
        body = {"rows": rows, "schema_version": self.version, "has_more": False}
        return web.json_response(body | {"now_ms": 0})

    async def get_rows(self, request):
        if refusal := await self.behave():
            return refusal
        table = request.query["table"]
        rows = [
            wire.encode_row(table, key, value, version)
            for key, (value, version) in sorted(self.rows.get(table, {}).items())
            if value is not None and key >= request.query.get("from", "")
        ]
        return self.answer(rows[:FULL_PAGE])

    async def feed_rows(self, request):
        if refusal := await self.behave():
            return refusal
        table, after = request.query["table"], int(request.query["after"])
        if after < self.forgotten:
            return web.Response(status=HISTORY_GONE_STATUS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                while not self.changes(table, after):
                    await self.changed.wait()
        if refusal := await self.behave():
            return refusal
        return self.answer(self.changes(table, after))

    def changes(self, table, after):
        changed = [
            (version, key, value)
            for key, (value, version) in self.rows.get(table, {}).items()
            if version > after
        ]
        return [
            wire.encode_row(table, key, value, version)
            for version, key, value in sorted(changed, key=lambda each: each[0])
        ]

    async def write_rows(self, request):
        if self.mode is StoreMode.BUSY:
            return web.Response(status=503)
        for row in (await request.json())["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        if refusal := await self.behave():
            return refusal
        return self.answer([])
