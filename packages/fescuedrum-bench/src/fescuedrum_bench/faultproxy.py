"""Carry TCP connections and spoil them on order."""

import asyncio
import contextlib
import enum

STOP_SECONDS = 2.0
STOP_POLL_SECONDS = 0.01
PARTITION_POLL_SECONDS = 0.01
READ_BYTES = 64 * 1024


class Mode(enum.Enum):
    """Say how a proxy treats its connections."""

    PASS = "pass"
    # New connections are taken and nothing is carried: a partition without a reset.
    # What was sent meanwhile comes when it is over, as kernels would send it again.
    PARTITION = "partition"
    REFUSE = "refuse"


class Carrier:
    """Own one connection through the proxy: two directions of bytes."""

    __slots__ = ("proxy", "silent", "tasks", "writers")

    def __init__(self, proxy):
        self.proxy = proxy
        self.silent = False
        self.writers = []
        self.tasks = []

    async def run(self, reader, writer):
        self.writers.append(writer)
        host, port = self.proxy.target
        far_reader, far_writer = await asyncio.open_connection(host, port)
        self.writers.append(far_writer)
        self.tasks = [
            asyncio.create_task(self.carry(reader, far_writer)),
            asyncio.create_task(self.carry(far_reader, writer)),
        ]
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def carry(self, reader, writer):
        while data := await reader.read(READ_BYTES):
            if self.proxy.delay_seconds:
                await asyncio.sleep(self.proxy.delay_seconds)
            await self.partition_over()
            # A middlebox that lost track of a connection drops all and resets none.
            if self.silent:
                continue
            writer.write(data)
            await writer.drain()
        await self.partition_over()
        if not self.silent:
            writer.close()

    async def partition_over(self):
        """Hold what is carried through a partition.

        Dropped, it would leave a hole in the connection, which no network does: whoever
        reads would be blamed for an answer that lacks its middle.
        """
        while self.proxy.mode is Mode.PARTITION and not self.silent:
            await asyncio.sleep(PARTITION_POLL_SECONDS)

    def cut(self):
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()


class FaultProxy:
    """Listen in place of a target and carry its connections; ordered in process."""

    __slots__ = ("carriers", "delay_seconds", "mode", "server", "target")

    def __init__(self, host, port):
        self.target = (host, port)
        self.mode = Mode.PASS
        self.delay_seconds = 0.0
        self.carriers = set()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.accept, host, port)

    async def stop(self):
        self.server.close()
        self.cut()
        # A loop that ends before them would cancel the connections' tasks and print a
        # traceback for each.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_SECONDS):
                while self.carriers:
                    await asyncio.sleep(STOP_POLL_SECONDS)

    async def accept(self, reader, writer):
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
        """Reset the connections that are open now."""
        for carrier in list(self.carriers):
            carrier.cut()

    def silence(self):
        """Make the connections that are open now silent for good; new ones work."""
        for carrier in self.carriers:
            carrier.silent = True

    def heal(self):
        """Carry new connections as they come; silent ones stay silent."""
        self.mode = Mode.PASS
        self.delay_seconds = 0.0
