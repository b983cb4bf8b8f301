"""Keep one connection between two entries."""

import asyncio
import logging

from fescuedrum.decisions.pacing import Backoff
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
    """Own one open connection to another entry, whichever side dialled."""

    __slots__ = ("connection", "entry", "heard_at", "hello", "loop")

    def __init__(self, entry, connection, hello):
        self.entry = entry
        self.connection = connection
        self.hello = hello
        self.loop = asyncio.get_running_loop()
        self.heard_at = self.loop.time()

    async def run(self):
        """Serve the connection to its end."""
        watch = asyncio.create_task(self.watch())
        self.entry.members.opened(self)
        try:
            while (frame := await self.connection.receive()) is not None:
                self.heard_at = self.loop.time()
                self.handle(codec.get_body(frame))
        finally:
            watch.cancel()
            self.entry.members.closed(self)
            self.connection.close()

    async def watch(self):
        """Send heartbeats; close a connection that has gone silent without a reset."""
        group = self.entry.members
        while self.loop.time() - self.heard_at < group.allowed_silence():
            self.connection.send(heartbeat=self.entry.heartbeat())
            await asyncio.sleep(group.interval())
        self.connection.writer.transport.abort()

    def handle(self, body):
        match body:
            case members.Heartbeat():
                self.entry.members.heard(self.hello, body)
                self.entry.configuration_follower.heard(self.connection, body)
            case members.Pull():
                self.entry.configuration_follower.answer(self.connection, body)
            case members.DocumentBody():
                self.entry.configuration.update_from_frame(body)
            case members.ZoneDigest():
                self.entry.members.take_digest(self, body)
            case members.ListingPull():
                self.entry.members.send_listing(self)
            case members.Listing():
                self.entry.members.take_listing(body)


class Peer:
    """Keep a connection to one entry that this one dials."""

    __slots__ = ("entry", "host", "name", "port", "zone")

    def __init__(self, entry, name, zone, host, port):
        self.entry = entry
        self.name = name
        self.zone = zone
        self.host = host
        self.port = port

    async def run(self):
        """Connect, serve the connection to its end, and start again."""
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
    """Serve a connection that another entry dialled."""
    connection = FrameConnection(reader, writer)
    try:
        hello = await connection.handshake(entry.peers.accept_handshake())
        await Channel(entry, connection, hello).run()
    except (OSError, ProtocolError) as error:
        log_event(logger, PeerRefused(str(error)))
    finally:
        writer.transport.abort()
