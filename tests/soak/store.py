"""Simulate the platform's store and its outages."""

import asyncio
import base64
import contextlib
import enum

from aiohttp import web

from soak import wire

SLOW_SECONDS = 0.4
HISTORY_GONE_STATUS = 410
PAGE_ROWS = 500


class StoreMode(enum.Enum):
    """List the ways in which the store handles calls."""

    SERVING = "serving"
    BUSY = "busy"
    SLOW = "slow"
    # Writes are applied, but neither writes nor reads ever get a response.
    SILENT = "silent"


class StandInStore:
    """Hold tables of rows; all changes get their version from one counter."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        # The feed no longer has the changes up to this version.
        self.forgotten_version = -1
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

    def put(self, table, key, value, part=""):
        """Write a row, or delete it if value is None; the change applies at once."""
        self.version += 1
        self.rows.setdefault(table, {})[part, key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        """Make the feed refuse readers that are behind the current version."""
        self.forgotten_version = self.version

    async def apply_mode(self):
        """Delay or refuse a call as the mode says; return a refusal or None."""
        match self.mode:
            case StoreMode.BUSY:
                return web.Response(status=503)
            case StoreMode.SLOW:
                await asyncio.sleep(SLOW_SECONDS)
            case StoreMode.SILENT:
                await asyncio.get_running_loop().create_future()
        return None

    def answer(self, rows):
        """Return the response that holds encoded rows."""
        body = {"rows": rows, "schema_version": self.version, "has_more": False}
        return web.json_response(body | {"now_ms": 0})

    async def get_rows(self, request):
        """Return the rows of one part of a table from a key on."""
        if refusal := await self.apply_mode():
            return refusal
        table, wanted = request.query["table"], request.query["part"]
        rows = [
            wire.encode_row(table, key, value, version, part)
            for (part, key), (value, version) in sorted(
                self.rows.get(table, {}).items()
            )
            if part == wanted
            and value is not None
            and key >= request.query.get("from", "")
        ]
        return self.answer(rows[:PAGE_ROWS])

    async def feed_rows(self, request):
        """Wait for changes of a table after a version and return them."""
        if refusal := await self.apply_mode():
            return refusal
        table, after = request.query["table"], int(request.query["after"])
        if after < self.forgotten_version:
            return web.Response(status=HISTORY_GONE_STATUS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                while not self.changes(table, after):
                    await self.changed.wait()
        if refusal := await self.apply_mode():
            return refusal
        return self.answer(self.changes(table, after))

    def changes(self, table, after):
        """Return the encoded changes of all parts of a table, in their order."""
        changed = [
            (version, part, key, value)
            for (part, key), (value, version) in self.rows.get(table, {}).items()
            if version > after
        ]
        return [
            wire.encode_row(table, key, value, version, part)
            for version, part, key, value in sorted(changed, key=lambda each: each[0])
        ]

    async def write_rows(self, request):
        """Apply the writes of a call."""
        if self.mode is StoreMode.BUSY:
            return web.Response(status=503)
        for row in (await request.json())["puts"]:
            value = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], value, row["part"])
        if refusal := await self.apply_mode():
            return refusal
        return self.answer([])
