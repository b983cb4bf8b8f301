"""Check which callers' connections are closed when a process stops."""

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web

from fescuedrum.decisions.duties.stopping import StopPlan
from fescuedrum.serving import (
    MINIMUM_IDLE_SECONDS,
    TrackedConnection,
    TrackingServer,
    wait_for_delivery,
)


@contextlib.asynccontextmanager
async def one_connection():
    """Yield (server, its only connection); requests on it are never answered."""

    async def handle(_):
        await asyncio.sleep(60)

    loop = asyncio.get_running_loop()
    server = TrackingServer(handle, TrackedConnection, access_log=None)
    listening = await loop.create_server(server, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    while not server.connections:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.01)
    yield server, server.connections[0]
    writer.close()
    listening.close()
    await server.shutdown(0.1)


async def test_an_idle_connection_is_closed_and_a_new_one_is_not():
    async with one_connection() as (server, connection):
        transport = connection.transport
        now = asyncio.get_running_loop().time()
        server.close_idle(now)
        assert not transport.is_closing()
        server.close_idle(now + MINIMUM_IDLE_SECONDS)
        assert transport.is_closing()


async def test_a_connection_whose_request_was_read_is_not_closed():
    """Guard against closing a connection with an unanswered request as if it were idle.

    After a stall of the loop, idle connections are closed before the handler of a
    request that has already been read has begun.
    """
    async with one_connection() as (server, connection):
        transport = connection.transport
        connection.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        now = asyncio.get_running_loop().time()
        server.close_idle(now + MINIMUM_IDLE_SECONDS)
        assert not transport.is_closing()


async def test_a_stop_survives_a_body_timeout_in_the_same_loop_iteration():
    """Guard against an error at the start of a stop that ends all running requests.

    It comes about when a body's timeout expires in the loop iteration in which the stop
    begins.
    """
    loop = asyncio.get_running_loop()
    server = TrackingServer(None, TrackedConnection, access_log=None)

    async def read():
        async with server.body_timeout(0.05):
            await loop.create_future()

    task = asyncio.create_task(read())
    await asyncio.sleep(0)
    (timeout,) = server.body_timeouts
    stopping = loop.create_future()
    loop.call_at(timeout.when() - 1e-6, stopping.set_result, None)
    await stopping
    server.start_draining(loop.time() + 1)
    with pytest.raises(TimeoutError):
        await task


async def test_a_caller_that_has_just_connected_is_answered_at_the_end_of_a_stop():
    """Guard against a request that is lost without an answer or a log line.

    It comes about when the kernel has accepted the connection and the process has not,
    so that it finds no open connection and exits.
    """

    async def refuse(_):
        return web.Response(status=503)

    server = TrackingServer(refuse, TrackedConnection, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    plan = StopPlan(asyncio.get_running_loop().time(), stop_seconds=8.0)
    plan.close()
    # A blocking call, so that the loop can't accept the connection yet.
    with socket.create_connection(runner.addresses[0], timeout=1.0) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await wait_for_delivery(plan, server, runner)
        await runner.cleanup()
        assert caller.recv(64).startswith(b"HTTP/1.1 503 ")


async def test_a_caller_who_left_before_the_answer_began_is_no_logged_error(caplog):
    """Guard against an unhandled error in the log for each caller who gives up."""

    async def handle(request):
        request.transport.abort()
        # The loop has not told the connection yet that it is lost.
        response = web.StreamResponse()
        await response.prepare(request)
        return response

    loop = asyncio.get_running_loop()
    server = TrackingServer(handle, TrackedConnection, access_log=None)
    listening = await loop.create_server(server, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    with contextlib.suppress(ConnectionError):
        assert await reader.read() == b""
    await asyncio.sleep(0.05)
    writer.close()
    listening.close()
    await server.shutdown(0.1)
    assert [each.getMessage() for each in caplog.records] == []
