"""Keep one connection to one agent and multiplex requests over it."""

import asyncio
import logging
from dataclasses import dataclass

from fescuedrum.decisions.pacing import Backoff
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import ConnectionEnded, ConnectionSilent
from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire import codec
from fescuedrum.wire.connection import FrameConnection
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum.wire.gen.members import ttypes as members
from fescuedrum_entry.connection.attempt import AttemptTrace

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 2.0
WINDOW_BYTES = 256 * 1024
# A frame of credit for every token would cost as much as the token itself; a quarter
# of the window keeps the agent sending while the credit is on its way.
CREDIT_BYTES = WINDOW_BYTES // 4


@dataclass(slots=True, frozen=True)
class Lost:
    """Tell an exchange that its connection ended; the request may have run."""


LOST = Lost()


class Exchange:
    """Hold one request on one connection and the frames that come for it."""

    __slots__ = (
        "attempt",
        "candidate",
        "events",
        "link",
        "number",
        "organisation",
        "trace",
        "untold",
    )

    def __init__(
        self, link, number, attempt, candidate=None, trace=None, organisation=""
    ):
        self.link = link
        self.number = number
        self.attempt = attempt
        # On which the router counts this request as unanswered.
        self.candidate = candidate
        self.organisation = organisation
        self.events = asyncio.Queue()
        self.trace = trace
        self.untold = 0

    async def receive(self):
        """Wait for the next frame of this request, or Lost."""
        body = await self.events.get()
        if self.trace is not None:
            self.trace.received(body)
        return body

    def taken(self, size):
        """Give the agent credit for bytes that the caller has taken."""
        self.untold += size
        if self.untold >= CREDIT_BYTES:
            self.link.send(credit=frames.Credit(self.number, self.attempt, self.untold))
            self.untold = 0

    def close(self, *, finished):
        self.link.entry.router.ended(self.link, self.candidate, self.organisation)
        self.link.exchanges.pop(self.number, None)
        if self.trace is not None:
            self.trace.closed()
        if not finished:
            self.link.send(cancel=frames.Cancel(self.number, self.attempt))


class Link:
    """Own the connection to one agent and open a new one when it ends."""

    __slots__ = (
        "connection",
        "entry",
        "exchanges",
        "heard_at",
        "instance",
        "last_heartbeat",
        "loop",
        "next_number",
        "peer",
        "unexpected_frames",
    )

    def __init__(self, entry, instance):
        self.entry = entry
        self.instance = instance
        self.connection = None
        self.exchanges = {}
        self.last_heartbeat = None
        self.heard_at = 0.0
        self.next_number = 1
        self.peer = None
        self.unexpected_frames = 0
        self.loop = asyncio.get_running_loop()

    @property
    def usable(self):
        """Tell whether new work may go to this agent."""
        beat = self.last_heartbeat
        if self.connection is None or beat is None or beat.leaving:
            return False
        if self.instance.name in self.entry.members.damped:
            return False
        # An agent that takes what is sent too slowly gets no more until it caught up.
        return not self.connection.congested

    def open(self, request):
        """Send a request and return its exchange."""
        request.number = self.next_number
        self.next_number += 1
        request.window = WINDOW_BYTES
        trace = AttemptTrace.begin(self, request)
        organisation = request.organisation or ""
        candidate = self.entry.router.sent(self, organisation)
        exchange = Exchange(
            self, request.number, request.attempt, candidate, trace, organisation
        )
        self.exchanges[request.number] = exchange
        self.send(request=request)
        return exchange

    def ask(self, fence):
        """Send a question about a key and return its exchange."""
        fence.number = self.next_number
        self.next_number += 1
        fence.attempt = 1
        exchange = Exchange(self, fence.number, fence.attempt)
        self.exchanges[fence.number] = exchange
        self.send(fence=fence)
        return exchange

    @property
    def incarnation(self):
        """Return the life that the agent at the other end is in, or None."""
        return self.peer.incarnation if self.connection is not None else None

    def send(self, **body):
        if self.connection is not None:
            self.connection.send(**body)

    async def run(self):
        """Connect, serve the connection to its end, and start again."""
        backoff = Backoff(self.entry.random)
        while True:
            try:
                await self.serve(backoff)
            except (OSError, TimeoutError, ProtocolError) as error:
                log_event(logger, ConnectionEnded(self.instance.name, str(error)))
            finally:
                self.lose()
            await asyncio.sleep(backoff.next_wait())

    async def serve(self, backoff):
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await self.entry.peers.connect(
                self.instance.host, self.instance.port
            )
        connection = FrameConnection(reader, writer)
        try:
            side = self.entry.peers.initiate_handshake(self.instance.name)
            self.peer = await connection.handshake(side)
        except BaseException:
            writer.transport.abort()
            raise
        backoff.succeeded()
        watch = asyncio.create_task(self.watch(connection))
        try:
            self.heard_at = self.loop.time()
            while (frame := await connection.receive()) is not None:
                self.heard_at = self.loop.time()
                self.connection = connection
                self.handle(codec.get_body(frame))
        finally:
            watch.cancel()
            connection.close()

    async def watch(self, connection):
        """Send heartbeats; close a connection that has gone silent.

        A middlebox that forgets a connection drops its packets without a reset, so
        neither side sees an error; only missing heartbeats show it.
        """
        members = self.entry.members
        while self.loop.time() - self.heard_at < members.allowed_silence():
            connection.send(heartbeat=self.entry.heartbeat())
            await asyncio.sleep(members.interval())
        log_event(logger, ConnectionSilent(self.instance.name))
        # A plain close would wait for the peer to take what is still buffered.
        connection.writer.transport.abort()

    def handle(self, body):
        match body:
            case members.Heartbeat():
                self.last_heartbeat = body
                self.entry.members.heard(self.peer, body)
                self.entry.configuration_follower.heard(self, body)
                self.entry.router.heard(self)
            case members.Pull():
                self.entry.configuration_follower.answer(self, body)
            case members.DocumentBody():
                self.entry.configuration.update_from_frame(body)
            case None:
                self.unexpected_frames += 1
            case _:
                self.deliver(body)

    def deliver(self, body):
        exchange = self.exchanges.get(body.number)
        # A late frame of an earlier attempt must not reach another request's caller.
        if exchange is None or exchange.attempt != body.attempt:
            self.unexpected_frames += 1
            return
        if isinstance(body, frames.End):
            self.entry.router.delivered(self, body)
        exchange.events.put_nowait(body)

    def lose(self):
        if self.connection is not None:
            self.entry.members.lost(self.instance.name)
        self.connection = None
        self.last_heartbeat = None
        self.entry.router.lost(self)
        exchanges, self.exchanges = self.exchanges, {}
        for exchange in exchanges.values():
            exchange.events.put_nowait(LOST)
