"""Build answers byte by byte, also ones that HTTP does not allow."""

import asyncio

from support import engines

SOUND_FIELDS = (b"Request-Id: r-1", b"Signed: yes")


def head(
    status_line: bytes = b"HTTP/1.1 200 OK",
    *fields: bytes,
    before: bytes = b"",
    framing: bytes = b"Content-Length: 4",
) -> bytes:
    """Return the bytes of a head; before stands between its first two lines."""
    lines = [*SOUND_FIELDS, *fields, *([framing] if framing else [])]
    return status_line + b"\r\n" + before + b"\r\n".join(lines) + b"\r\n\r\n"


def sending(*parts: bytes):
    """Return an answer function that sends parts and closes the connection."""

    async def answer(seen):
        for number, part in enumerate(parts):
            await asyncio.sleep(0.05 if number else 0.0)
            seen.writer.write(part)
            await seen.writer.drain()

    return answer


class EndlessAnswer:
    """Answer a request with a part that comes again and again."""

    def __init__(self, begin: bytes, part: bytes):
        self.begin = begin
        self.part = part
        # Set when the sender of the request has closed its connection.
        self.ended = asyncio.Event()

    async def __call__(self, seen):
        """Write until the connection is closed."""
        seen.writer.write(self.begin)
        try:
            while True:
                seen.writer.write(self.part)
                await seen.writer.drain()
                # A drain that need not wait would keep the loop from the gateway.
                await asyncio.sleep(0)
        finally:
            self.ended.set()


class EarlyAnswer:
    """Listen on a loopback port; answer each request before its body is read.

    It sends the bytes as soon as the head of a request has arrived, reads nothing more,
    and then resets the connection, or closes its side of it in order.
    """

    def __init__(self, raw: bytes, *, resets: bool):
        self.raw = raw
        self.resets = resets
        self.requests = 0
        self.server = None

    async def start(self):
        """Start to listen."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=16 * 1024
        )

    @property
    def port(self) -> int:
        """Return the port on which it listens."""
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Answer one request."""
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(self.raw)
        await writer.drain()
        await asyncio.sleep(0.1)
        if self.resets:
            engines.reset(engines.ReceivedRequest("", "", {}, b"", writer))
        else:
            writer.write_eof()
            await asyncio.sleep(1.0)
            writer.transport.abort()
