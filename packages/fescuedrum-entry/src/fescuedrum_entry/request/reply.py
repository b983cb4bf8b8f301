"""Send the caller a whole answer, or make an incomplete one recognisable."""

import asyncio
import json
import socket
import struct

from aiohttp import web
from aiohttp.http import HttpVersion11

from fescuedrum.outcomes import OUTCOME_HEADER, REQUEST_ID_HEADER, Outcome
from fescuedrum_entry.request.errors import error_body

EVENT_STREAM = "text/event-stream"
MAXIMUM_BUFFERED_BYTES = 1024 * 1024
STREAMING_OUTCOME = "streaming"
CLOSING_SECONDS = 5.0
# The entry sets these itself; the outcome must not come from the endpoint.
DROPPED_HEADERS = frozenset(
    (
        "content-length",
        "date",
        "server",
        OUTCOME_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
    )
)
# Linger enabled with a timeout of 0: closing the socket sends a reset.
ZERO_LINGER = struct.pack("ii", 1, 0)
BODILESS_STATUSES = frozenset((204, 304))


class Reply:
    """Buffer an answer until it is complete, but stream events immediately.

    A buffered answer can still be replaced by that of another attempt; an answer of
    which the caller has received a byte can't. An answer over MAXIMUM_BUFFERED_BYTES
    is streamed too.
    """

    __slots__ = (
        "buffer",
        "call",
        "headers",
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
        self.buffer = bytearray()

    @property
    def started(self):
        """Return whether the response exists: its head is sent, or it is complete."""
        return self.response is not None

    @property
    def has_no_body(self):
        """Return whether HTTP allows this answer no body, whatever its headers say."""
        return self.call.method == "HEAD" or self.status in BODILESS_STATUSES

    async def start(self, status, headers):
        """Take the answer's head, replacing a buffered answer."""
        self.status = status
        self.headers = [(header.name, header.value) for header in headers]
        self.buffer.clear()
        if not self.has_no_body and self.is_event_stream():
            await self.start_stream()

    def is_event_stream(self):
        """Return whether the answer is a stream of server-sent events."""
        return any(
            name.lower() == "content-type" and value.lower().startswith(EVENT_STREAM)
            for name, value in self.headers
        )

    async def write(self, data):
        """Send a part of the body, or buffer it while nothing has been sent."""
        if self.started:
            await self.response.write(data)
            return
        self.buffer += data
        if len(self.buffer) > MAXIMUM_BUFFERED_BYTES:
            await self.start_stream()
            await self.response.write(bytes(self.buffer))
            self.buffer.clear()

    async def finish(self, outcome):
        """Complete the answer with its outcome."""
        self.outcome = outcome
        if self.started:
            await self.response.write_eof()
            return
        body = None if self.has_no_body else bytes(self.buffer)
        self.response = web.Response(status=self.status, body=body)
        self.add_headers(outcome.value)

    async def start_stream(self):
        """Send the head of a streamed answer."""
        self.response = web.StreamResponse(status=self.status)
        self.add_headers(STREAMING_OUTCOME)
        await self.response.prepare(self.http_request)

    def add_headers(self, outcome):
        """Add the endpoint's headers, the outcome and the request id."""
        headers = self.response.headers
        has_content_type = any(
            name.lower() == "content-type" for name, _ in self.headers
        )
        if has_content_type:
            # aiohttp sets a default content type; the endpoint's replaces it.
            headers.popall("Content-Type", None)
        for name, value in self.headers:
            if name.lower() not in DROPPED_HEADERS:
                headers.add(name, value)
            elif self.has_no_body and name.lower() == "content-length":
                # It is the length of the body that a GET request would get.
                headers[name] = value
        headers[OUTCOME_HEADER] = outcome
        headers[REQUEST_ID_HEADER] = self.call.request_id

    async def abort_stream(self, error):
        """End a started stream so that no client takes it for complete.

        The status has already been sent, so only a connection that closes without the
        last chunk shows every HTTP client that the answer is incomplete. In an event
        stream an error event with the reason is sent first.
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
            reset_connection(transport)
            return
        transport.close()
        # A caller that reads nothing would keep the closing connection open forever.
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSING_SECONDS, transport.abort)


def reset_connection(transport):
    """Reset an HTTP/1.0 connection, so that the body isn't taken for complete.

    HTTP/1.0 has no chunks: a connection that closes normally ends the body.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    transport.abort()
