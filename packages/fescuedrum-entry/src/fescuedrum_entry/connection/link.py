"""Maintain one connection to an agent and multiplex requests over it."""

import asyncio
import logging
from dataclasses import dataclass

from fescuedrum.decisions.duties.pacing import Backoff
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
# Credit is granted once a quarter of the window has been read. A credit frame for each
# token would cost as much as the token; the rest of the window lets the agent go on
# sending while the credit is in transit.
CREDIT_BYTES = WINDOW_BYTES // 4


@dataclass(slots=True, frozen=True)
class Lost:
    """Mark the end of an exchange's connection; the request may have run."""


LOST = Lost()


class Exchange:
    """Hold one request on one connection and the frames received for it."""

    __slots__ = (
        "attempt",
        "candidate",
        "events",
        "link",
        "number",
        "organisation",
        "trace",
        "uncredited_bytes",
    )

    def __init__(
        self, link, number, attempt, candidate=None, trace=None, organisation=""
    ):
        self.link = link
        self.number = number
        self.attempt = attempt
        # The routing candidate that counts this request as unanswered.
        self.candidate = candidate
        self.organisation = organisation
        self.events = asyncio.Queue()
        self.trace = trace
        self.uncredited_bytes = 0

    async def receive(self):
        """Return the next frame of this request, or Lost when the connection ended."""
        body = await self.events.get()
        if self.trace is not None:
            self.trace.record_frame(body)
        return body

    def grant_credit(self, size):
        """Count bytes passed to the caller and grant credit for them in batches."""
        self.uncredited_bytes += size
        if self.uncredited_bytes >= CREDIT_BYTES:
            self.link.send(
                credit=frames.Credit(self.number, self.attempt, self.uncredited_bytes)
            )
            self.uncredited_bytes = 0

    def close(self, *, finished):
        """Release the exchange; cancel the request at the agent unless it finished."""
        self.link.entry.router.ended(self.link, self.candidate, self.organisation)
        self.link.exchanges.pop(self.number, None)
        if self.trace is not None:
            self.trace.record_close()
        if not finished:
            self.link.send(cancel=frames.Cancel(self.number, self.attempt))


class Link:
    """Maintain the connection to one agent and reconnect when it ends."""

    __slots__ = (
        "connection",
        "entry",
        "exchanges",
        "instance",
        "last_heartbeat",
        "last_received_at",
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
        self.last_received_at = 0.0
        self.next_number = 1
        self.peer = None
        self.unexpected_frames = 0
        self.loop = asyncio.get_running_loop()

    @property
    def usable(self):
        """Return whether new requests may be sent to this agent."""
        beat = self.last_heartbeat
        if self.connection is None or beat is None or beat.leaving:
            return False
        if self.instance.name in self.entry.members.damped:
            return False
        # An agent that reads too slowly gets no new requests until it has caught up.
        return not self.connection.congested

    def send_request(self, request):
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

    def send_fence(self, fence):
        """Send a fence for a key to the agent and return its exchange."""
        fence.number = self.next_number
        self.next_number += 1
        fence.attempt = 1
        exchange = Exchange(self, fence.number, fence.attempt)
        self.exchanges[fence.number] = exchange
        self.send(fence=fence)
        return exchange

    @property
    def incarnation(self):
        """Return the incarnation of the connected agent, or None without one."""
        return self.peer.incarnation if self.connection is not None else None

    def send(self, **body):
        """Send a frame to the agent, or drop it when there is no connection."""
        if self.connection is not None:
            self.connection.send(**body)

    async def run(self):
        """Connect to the agent, serve the connection until it ends, and reconnect."""
        backoff = Backoff(self.entry.random)
        while True:
            try:
                await self.serve(backoff)
            except (OSError, TimeoutError, ProtocolError) as error:
                log_event(logger, ConnectionEnded(self.instance.name, str(error)))
            finally:
                self.handle_disconnect()
            await asyncio.sleep(backoff.next_wait())

    async def serve(self, backoff):
        """Open a connection and handle its frames until it ends."""
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
        monitor = asyncio.create_task(self.monitor(connection))
        try:
            self.last_received_at = self.loop.time()
            while (frame := await connection.receive()) is not None:
                self.last_received_at = self.loop.time()
                self.connection = connection
                self.handle_body(codec.get_body(frame))
        finally:
            monitor.cancel()
            connection.close()

    async def monitor(self, connection):
        """Send heartbeats and abort the connection when the agent goes silent.

        A middlebox that has dropped a connection from its table discards the packets
        without a reset, so neither side sees an error and only missing heartbeats
        reveal it.
        """
        membership = self.entry.members
        while self.loop.time() - self.last_received_at < membership.allowed_silence():
            connection.send(heartbeat=self.entry.heartbeat())
            await asyncio.sleep(membership.interval())
        log_event(logger, ConnectionSilent(self.instance.name))
        # close() would wait for the peer to read what is still buffered.
        connection.writer.transport.abort()

    def handle_body(self, body):
        """Handle the body of a frame received from the agent."""
        match body:
            case members.Heartbeat():
                self.last_heartbeat = body
                self.entry.members.heard(self.peer, body)
                self.entry.configuration_follower.handle_heartbeat(self, body)
                self.entry.router.heard(self)
            case members.Pull():
                self.entry.configuration_follower.answer_pull(self, body)
            case members.DocumentBody():
                self.entry.configuration.update_from_frame(body)
            case None:
                self.unexpected_frames += 1
            case _:
                self.deliver(body)

    def deliver(self, body):
        """Put a frame into the queue of the exchange that it belongs to."""
        exchange = self.exchanges.get(body.number)
        # A late frame of an earlier attempt must not reach another request's caller.
        if exchange is None or exchange.attempt != body.attempt:
            self.unexpected_frames += 1
            return
        if isinstance(body, frames.End):
            self.entry.router.record_delivery(self, body)
        exchange.events.put_nowait(body)

    def handle_disconnect(self):
        """Clear the connection's state and end its exchanges with LOST."""
        if self.connection is not None:
            self.entry.members.lost(self.instance.name)
        self.connection = None
        self.last_heartbeat = None
        self.entry.router.lost(self)
        exchanges, self.exchanges = self.exchanges, {}
        for exchange in exchanges.values():
            exchange.events.put_nowait(LOST)
