"""Run simulated endpoints whose tests define each byte of a response."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

from support.routing import build_endpoint


@dataclass(slots=True)
class ReceivedRequest:
    """Hold one request as an endpoint received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    def __getitem__(self, name):
        return self.headers.get(name.lower())


@dataclass(slots=True)
class StandInEndpoint:
    """Serve on a loopback port; answer(seen) writes the response to a request."""

    name: str
    answer: object
    seen: list[ReceivedRequest] = field(default_factory=list)
    # Set when the sender of a request closed its connection before the response.
    left: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    def listed(self, **changes):
        """Return the endpoint as a listed endpoint with its port."""
        return build_endpoint(self.name, port=self.port, **changes)

    async def serve(self, reader, writer):
        """Answer the one request of a connection, unless the sender closes it first."""
        try:
            seen = await read_request(reader, writer)
            self.seen.append(seen)
            answering = asyncio.create_task(self.answer(seen))
            leaving = asyncio.create_task(reader.read(1))
            await asyncio.wait(
                (answering, leaving), return_when=asyncio.FIRST_COMPLETED
            )
            if not answering.done():
                self.left.set()
            answering.cancel()
            leaving.cancel()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def read_request(reader, writer):
    """Read one request and return it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = [line.split(":", 1) for line in lines]
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(method, target, headers, body, writer)


def head(seen, status=200, **headers):
    """Return the head of a response to a request."""
    headers = {"Request_Id": seen["Request-Id"]} | headers
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def whole(body=b"done", status=200, **headers):
    """Return an answer function that sends a complete, signed response."""

    async def answer(seen):
        told = {"Signed": "yes", "Content_Length": len(body)} | headers
        seen.writer.write(head(seen, status, **told) + body)
        await seen.writer.drain()

    return answer


def refusing(status=503):
    """Return an answer function that declares that the request was not run."""
    return whole(b"", status, Not_Run="1")


async def close_unanswered(seen):
    """Close the connection without a response."""
    seen.writer.close()


def reset(seen):
    """Reset the connection of a request."""
    linger = struct.pack("ii", 1, 0)
    connection = seen.writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    seen.writer.transport.abort()


async def never_answer(seen):
    """Send no response for longer than any test waits."""
    await asyncio.sleep(60)


def chunk(data):
    """Return data as one chunk of a chunked response."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number):
    """Return one server-sent event."""
    return f"id: {number}\ndata: part {number}\n\n".encode()


def streaming(first, last, *, ends=True, pause=0.0, tail=b"", **headers):
    """Return an answer function that streams events and may truncate the stream."""

    async def answer(seen):
        begin = int(seen["Last-Event"] or 0) + 1 if seen["Last-Event"] else first
        told = {"Signed": "yes", "Transfer_Encoding": "chunked"} | headers
        seen.writer.write(head(seen, **told))
        for number in range(begin, last + 1):
            seen.writer.write(chunk(event(number)))
            await seen.writer.drain()
            await asyncio.sleep(pause)
        if tail:
            seen.writer.write(chunk(tail))
        if ends:
            seen.writer.write(b"0\r\n\r\n")
        await seen.writer.drain()

    return answer
