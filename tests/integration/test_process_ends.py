"""Check what callers and entries get from an entry or agent that is stopping."""

import asyncio
import contextlib
import logging

import pytest
from aiohttp import web
from support.builders import build_request
from support.callers import AUTHORISED
from support.ends import (
    HOST,
    KEY,
    Caller,
    TlsCaller,
    open_socket,
    running_agent,
    running_entry,
    shrink_send_buffer,
)
from support.peers import Authority, build_entry_side

from fescuedrum.claims.ledger import FenceResult
from fescuedrum.exceptions import ProcessStopping
from fescuedrum.outcomes import Outcome
from fescuedrum.tls import Certificates
from fescuedrum.wire import codec
from fescuedrum.wire.connection import FrameConnection
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum.wire.gen.members import ttypes as members
from fescuedrum.wire.handshake import Keyring
from fescuedrum_entry.operators.changes import Changes

# More than the small send buffer holds, and below the high-water mark of a sender.
ANSWER_BYTES = 40_000
LINK_BYTES = 400_000
END_SECONDS = 1.0


async def begin(running, path, *headers):
    """Send a request on a new connection; return its task once it runs."""
    before = running.process.running
    caller = await Caller.connect(running)
    task = asyncio.create_task(caller.ask(path, *headers))
    await running.until(lambda entry: entry.running > before)
    return task


async def test_an_entry_accepts_late_in_a_stop_only_what_it_can_finish(monkeypatch):
    """Guard against a stopping entry that accepts a request which it can't finish.

    A long request kept the entry running. It accepted another one whose deadline was
    after the end of the stop, when the platform kills the entry.
    """
    settings = {"notice_seconds": 0.3, "drain_seconds": 2.5}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        before = await begin(running, "/wait/1.6")
        running.request_stop()
        await asyncio.sleep(0.7)
        late = await Caller.connect(running)
        status, head, _, whole = await late.ask("/wait/5")
        assert (status, whole) == (503, True)
        assert "fescuedrum-outcome: not-run" in head
        assert "retry-after: " in head
        assert "connection: close" in head
        fits = await (await Caller.connect(running)).ask(
            "/wait/0.1", "Fescuedrum-Deadline-Ms: 500"
        )
        assert (await before)[0] == 200
        await running.end()
    assert fits[0] == 200
    assert answers.paths == ["/wait/1.6", "/wait/0.1"]


async def test_an_entry_ends_in_time_whatever_still_runs(monkeypatch):
    """Guard against an entry that exceeds the time of its stop.

    The HTTP library waited another minute for a request that still ran. The platform
    then killed the process, which still had callers.
    """
    settings = {"notice_seconds": 0.1, "drain_seconds": 0.9}
    async with running_entry(monkeypatch, **settings) as (running, _):
        before = await begin(running, "/wait/4")
        running.request_stop()
        assert await running.end() < 1.0 + END_SECONDS
        assert not (await before)[3]


async def test_idle_connections_are_closed_after_the_notice(monkeypatch):
    """Guard against callers that use a stopping entry as long as one request runs.

    The balancer no longer chooses the entry, but callers reuse open connections.
    """
    settings = {"notice_seconds": 0.3, "drain_seconds": 3.0}
    async with running_entry(monkeypatch, **settings) as (running, _):
        resting = await Caller.connect(running)
        assert (await resting.ask("/wait/0"))[0] == 200
        before = await begin(running, "/wait/2")
        running.request_stop()
        assert not await resting.closes_within(0.15)
        assert await resting.closes_within(1.0)
        assert not before.done()
        assert (await before)[0] == 200


@pytest.mark.parametrize("path", ["/v1/models", "/healthz", "/operators/status"])
async def test_each_response_of_a_stopping_entry_closes_its_connection(
    monkeypatch, path
):
    """Guard against requests other than calls that keep connections open in a stop."""
    async with running_entry(monkeypatch, notice_seconds=1.0) as (running, _):
        caller = await Caller.connect(running)
        running.request_stop()
        await running.until(lambda entry: entry.leaving)
        await caller.send_bytes(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        assert "connection: close" in (await caller.read())[1]
        assert await caller.closes_within(0.5)


async def test_a_stopping_entry_sends_an_answer_to_its_last_byte(monkeypatch):
    """Guard against losing the end of a response to a slow caller.

    The request had ended and was no longer counted, but the last bytes were still in a
    buffer of the process when it ended.
    """
    settings = {"notice_seconds": 0.1, "drain_seconds": 4.0}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        caller = await Caller.connect(running)
        await caller.send(f"/services/bookings/bytes/{ANSWER_BYTES}")
        await running.until(lambda entry: answers.paths and not entry.running)
        running.request_stop()
        await asyncio.sleep(1.0)
        status, _, body, whole = await caller.read()
        assert (status, len(body), whole) == (200, ANSWER_BYTES, True)
        assert await running.end() < 4.1


async def test_a_stopping_entry_sends_an_answer_to_its_last_byte_over_tls(
    monkeypatch, tmp_path
):
    """Guard against losing the end of a response if callers use TLS to the entry."""
    files = Authority(tmp_path).issue("callers")
    settings = {"notice_seconds": 0.1, "drain_seconds": 4.0, "callers_tls": files}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        context = Certificates().client_context(files)
        caller = TlsCaller(await open_socket(running.port), context)
        await caller.handshake()
        await caller.send(f"/services/bookings/bytes/{ANSWER_BYTES}")
        await running.until(lambda entry: answers.paths and not entry.running)
        running.request_stop()
        await asyncio.sleep(1.0)
        async with asyncio.timeout(5.0):
            status, _, body, whole = await caller.read()
        assert (status, len(body), whole) == (200, ANSWER_BYTES, True)
        caller.close()
        assert await running.end() < 4.1


async def test_a_stopping_entry_waits_for_a_booking_whose_caller_disconnected(
    monkeypatch,
):
    """Guard against a stop in the middle of a booking whose outcome is then unknown.

    Its caller had disconnected, so the entry had no connection to wait for.
    """
    settings = {"notice_seconds": 0.1, "drain_seconds": 6.0}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        caller = await Caller.connect(running)
        await caller.send("/services/bookings/wait/2")
        await running.until(lambda _: answers.paths)
        caller.close()
        running.request_stop()
        assert await running.end() > 1.5


async def test_an_idle_tls_connection_does_not_delay_a_stop(monkeypatch, tmp_path):
    """Guard against an idle entry that takes 5 s to stop because of an idle caller.

    The entry closed a TLS connection and waited for the caller's close_notify, but the
    caller reads nothing and never sends it.
    """
    files = Authority(tmp_path).issue("callers")
    settings = {"notice_seconds": 0.3, "drain_seconds": 6.0, "callers_tls": files}
    async with running_entry(monkeypatch, **settings) as (running, _):
        context = Certificates().client_context(files)
        caller = TlsCaller(await open_socket(running.port), context)
        await caller.handshake()
        assert (await caller.ask("/wait/0"))[0] == 200
        running.request_stop()
        assert await running.end() < 4.0
        caller.close()


async def test_a_change_that_might_outlast_a_stop_is_refused(monkeypatch):
    """Guard against a change that is applied while the operator gets no response.

    The entry accepted it shortly before its end.
    """
    settings = {"notice_seconds": 0.1, "drain_seconds": 3.0}
    async with running_entry(monkeypatch, **settings) as (running, _):
        before = await begin(running, "/wait/1.5")
        running.request_stop()
        await asyncio.sleep(0.5)
        accepting = Changes(running.process).accept(None)
        taken = asyncio.run_coroutine_threadsafe(accepting, running.loop)
        with pytest.raises(ProcessStopping):
            await asyncio.wrap_future(taken)
        assert (await before)[0] == 200


async def test_an_undelivered_response_is_logged_with_its_request(monkeypatch, caplog):
    """Guard against a truncated response whose request id is not in the log."""
    caplog.set_level(logging.INFO)
    settings = {"notice_seconds": 0.1, "drain_seconds": 0.9}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        caller = await Caller.connect(running)
        await caller.send(f"/services/bookings/bytes/{20 * ANSWER_BYTES}")
        await running.until(lambda _: answers.paths)
        running.request_stop()
        await running.end()
        caller.close()
    (lost,) = logged(caplog, "answer not delivered")
    assert lost.request


async def test_a_caller_that_reads_nothing_does_not_delay_a_stop(monkeypatch):
    """Guard against a stop that waits for a caller that does not read its response."""
    settings = {"notice_seconds": 0.1, "drain_seconds": 0.9}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        caller = await Caller.connect(running)
        await caller.send(f"/services/bookings/bytes/{20 * ANSWER_BYTES}")
        await running.until(lambda _: answers.paths)
        running.request_stop()
        assert await running.end() < 1.0 + END_SECONDS
        caller.close()


async def test_a_stop_that_truncates_requests_is_logged(monkeypatch, caplog):
    """Guard against a log that does not show whether the entry truncated a request."""
    caplog.set_level(logging.INFO)
    settings = {"notice_seconds": 0.1, "drain_seconds": 0.9}
    async with running_entry(monkeypatch, **settings) as (running, _):
        before = await begin(running, "/wait/4")
        running.request_stop()
        await running.end()
        await before
    (began,) = logged(caplog, "entry draining")
    (ended,) = logged(caplog, "entry drained")
    assert (began.running, began.connections) == (1, 1)
    assert (ended.running, ended.connections) == (1, 1)
    assert 0.3 < ended.seconds < 1.0


async def test_an_agents_stop_is_logged(monkeypatch, caplog):
    caplog.set_level(logging.INFO)
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, drain_seconds=0.6) as running,
    ):
        connection = await connect_as_entry(running)
        connection.send(request=build_request(path="/wait/2", budget_ms=9000))
        await running.until(lambda agent: agent.gate.running)
        running.request_stop()
        await running.end()
        connection.close()
    (began,) = logged(caplog, "agent draining")
    (ended,) = logged(caplog, "agent drained")
    assert (began.running, ended.running, ended.unsent) == (1, 1, 0)
    assert 0.5 < ended.seconds < 1.6


def logged(caplog, message):
    """Return the log records with a message."""
    return [record for record in caplog.records if record.getMessage() == message]


async def begin_body(running):
    """Send the head of an order and half of its body; return the caller."""
    caller = await Caller.connect(running)
    head = ["POST /services/bookings/wait/0.1 HTTP/1.1", "Host: h", AUTHORISED]
    head += ["Content-Length: 2", "Fescuedrum-Deadline-Ms: 2000"]
    await caller.send_bytes(("\r\n".join(head) + "\r\n\r\n{").encode())
    await asyncio.sleep(0.1)
    return caller


async def test_a_stopping_entry_waits_for_an_incomplete_body(monkeypatch):
    """Guard against dropping a request whose body arrives slowly during a stop.

    The request was not counted as running yet, and the HTTP library discards data on
    connections that it is closing.
    """
    settings = {"notice_seconds": 0.1, "drain_seconds": 3.0}
    async with running_entry(monkeypatch, **settings) as (running, _):
        caller = await begin_body(running)
        running.request_stop()
        await asyncio.sleep(1.0)
        await caller.send_bytes(b"}")
        async with asyncio.timeout(5.0):
            assert (await caller.read())[0] == 200


@pytest.mark.parametrize("late", [False, True])
async def test_a_body_that_is_incomplete_at_the_end_is_refused_as_not_run(
    monkeypatch, late
):
    """Guard against an unknown outcome of a request that never reached an endpoint.

    Only half of its body arrived before the process ended, and the connection was
    closed without a response.
    """
    settings = {"notice_seconds": 0.3, "drain_seconds": 1.7}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        caller = None if late else await begin_body(running)
        running.request_stop()
        caller = caller or await begin_body(running)
        async with asyncio.timeout(5.0):
            status, head, _, whole = await caller.read()
        assert (status, whole) == (503, True)
        assert "fescuedrum-outcome: not-run" in head
        assert "retry-after: " in head
        assert await running.end() < 2.0 + END_SECONDS
        assert answers.paths == []


# Agents


async def answer_by_path(http_request):
    """Respond after the seconds, or with the number of bytes, in the path."""
    kind, number = http_request.match_info["kind"], http_request.match_info["number"]
    if kind == "bytes":
        return web.Response(body=b"x" * int(number))
    await asyncio.sleep(float(number))
    http_request.app[SEEN].append(http_request.path)
    return web.Response(body=b"whole")


SEEN = web.AppKey("seen", list)


@contextlib.asynccontextmanager
async def endpoint():
    """Run an endpoint; yield (URL, paths of the finished /wait requests)."""
    application = web.Application()
    application[SEEN] = []
    application.router.add_post("/{kind}/{number}", answer_by_path)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    try:
        yield f"http://{HOST}:{runner.addresses[0][1]}", application[SEEN]
    finally:
        await runner.cleanup()


async def connect_as_entry(running):
    """Return an authenticated connection to an agent."""
    sock = await open_socket(running.port)
    settings = running.process.settings
    options = {}
    if settings.peer_tls is not None:
        context = Certificates().client_context(settings.peer_tls)
        options = {"ssl": context, "server_hostname": HOST}
    connection = FrameConnection(*await asyncio.open_connection(sock=sock, **options))
    side = build_entry_side(Keyring([KEY]), settings.name)
    await connection.handshake(side)
    return connection


async def read_end(connection, number, seconds=10.0):
    """Return (body size, End) of a request; End is None if none is received."""
    size = 0
    async with asyncio.timeout(seconds):
        while (frame := await connection.receive()) is not None:
            match codec.get_body(frame):
                case frames.Chunk(number=at, data=data) if at == number:
                    size += len(data)
                case frames.End(number=at) as end if at == number:
                    return size, end
    return size, None


async def close_at_the_end(connection):
    """Read until the agent ends its side, then close, as entries do."""
    while await connection.receive() is not None:
        pass
    connection.close()


def shrink_send_buffers(agent):
    """Shrink the send buffers of all sessions of an agent."""
    for session in agent.sessions:
        shrink_send_buffer(session.connection.writer.transport)


def has_unsent_end(agent):
    """Return whether an agent has a request whose End is not queued for its entry."""
    return agent.tickets or any(session.relays for session in agent.sessions)


def ask_unread(connection):
    """Request a long response from an agent without reading it."""
    path = f"/bytes/{LINK_BYTES}"
    connection.writer.transport.pause_reading()
    connection.send(request=build_request(path=path, window=2 * LINK_BYTES))


@pytest.mark.parametrize("tls", [False, True])
async def test_a_stopping_agent_sends_an_answer_to_its_last_byte(
    monkeypatch, tmp_path, tls
):
    """Guard against an unknown outcome of a booking that ran without a failure.

    Its agent was stopped while the end of the response was still in the agent's buffer,
    because the connection to the entry was slow.
    """
    files = Authority(tmp_path).issue("peers") if tls else None
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, peer_tls=files) as running,
    ):
        connection = await connect_as_entry(running)
        await running.until(lambda agent: agent.sessions)
        running.loop.call_soon_threadsafe(shrink_send_buffers, running.process)
        ask_unread(connection)
        await running.until(
            lambda agent: agent.gate.answers and not has_unsent_end(agent)
        )
        running.request_stop()
        await asyncio.sleep(0.5)
        connection.writer.transport.resume_reading()
        size, end = await read_end(connection, 1)
        assert end is not None
        assert (size, end.length) == (LINK_BYTES, LINK_BYTES)
        connection.close()


async def send_heartbeats(connection):
    """Send heartbeats until the connection is closed."""
    while not connection.writer.is_closing():
        connection.send(heartbeat=members.Heartbeat(version=0))
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("tls", [False, True])
async def test_heartbeats_do_not_lose_the_end_of_a_stopping_agents_answer(
    monkeypatch, tmp_path, tls
):
    """Guard against a reset that discards the end of a stopping agent's response.

    The agent had passed all data to the kernel and ended. The entry's next heartbeat
    was answered by a reset, which discards data that is not delivered yet.
    """
    files = Authority(tmp_path).issue("peers") if tls else None
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, peer_tls=files) as running,
    ):
        connection = await connect_as_entry(running)
        await running.until(lambda agent: agent.sessions)
        ask_unread(connection)
        await running.until(
            lambda agent: agent.gate.answers and not has_unsent_end(agent)
        )
        beating = asyncio.create_task(send_heartbeats(connection))
        running.request_stop()
        await asyncio.sleep(1.0)
        connection.writer.transport.resume_reading()
        size, end = await read_end(connection, 1)
        assert end is not None
        assert (size, end.length) == (LINK_BYTES, LINK_BYTES)
        connection.close()
        await running.end()
        beating.cancel()


async def test_a_request_sent_while_an_agent_announces_its_stop_is_refused(monkeypatch):
    """Guard against an unknown outcome of a request that crosses the agent's notice.

    The agent had no running requests and ended 50 ms after it announced its stop, so
    the booking was lost before it reached the service.
    """
    async with (
        endpoint() as (url, seen),
        running_agent(monkeypatch, url) as running,
    ):
        connection = await connect_as_entry(running)
        await running.until(lambda agent: agent.sessions)
        running.request_stop()
        await asyncio.sleep(0.2)
        connection.send(request=build_request(path="/wait/0", key="k", incarnation=1))
        refusal = await read_body(connection, frames.Refusal)
        assert refusal is not None
        assert refusal.reason == "leaving"
        connection.close()
        await running.end()
    assert seen == []


async def test_a_request_after_an_agent_finished_its_connection_is_refused_over_tls(
    monkeypatch, tmp_path
):
    """Guard against an unknown outcome of a request that never ran over TLS.

    A stopping agent finishes its side of a connection. TLS can't be half closed, so the
    entry does not notice and sends a request; the agent's refusal was dropped.
    """
    files = Authority(tmp_path).issue("peers")
    async with (
        endpoint() as (url, seen),
        running_agent(monkeypatch, url, peer_tls=files) as running,
    ):
        connection = await connect_as_entry(running)
        await running.until(lambda agent: agent.sessions)
        running.process.gate.close(leaving=True)
        (session,) = running.process.sessions
        running.loop.call_soon_threadsafe(session.connection.finish)
        await asyncio.sleep(0.1)
        connection.send(request=build_request(path="/wait/0", key="k", incarnation=1))
        refusal = await read_body(connection, frames.Refusal)
        assert refusal is not None
        assert refusal.reason == "leaving"
        connection.close()
    assert seen == []


async def test_a_stopping_agent_answers_a_fence(monkeypatch):
    """Guard against an unknown outcome because a stopping agent ignores a fence.

    The agent waited for the booking, which might still arrive, and was stopped
    meanwhile. It had no running requests and ended without a reply.
    """
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url) as running,
    ):
        connection = await connect_as_entry(running)
        fence = frames.Fence(1, 1, "key-1", 1, incarnation=1, patience_ms=1500)
        connection.send(fence=fence)
        await asyncio.sleep(0.1)
        running.request_stop()
        reply = await read_body(connection, frames.FenceReply)
        assert reply is not None
        assert reply.verdict == FenceResult.FENCED
        connection.close()
        await running.end()


async def read_body(connection, kind):
    """Return the next body of a kind, or None at the end of the connection."""
    async with asyncio.timeout(5.0):
        while (frame := await connection.receive()) is not None:
            if isinstance(body := codec.get_body(frame), kind):
                return body
    return None


async def test_an_entry_that_reads_nothing_does_not_delay_an_agents_stop(monkeypatch):
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, drain_seconds=0.8) as running,
    ):
        connection = await connect_as_entry(running)
        await running.until(lambda agent: agent.sessions)
        running.loop.call_soon_threadsafe(shrink_send_buffers, running.process)
        ask_unread(connection)
        await running.until(lambda agent: agent.gate.answers)
        running.request_stop()
        assert await running.end() < 0.8 + END_SECONDS
        connection.close()


async def test_requests_queued_at_a_stopping_agent_are_refused_at_once(monkeypatch):
    """Guard against requests that wait in the queue of a stopping agent.

    They must be refused as not run at once, so that the entry can send them elsewhere,
    while running requests finish.
    """
    async with (
        endpoint() as (url, seen),
        running_agent(monkeypatch, url, cold_limit=1, warm_limit=1) as running,
    ):
        connection = await connect_as_entry(running)
        path = "/wait/0.8"
        for number in (1, 2):
            key = f"key-{number}"
            connection.send(
                request=build_request(
                    number, path=path, budget_ms=9000, key=key, incarnation=1
                )
            )
        await running.until(lambda agent: agent.gate.queue.length == 1)
        running.request_stop()
        _, refused = await read_end(connection, 2, seconds=0.6)
        assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, "leaving")
        size, end = await read_end(connection, 1)
        assert (size, end.outcome) == (5, Outcome.ANSWERED)
        await running.end()
        assert seen == [path]
        connection.close()


async def test_a_stopping_agent_reports_a_result_on_a_new_connection(
    monkeypatch,
):
    """Guard against an unknown outcome if an entry reconnects to a stopping agent.

    The connection was lost while a booking ran. The booking succeeded, but the agent
    had no more running requests and ended before the entry had reconnected.
    """
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, drain_seconds=5.0) as running,
    ):
        connection = await connect_as_entry(running)
        asked = {"path": "/wait/0.5", "key": "key-1", "incarnation": 1}
        connection.send(request=build_request(**asked))
        await running.until(lambda agent: agent.gate.running)
        connection.writer.transport.abort()
        running.request_stop()
        await asyncio.sleep(1.0)
        connection = await connect_as_entry(running)
        connection.send(request=build_request(attach_only=True, **asked))
        size, end = await read_end(connection, 1)
        assert (size, end.outcome) == (5, Outcome.ANSWERED)
        connection.send(recorded=frames.Recorded("key-1", False))
        closing = asyncio.create_task(close_at_the_end(connection))
        # Without the acknowledgement of the answer, the agent waits for 2 s more.
        assert await running.end() < 2.0
        await closing
