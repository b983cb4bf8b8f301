"""Give the caller the whole answer or an honest error."""

import asyncio
import json
import socket
import struct

from aiohttp import web
from aiohttp.http import HttpVersion11

from fescuedrum.outcomes import OUTCOME_HEADER, REQUEST_ID_HEADER, Outcome
from fescuedrum_entry.request.errors import error_body

EVENT_STREAM = "text/event-stream"
HELD_BYTES = 1024 * 1024
STREAMING = "streaming"
CLOSING_SECONDS = 5.0
# The server sets them itself; the outcome is never the endpoint's to tell.
DROPPED_HEADERS = frozenset(
    (
        "content-length",
        "date",
        "server",
        OUTCOME_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
    )
)
# On, and no time: closing sends a reset in place of a proper end.
LINGER_NONE = struct.pack("ii", 1, 0)
BODILESS_STATUSES = frozenset((204, 304))


class Reply:
    """Hold an answer back until it is whole, but pass event streams on at once.

    An answer that was held can still be given up for another attempt; one of which
    the caller has seen a byte can't.
    """

    __slots__ = (
        "call",
        "headers",
        "held",
        "http_request",
        "outcome",
        "response",
        "status",
    )

    def __init__(self, http_request, call):
        self.http_request = http_request
        self.call = call
        self.response = None
        self.outcome = Outcome.UNKNOWN
        self.status = 0
        self.headers = []
        self.held = bytearray()

    @property
    def started(self):
        """Tell whether the caller has been sent anything."""
        return self.response is not None

    @property
    def bodiless(self):
        """Tell whether HTTP gives this answer no body, whatever its headers say."""
        return self.call.method == "HEAD" or self.status in BODILESS_STATUSES

    async def start(self, status, headers):
        self.status = status
        self.headers = [(header.name, header.value) for header in headers]
        self.held.clear()
        if not self.bodiless and self.is_event_stream():
            await self.open_stream()

    def is_event_stream(self):
        return any(
            name.lower() == "content-type" and value.lower().startswith(EVENT_STREAM)
            for name, value in self.headers
        )

    async def write(self, data):
        if self.started:
            await self.response.write(data)
            return
        self.held += data
        if len(self.held) > HELD_BYTES:
            await self.open_stream()
            await self.response.write(bytes(self.held))
            self.held.clear()

    async def finish(self, outcome):
        self.outcome = outcome
        if self.started:
            await self.response.write_eof()
            return
        body = None if self.bodiless else bytes(self.held)
        self.response = web.Response(status=self.status, body=body)
        self.add_headers(outcome.value)

    async def open_stream(self):
        self.response = web.StreamResponse(status=self.status)
        self.add_headers(STREAMING)
        await self.response.prepare(self.http_request)

    def add_headers(self, outcome):
        headers = self.response.headers
        typed = any(name.lower() == "content-type" for name, _ in self.headers)
        if typed:
            # The library gives a body a type of its own; the endpoint's goes first.
            headers.popall("Content-Type", None)
        for name, value in self.headers:
            if name.lower() not in DROPPED_HEADERS:
                headers.add(name, value)
            elif self.bodiless and name.lower() == "content-length":
                # It tells the length that a GET would give.
                headers[name] = value
        headers[OUTCOME_HEADER] = outcome
        headers[REQUEST_ID_HEADER] = self.call.request_id

    async def break_off(self, error):
        """End a stream so that nobody takes it for whole.

        The caller has the status already, so only a connection that ends without
        the last chunk tells every HTTP client that the answer is cut. A reader of
        events is told the reason first.
        """
        transport = self.http_request.transport
        if transport is None:
            return
        if self.is_event_stream():
            event = json.dumps(error_body(error, self.call.request_id))
            try:
                async with asyncio.timeout(CLOSING_SECONDS):
                    await self.response.write(
                        f"event: error\ndata: {event}\n\n".encode()
                    )
            except (TimeoutError, ConnectionError):
                transport.abort()
                return
        if self.http_request.version < HttpVersion11:
            reset(transport)
            return
        transport.close()
        # A caller that takes nothing would hold the closing connection for good.
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSING_SECONDS, transport.abort)


def reset(transport):
    """Reset a connection on which a proper end would tell that the body is whole.

    HTTP/1.0 has no chunks: the body ends with the connection, whatever the reason.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    transport.abort()
