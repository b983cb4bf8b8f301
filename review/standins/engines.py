"""Engines of a plain service, which may read slowly."""

import asyncio
import socket
import time

from site_parts import read_head, write_message

# Small windows and packets of a usual size, as the links of the users' machines have.
WINDOW_BYTES = 64 * 1024
SEGMENT_BYTES = 1448
READ_BYTES = 16 * 1024


class PlainEngine:
    """Run requests one after the other on a channel, a few at once."""

    def __init__(self, record, number, service, zone, host, port, slots=6, work_s=0.05):
        self.record = record
        self.name = f"i-{number:04x}"
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        # Bytes a second that it reads from each channel; None for all at once.
        self.read_rate = None
        # Channels from all callers that it accepts; it resets any further one.
        self.max_conns = 48
        self.writers = set()
        self.free = asyncio.Semaphore(slots)
        self.runs = 0
        # Ids of the requests that it has run.
        self.ran = set()
        self.reading = 0
        self.server = None

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listener.bind((self.host, self.port))
        self.server = await asyncio.start_server(
            self.serve, sock=listener, limit=READ_BYTES
        )

    def stop(self):
        if self.server is not None:
            self.server.close()

    async def read(self, reader, length):
        """Read a body at the engine's pace; return its bytes."""
        left, read = length, 0
        while left:
            chunk = await reader.read(min(left, READ_BYTES))
            if not chunk:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(chunk)
            read += len(chunk)
            if self.read_rate is not None:
                await asyncio.sleep(len(chunk) / self.read_rate)
        return read

    async def serve(self, reader, writer):
        if len(self.writers) >= self.max_conns:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                first, headers = head
                self.reading += 1
                try:
                    size = await self.read(
                        reader, int(headers.get("content-length", 0))
                    )
                finally:
                    self.reading -= 1
                await self.answer(writer, first, headers, size)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, first, headers, size):
        request = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            write_message(writer, "HTTP/1.1 421 X", {"Not-Executed": "1"})
            await writer.drain()
            return
        async with self.free:
            self.runs += 1
            self.ran.add(request)
            self.record(f"engine {self.name}: runs {request}, {size} bytes")
            await asyncio.sleep(self.work_s)
        answer = {"Attempt-Id": request, "Server-Stamp": f"{self.name}.{request}"}
        write_message(writer, "HTTP/1.1 200 OK", answer, b"done " * 160)
        await writer.drain()
