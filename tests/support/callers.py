"""Serve the callers' interface on a real socket with endpoints that need no agent."""

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
    """Say what the endpoints answer, and keep the calls that reached them."""

    def __init__(self, status=200, headers=(), chunks=(b"{}",), error=None):
        self.calls = []
        self.status = status
        self.headers = [Header(name, value) for name, value in headers]
        self.chunks = chunks
        self.error = error

    def dispatcher(self, _, call, reply):
        self.calls.append(call)
        self.reply = reply
        return self

    async def run(self):
        await self.reply.start(self.status, self.headers)
        for chunk in self.chunks:
            await self.reply.write(chunk)
        if self.error:
            raise self.error
        await self.reply.finish(Outcome.ANSWERED)


def build_entry(**settings):
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
    """Give the port of a callers' listener whose requests end in the script."""
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
    """Send bytes and return all that comes until the connection ends."""
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
