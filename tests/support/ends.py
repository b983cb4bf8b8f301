"""Run an entry or an agent to its true end, in a thread with a loop of its own.

The loop closes when run() returns, as it does when a process ends: what a transport
still holds is lost then.
"""

import asyncio
import contextlib
import socket
import ssl

from fescuedrum.outcomes import Outcome
from fescuedrum_agent.conf import AgentSettings
from fescuedrum_agent.process import agent as agents
from fescuedrum_entry.process import entry as entries
from fescuedrum_entry.request import handler
from support.builders import build_document
from support.callers import AUTHORISED, build_entry
from support.gateways import free_ports
from support.peers import build_key

HOST = "127.0.0.1"
READY_SECONDS = 10.0
POLL_SECONDS = 0.01
# The kernel doubles it and has a least; an answer of 40 kB does not fit.
NARROW_BYTES = 4096
READ_BYTES = 64 * 1024
# Longer than the longest stop of a test; what lasts longer is cancelled.
PATIENCE_SECONDS = 7.0
KEY = build_key()


class RunningProcess:
    """Hold a process's main object while it runs."""

    def __init__(self, monkeypatch, module, build):
        monkeypatch.setattr(module, "stop_event", lambda: self.stop)
        monkeypatch.setattr(module, "on_reload", lambda *_: None)
        self.build = build
        self.process = None
        self.loop = None
        self.stop = None
        self.told_at = None
        self.main_task = None
        self.task = asyncio.create_task(asyncio.to_thread(self.serve))

    def serve(self):
        """Run the loop to its end, and close what it leaves, as the kernel would."""
        transports = asyncio.run(self.main())
        for transport in transports:
            sock = transport.get_extra_info("socket")
            if sock.fileno() >= 0:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    async def main(self):
        """Run the process; return the transports that it leaves open."""
        self.loop = asyncio.get_running_loop()
        self.main_task = asyncio.current_task()
        self.stop = asyncio.Event()
        self.process = self.build()
        await self.process.run()
        return list(self.loop._transports.values())

    @property
    def port(self):
        return self.process.settings.port

    async def until(self, condition):
        """Wait until condition(process) holds; fail when it never does."""
        async with asyncio.timeout(READY_SECONDS):
            while self.process is None or not condition(self.process):
                if self.task.done():
                    self.task.result()
                await asyncio.sleep(POLL_SECONDS)

    def request_stop(self):
        """Tell the process to stop, as a signal would."""
        self.told_at = asyncio.get_running_loop().time()
        self.loop.call_soon_threadsafe(self.stop.set)

    async def end(self):
        """Wait for the end; return the seconds since the process was told to stop."""
        async with asyncio.timeout(PATIENCE_SECONDS):
            await asyncio.shield(self.task)
        return asyncio.get_running_loop().time() - self.told_at

    async def end_by_force(self):
        """End a process that a failed test has left, or that does not stop."""
        if not self.task.done():
            self.request_stop()
            await asyncio.wait([self.task], timeout=PATIENCE_SECONDS)
        if not self.task.done():
            self.loop.call_soon_threadsafe(self.main_task.cancel)
        await asyncio.gather(self.task, return_exceptions=True)

    async def listens(self):
        """Wait until the process takes connections."""
        await self.until(lambda _: True)
        async with asyncio.timeout(READY_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    (await open_socket(self.port)).close()
                    return
                await asyncio.sleep(POLL_SECONDS)


@contextlib.asynccontextmanager
async def running(monkeypatch, module, build):
    process = RunningProcess(monkeypatch, module, build)
    try:
        await process.listens()
        yield process
    finally:
        await process.end_by_force()


class Answers:
    """Stand for the endpoints of an entry: the path says what is answered.

    /wait/S answers after S seconds; /bytes/N answers N bytes over a narrow link.
    """

    def __init__(self):
        self.paths = []

    def dispatcher(self, _, call, reply):
        self.paths.append(call.path)
        return Run(call, reply)


class Run:
    """Answer one call."""

    def __init__(self, call, reply):
        self.call = call
        self.reply = reply

    async def run(self):
        _, kind, number = self.call.path.split("/")
        await self.reply.start(200, [])
        if kind == "wait":
            await asyncio.sleep(float(number))
            await self.reply.write(b"whole")
        else:
            shrink_send_buffer(self.reply.http_request.transport)
            await self.reply.write(b"x" * int(number))
        await self.reply.finish(Outcome.ANSWERED)


@contextlib.asynccontextmanager
async def running_entry(monkeypatch, **settings):
    """Run an entry until the block ends; yield it and what its endpoints saw."""
    answers = Answers()
    monkeypatch.setattr(handler, "Dispatcher", answers.dispatcher)
    (port,) = free_ports(1)
    settings = {"port": port, "platform_url": "http://127.0.0.1:1"} | settings
    build = lambda: build_entry(**settings)  # noqa: E731
    async with running(monkeypatch, entries, build) as process:
        yield process, answers


@contextlib.asynccontextmanager
async def running_agent(monkeypatch, endpoint_url, **settings):
    """Run an agent beside an endpoint until the block ends."""
    (port,) = free_ports(1)
    values = {
        "name": "agent-1",
        "zone": "zone-1",
        "endpoint": "e-1",
        "service": "advice",
        "host": HOST,
        "port": port,
        "endpoint_url": endpoint_url,
        "platform_url": "http://127.0.0.1:1",
        "peer_keys": [KEY],
        "pace_seconds": 0.0,
        "drain_seconds": 5.0,
    }

    def build():
        agent = agents.Agent(AgentSettings(**values | settings), incarnation=1)
        agent.configuration.activate(build_document())
        agent.gate.close(zone_out=False)
        return agent

    async with running(monkeypatch, agents, build) as process:
        yield process


def shrink_send_buffer(transport):
    """Make the kernel hold little of what is sent, as for a slow reader far away."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, NARROW_BYTES)


async def open_socket(port):
    """Return a socket that is connected and of which nothing is read by itself."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    except BaseException:
        sock.close()
        raise
    return sock


class Caller:
    """Own one connection to an entry."""

    def __init__(self, sock):
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.received = b""

    @classmethod
    async def connect(cls, running):
        return cls(await open_socket(running.port))

    async def send(self, path, *headers, body=b""):
        head = [f"POST {path} HTTP/1.1", "Host: h", AUTHORISED, *headers]
        head.append(f"Content-Length: {len(body)}")
        await self.send_bytes(("\r\n".join(head) + "\r\n\r\n").encode() + body)

    async def send_bytes(self, data):
        await self.loop.sock_sendall(self.sock, data)

    async def more(self):
        """Read what is there; return False at the end of the connection."""
        data = await self.loop.sock_recv(self.sock, READ_BYTES)
        self.received += data
        return bool(data)

    async def read(self):
        """Return (status, head in lower case, body, whether all of it came)."""
        while b"\r\n\r\n" not in self.received and await self.more():
            pass
        head, _, body = self.received.partition(b"\r\n\r\n")
        self.received = body
        text = head.decode().lower()
        if not text:
            return 0, "", b"", False
        length = int(text.partition("content-length: ")[2].split()[0])
        while len(self.received) < length and await self.more():
            pass
        body, self.received = self.received[:length], self.received[length:]
        return int(text.split()[1]), text, body, len(body) == length

    async def ask(self, path, *headers, body=b""):
        await self.send(f"/services/bookings{path}", *headers, body=body)
        return await self.read()

    async def closes_within(self, seconds):
        """Tell whether the entry closes the connection within so many seconds."""
        try:
            async with asyncio.timeout(seconds):
                return not await self.more()
        except TimeoutError:
            return False
        except ConnectionError:
            return True

    def close(self):
        self.sock.close()


class TlsCaller(Caller):
    """Own one connection with TLS, of which nothing is read by itself either."""

    def __init__(self, sock, context):
        super().__init__(sock)
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_hostname=HOST)

    async def carry(self, step):
        """Repeat a step until it has what it needs of the socket."""
        while True:
            try:
                result = step()
            except ssl.SSLWantReadError:
                result = None
            await self.loop.sock_sendall(self.sock, self.outgoing.read())
            if result is not None:
                return result
            data = await self.loop.sock_recv(self.sock, READ_BYTES)
            if not data:
                return b""
            self.incoming.write(data)

    async def handshake(self):
        await self.carry(lambda: self.tls.do_handshake() or True)

    async def send_bytes(self, data):
        await self.carry(lambda: self.tls.write(data))

    async def more(self):
        try:
            data = await self.carry(lambda: self.tls.read(READ_BYTES))
        except ssl.SSLZeroReturnError:
            return False
        self.received += data
        return bool(data)
