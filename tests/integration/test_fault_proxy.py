"""Check that the fault proxy does nothing that a network can't do."""

import asyncio

from fescuedrum_bench.faultproxy import FaultProxy, Mode

LINES = [b"%d\n" % number for number in range(1, 13)]
LINE_SECONDS = 0.04
# Long enough to lose lines, but over before the last one.
PARTITION_SECONDS = 0.2
READ_SECONDS = 3.0


async def write_lines(_, writer):
    """Write the lines at intervals and close the connection."""
    for line in LINES:
        writer.write(line)
        await asyncio.sleep(LINE_SECONDS)
    writer.close()


async def read_until_silent(reader):
    """Return all data that is received within READ_SECONDS."""
    got = b""
    try:
        async with asyncio.timeout(READ_SECONDS):
            while data := await reader.read(1024):
                got += data
    except (TimeoutError, ConnectionError):
        pass
    return got


async def test_a_partition_leaves_no_gap_in_a_connection():
    """Guard against a proxy that drops bytes and forwards later ones of a connection.

    A network loses all later bytes or none. With a gap, the soak would report a gateway
    for a stream that lacks events in its middle.
    """
    server = await asyncio.start_server(write_lines, "127.0.0.1", 0)
    proxy = FaultProxy("127.0.0.1", server.sockets[0].getsockname()[1])
    await proxy.start("127.0.0.1", 0)
    port = proxy.server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    got = await reader.read(1024)
    proxy.mode = Mode.PARTITION
    await asyncio.sleep(PARTITION_SECONDS)
    proxy.heal()
    got += await read_until_silent(reader)
    writer.close()
    await proxy.stop()
    server.close()
    assert b"".join(LINES).startswith(got)
