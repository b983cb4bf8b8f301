"""Maintain one connection between two entries."""

import asyncio
import logging

from fescuedrum.decisions.duties.pacing import Backoff
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import PeerNotReached, PeerRefused
from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire import codec
from fescuedrum.wire.connection import FrameConnection
from fescuedrum.wire.gen.members import ttypes as members
from fescuedrum.wire.handshake import ENTRY

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 2.0


class Channel:
    """Serve an open connection to another entry, whichever side opened it."""

    __slots__ = ("connection", "entry", "hello", "last_received_at", "loop")

    def __init__(self, entry, connection, hello):
        self.entry = entry
        self.connection = connection
        self.hello = hello
        self.loop = asyncio.get_running_loop()
        self.last_received_at = self.loop.time()

    async def run(self):
        """Handle the connection's frames until it ends."""
        monitor = asyncio.create_task(self.monitor())
        self.entry.members.opened(self)
        try:
            while (frame := await self.connection.receive()) is not None:
                self.last_received_at = self.loop.time()
                self.handle_body(codec.get_body(frame))
        finally:
            monitor.cancel()
            self.entry.members.closed(self)
            self.connection.close()

    async def monitor(self):
        """Send heartbeats and abort the connection when the other entry goes silent."""
        membership = self.entry.members
        while self.loop.time() - self.last_received_at < membership.allowed_silence():
            self.connection.send(heartbeat=self.entry.heartbeat())
            await asyncio.sleep(membership.interval())
        self.connection.writer.transport.abort()

    def handle_body(self, body):
        """Handle the body of a frame received from the other entry."""
        match body:
            case members.Heartbeat():
                self.entry.members.heard(self.hello, body)
                self.entry.configuration_follower.handle_heartbeat(
                    self.connection, body
                )
            case members.Pull():
                self.entry.configuration_follower.answer_pull(self.connection, body)
            case members.DocumentBody():
                self.entry.configuration.update_from_frame(body)
            case members.ZoneDigest():
                self.entry.members.receive_digest(self, body)
            case members.ListingPull():
                self.entry.members.send_listing(self)
            case members.Listing():
                self.entry.members.receive_listing(body)


class Peer:
    """Maintain the connection that this entry opens to another one."""

    __slots__ = ("entry", "host", "name", "port", "zone")

    def __init__(self, entry, name, zone, host, port):
        self.entry = entry
        self.name = name
        self.zone = zone
        self.host = host
        self.port = port

    async def run(self):
        """Connect to the entry, serve the connection until it ends, and reconnect."""
        backoff = Backoff(self.entry.random)
        while True:
            try:
                channel = await self.connect()
                backoff.succeeded()
                await channel.run()
            except (OSError, TimeoutError, ProtocolError) as error:
                log_event(logger, PeerNotReached(self.name, str(error)))
            await asyncio.sleep(backoff.next_wait())

    async def connect(self):
        """Open a connection, complete the handshake and return the Channel."""
        peers = self.entry.peers
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await peers.connect(self.host, self.port)
        connection = FrameConnection(reader, writer)
        try:
            hello = await connection.handshake(
                peers.initiate_handshake(self.name, ENTRY)
            )
        except BaseException:
            writer.transport.abort()
            raise
        return Channel(self.entry, connection, hello)


async def serve_peer(entry, reader, writer):
    """Serve a connection that another entry has opened to this one."""
    connection = FrameConnection(reader, writer)
    try:
        hello = await connection.handshake(entry.peers.accept_handshake())
        await Channel(entry, connection, hello).run()
    except (OSError, ProtocolError) as error:
        log_event(logger, PeerRefused(str(error)))
    finally:
        writer.transport.abort()
