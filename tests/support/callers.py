"""Serve callers on a real socket with scripted responses in place of agents."""

import asyncio
import contextlib

from aiohttp import web

from fescuedrum.conf import document as documents
from fescuedrum.outcomes import Outcome
from fescuedrum.wire.gen.frames.ttypes import Header
from fescuedrum_entry.conf import EntrySettings
from fescuedrum_entry.connection.callers import CallersRunner
from fescuedrum_entry.process.entry import Entry
from fescuedrum_entry.request import handler
from support.builders import build_document

AUTHORISED = "Authorization: Bearer club.secret"


class Script:
    """Hold the response of all endpoints, and record the calls that reach them."""

    def __init__(self, status=200, headers=(), chunks=(b"{}",), error=None):
        self.calls = []
        self.status = status
        self.headers = [Header(name, value) for name, value in headers]
        self.chunks = chunks
        self.error = error

    def dispatcher(self, _, call, reply):
        """Record a call; take the place of the Dispatcher class."""
        self.calls.append(call)
        self.reply = reply
        return self

    async def run(self):
        """Send the response, and raise the error if there is one."""
        await self.reply.start(self.status, self.headers)
        for chunk in self.chunks:
            await self.reply.write(chunk)
        if self.error:
            raise self.error
        await self.reply.finish(Outcome.ANSWERED)


def build_entry(**settings):
    """Return an entry whose document has an engine service and a plain service."""
    values = {"name": "entry-1", "zone": "zone-1", "host": "127.0.0.1", "port": 1}
    values |= {"platform_url": "http://x"} | settings
    entry = Entry(EntrySettings(**values), 1)
    services = [
        documents.Service("advice", documents.ServiceKind.ENGINE, ["m"]),
        documents.Service("bookings", documents.ServiceKind.PLAIN, []),
    ]
    entry.configuration.activate(build_document(services=services))
    return entry


@contextlib.asynccontextmanager
async def serving(monkeypatch, script=None, entry=None):
    """Serve callers with the responses of the script; yield the port."""
    script = script or Script()
    entry = entry or build_entry()
    monkeypatch.setattr(handler, "Dispatcher", script.dispatcher)
    runner = CallersRunner(entry.build_application(), entry.settings)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


async def send_raw(port, data):
    """Send bytes; return all that is received until the connection is closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        async with asyncio.timeout(20):
            return await reader.read()
    finally:
        writer.close()


async def send(port, method, path, *headers, body=b""):
    """Send one request; return (status, headers as text, body)."""
    head = [f"{method} {path} HTTP/1.1", "Host: h", "Connection: close", *headers]
    if body:
        head.append(f"Content-Length: {len(body)}")
    text = "\r\n".join(head) + "\r\n\r\n"
    answer = await send_raw(port, text.encode() + body)
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), head.decode(), body
