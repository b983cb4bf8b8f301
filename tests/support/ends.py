"""Run an entry or an agent to its end in a thread with an event loop of its own.

The loop closes when run() returns, as at the end of a process: data that a transport
still buffers is lost then.
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
# The kernel doubles this value and has a minimum; a response of 40 kB does not fit.
SOCKET_BUFFER_BYTES = 4096
READ_BYTES = 64 * 1024
# Longer than the longest stop of a test; a process that takes longer is cancelled.
END_TIMEOUT_SECONDS = 7.0
KEY = build_key()


class RunningProcess:
    """Run the main object of a process in a thread."""

    def __init__(self, monkeypatch, module, build):
        monkeypatch.setattr(module, "stop_event", lambda: self.stop)
        monkeypatch.setattr(module, "on_reload", lambda *_: None)
        self.build = build
        self.process = None
        self.loop = None
        self.stop = None
        self.stop_requested_at = None
        self.main_task = None
        self.task = asyncio.create_task(asyncio.to_thread(self.serve))

    def serve(self):
        """Run the loop to its end and shut open sockets down, as the kernel would."""
        transports = asyncio.run(self.main())
        for transport in transports:
            sock = transport.get_extra_info("socket")
            if sock.fileno() >= 0:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    async def main(self):
        """Run the process; return the transports that it did not close."""
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
        """Wait until condition(process) holds; raise TimeoutError if it does not."""
        async with asyncio.timeout(READY_SECONDS):
            while self.process is None or not condition(self.process):
                if self.task.done():
                    self.task.result()
                await asyncio.sleep(POLL_SECONDS)

    def request_stop(self):
        """Request the process to stop, as a signal would."""
        self.stop_requested_at = asyncio.get_running_loop().time()
        self.loop.call_soon_threadsafe(self.stop.set)

    async def end(self):
        """Wait for the end; return the seconds since the stop was requested."""
        async with asyncio.timeout(END_TIMEOUT_SECONDS):
            await asyncio.shield(self.task)
        return asyncio.get_running_loop().time() - self.stop_requested_at

    async def end_by_force(self):
        """Stop a process that a failed test left running; cancel it if that fails."""
        if not self.task.done():
            self.request_stop()
            await asyncio.wait([self.task], timeout=END_TIMEOUT_SECONDS)
        if not self.task.done():
            self.loop.call_soon_threadsafe(self.main_task.cancel)
        await asyncio.gather(self.task, return_exceptions=True)

    async def wait_until_listening(self):
        """Wait until the process accepts connections."""
        await self.until(lambda _: True)
        async with asyncio.timeout(READY_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    (await open_socket(self.port)).close()
                    return
                await asyncio.sleep(POLL_SECONDS)


@contextlib.asynccontextmanager
async def running(monkeypatch, module, build):
    """Run a process until the block ends; yield its RunningProcess."""
    process = RunningProcess(monkeypatch, module, build)
    try:
        await process.wait_until_listening()
        yield process
    finally:
        await process.end_by_force()


class Answers:
    """Respond in place of the endpoints of an entry, and record the paths.

    /wait/S is answered after S seconds; /bytes/N with N bytes and a small send buffer.
    """

    def __init__(self):
        self.paths = []

    def dispatcher(self, _, call, reply):
        """Record a call; take the place of the Dispatcher class."""
        self.paths.append(call.path)
        return Run(call, reply)


class Run:
    """Respond to one call as its path says."""

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
    """Run an entry until the block ends; yield its process and its Answers."""
    answers = Answers()
    monkeypatch.setattr(handler, "Dispatcher", answers.dispatcher)
    (port,) = free_ports(1)
    settings = {"port": port, "platform_url": "http://127.0.0.1:1"} | settings
    build = lambda: build_entry(**settings)  # noqa: E731
    async with running(monkeypatch, entries, build) as process:
        yield process, answers


@contextlib.asynccontextmanager
async def running_agent(monkeypatch, endpoint_url, **settings):
    """Run an agent of an endpoint until the block ends; yield its RunningProcess."""
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
    """Make the kernel buffer little sent data, as with a slow and distant reader."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)


async def open_socket(port):
    """Return a connected socket from which only explicit calls read."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    except BaseException:
        sock.close()
        raise
    return sock


class Caller:
    """Hold one connection to an entry."""

    def __init__(self, sock):
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.received = b""

    @classmethod
    async def connect(cls, running):
        """Return a caller that is connected to a running process."""
        return cls(await open_socket(running.port))

    async def send(self, path, *headers, body=b""):
        """Send a POST request."""
        head = [f"POST {path} HTTP/1.1", "Host: h", AUTHORISED, *headers]
        head.append(f"Content-Length: {len(body)}")
        await self.send_bytes(("\r\n".join(head) + "\r\n\r\n").encode() + body)

    async def send_bytes(self, data):
        await self.loop.sock_sendall(self.sock, data)

    async def receive_more(self):
        """Receive some data; return False at the end of the connection."""
        data = await self.loop.sock_recv(self.sock, READ_BYTES)
        self.received += data
        return bool(data)

    async def read(self):
        """Return (status, head in lower case, body, whether the body is complete)."""
        while b"\r\n\r\n" not in self.received and await self.receive_more():
            pass
        head, _, body = self.received.partition(b"\r\n\r\n")
        self.received = body
        text = head.decode().lower()
        if not text:
            return 0, "", b"", False
        length = int(text.partition("content-length: ")[2].split()[0])
        while len(self.received) < length and await self.receive_more():
            pass
        body, self.received = self.received[:length], self.received[length:]
        return int(text.split()[1]), text, body, len(body) == length

    async def ask(self, path, *headers, body=b""):
        """Send a request to the bookings service; return what read() returns."""
        await self.send(f"/services/bookings{path}", *headers, body=body)
        return await self.read()

    async def closes_within(self, seconds):
        """Return whether the entry closes the connection within the given seconds."""
        try:
            async with asyncio.timeout(seconds):
                return not await self.receive_more()
        except TimeoutError:
            return False
        except ConnectionError:
            return True

    def close(self):
        self.sock.close()


class TlsCaller(Caller):
    """Hold one TLS connection, from which also only explicit calls read."""

    def __init__(self, sock, context):
        super().__init__(sock)
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_hostname=HOST)

    async def run_tls_step(self, step):
        """Repeat a TLS operation until it has received the data that it needs."""
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
        await self.run_tls_step(lambda: self.tls.do_handshake() or True)

    async def send_bytes(self, data):
        await self.run_tls_step(lambda: self.tls.write(data))

    async def receive_more(self):
        try:
            data = await self.run_tls_step(lambda: self.tls.read(READ_BYTES))
        except ssl.SSLZeroReturnError:
            return False
        self.received += data
        return bool(data)
