"""Check which of callers' connections a stop closes."""

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web

from fescuedrum.decisions.stopping import StopPlan
from fescuedrum.serving import (
    MINIMUM_IDLE_SECONDS,
    TrackedConnection,
    TrackingServer,
    wait_for_delivery,
)


@contextlib.asynccontextmanager
async def one_connection():
    """Yield (server, its only connection), whose requests are never answered."""

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


async def test_a_connection_that_rests_is_closed_and_a_new_one_is_not():
    async with one_connection() as (server, connection):
        transport = connection.transport
        now = asyncio.get_running_loop().time()
        server.close_idle(now)
        assert not transport.is_closing()
        server.close_idle(now + MINIMUM_IDLE_SECONDS)
        assert transport.is_closing()


async def test_a_connection_whose_request_was_read_is_not_closed():
    """A caller's connection is closed without an answer, as if it had been resting.

    Its request was read when the loop stalled. When it went on, the look at resting
    connections came before the request's handler had begun.
    """
    async with one_connection() as (server, connection):
        transport = connection.transport
        connection.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        now = asyncio.get_running_loop().time()
        server.close_idle(now + MINIMUM_IDLE_SECONDS)
        assert not transport.is_closing()


async def test_a_stop_survives_a_body_that_is_given_up_in_the_same_moment():
    """A process ends at its signal and cuts all that runs.

    The time of a body was over in the very turn of the loop in which the stop began.
    """
    loop = asyncio.get_running_loop()
    server = TrackingServer(None, TrackedConnection, access_log=None)

    async def read():
        async with server.body_timeout(0.05):
            await loop.create_future()

    task = asyncio.create_task(read())
    await asyncio.sleep(0)
    (limit,) = server.limits
    leaving = loop.create_future()
    loop.call_at(limit.when() - 1e-6, leaving.set_result, None)
    await leaving
    server.start_draining(loop.time() + 1)
    with pytest.raises(TimeoutError):
        await task


async def test_a_caller_that_has_just_connected_is_answered_at_the_end_of_a_stop():
    """A request ends without a word, and no log has heard of it.

    It was sent on a connection that the kernel had taken and the process had not, when
    that found no connection open and ended.
    """

    async def refuse(_):
        return web.Response(status=503)

    server = TrackingServer(refuse, TrackedConnection, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    plan = StopPlan(asyncio.get_running_loop().time(), stop_seconds=8.0)
    plan.close()
    # Blocking, so that the loop has no turn in which it could accept.
    with socket.create_connection(runner.addresses[0], timeout=1.0) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await wait_for_delivery(plan, server, runner)
        await runner.cleanup()
        assert caller.recv(64).startswith(b"HTTP/1.1 503 ")
