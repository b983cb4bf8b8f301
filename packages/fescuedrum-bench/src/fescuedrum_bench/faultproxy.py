"""Proxy TCP connections and inject network faults into them."""

import asyncio
import contextlib
import enum

STOP_SECONDS = 2.0
STOP_POLL_SECONDS = 0.01
PARTITION_POLL_SECONDS = 0.01
READ_BYTES = 64 * 1024


class Mode(enum.Enum):
    """Mode of a proxy, which applies to all its connections."""

    PASS = "pass"
    # Connections are accepted but no data passes, as in a partition without a reset.
    # Data sent meanwhile arrives afterwards, as a kernel would retransmit it.
    PARTITION = "partition"
    REFUSE = "refuse"


class Carrier:
    """Forward the bytes of one connection in both directions."""

    __slots__ = ("proxy", "silent", "tasks", "writers")

    def __init__(self, proxy):
        self.proxy = proxy
        self.silent = False
        self.writers = []
        self.tasks = []

    async def run(self, reader, writer):
        """Connect to the target and forward both directions until they end."""
        self.writers.append(writer)
        host, port = self.proxy.target
        target_reader, target_writer = await asyncio.open_connection(host, port)
        self.writers.append(target_writer)
        self.tasks = [
            asyncio.create_task(self.forward(reader, target_writer)),
            asyncio.create_task(self.forward(target_reader, writer)),
        ]
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def forward(self, reader, writer):
        """Forward one direction with the proxy's faults until its end."""
        while data := await reader.read(READ_BYTES):
            if self.proxy.delay_seconds:
                await asyncio.sleep(self.proxy.delay_seconds)
            await self.wait_partition_over()
            # Like a middlebox that lost the connection's state: drop without a reset.
            if self.silent:
                continue
            writer.write(data)
            await writer.drain()
        await self.wait_partition_over()
        if not self.silent:
            writer.close()

    async def wait_partition_over(self):
        """Wait until no partition holds data back.

        Dropped data would leave a gap within a TCP connection, which no network does,
        and the reader would be blamed for an answer that lacks a part.
        """
        while self.proxy.mode is Mode.PARTITION and not self.silent:
            await asyncio.sleep(PARTITION_POLL_SECONDS)

    def cut(self):
        """Reset the connection on both sides."""
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()


class FaultProxy:
    """Listen in place of a target and forward its connections with faults.

    The faults are set by attributes and methods, in the same process.
    """

    __slots__ = ("carriers", "delay_seconds", "mode", "server", "target")

    def __init__(self, host, port):
        self.target = (host, port)
        self.mode = Mode.PASS
        self.delay_seconds = 0.0
        self.carriers = set()
        self.server = None

    async def start(self, host, port):
        """Listen on an address."""
        self.server = await asyncio.start_server(self.accept, host, port)

    async def stop(self):
        """Stop listening, reset all connections and wait for their end."""
        self.server.close()
        self.cut()
        # If the event loop ended first, it would cancel the connections' tasks and
        # print a traceback for each.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_SECONDS):
                while self.carriers:
                    await asyncio.sleep(STOP_POLL_SECONDS)

    async def accept(self, reader, writer):
        """Forward a new connection, or reset it in mode REFUSE."""
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        carrier = Carrier(self)
        self.carriers.add(carrier)
        try:
            await carrier.run(reader, writer)
        except OSError:
            carrier.cut()
        finally:
            self.carriers.discard(carrier)

    def cut(self):
        """Reset all open connections."""
        for carrier in list(self.carriers):
            carrier.cut()

    def silence(self):
        """Drop all further data of the open connections; new ones work."""
        for carrier in self.carriers:
            carrier.silent = True

    def heal(self):
        """End the mode and the delay; silenced connections stay silent."""
        self.mode = Mode.PASS
        self.delay_seconds = 0.0
