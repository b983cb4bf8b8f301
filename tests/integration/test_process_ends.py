"""Check what callers and entries get of a process that was told to stop."""

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

# Over what a narrow link holds, and under the mark at which a sender waits.
ANSWER_BYTES = 40_000
LINK_BYTES = 400_000
END_SECONDS = 1.0


async def begin(running, path, *headers):
    """Send a request on a connection of its own; return its task once it runs."""
    before = running.process.running
    caller = await Caller.connect(running)
    task = asyncio.create_task(caller.ask(path, *headers))
    await running.until(lambda entry: entry.running > before)
    return task


async def test_an_entry_takes_late_in_a_stop_only_what_it_can_answer(monkeypatch):
    """A receptionist's order is cut, and no endpoint has failed.

    Its entry was told to stop a minute ago, and one long request kept it alive. It
    took the order all the same, with a deadline long after the time that its settings
    give it, and the platform ended it then.
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
    """The platform kills an entry that should have been gone for a minute.

    Operators gave it what its settings say; the HTTP library waited another minute
    for a request that still ran, and callers came to a process at its end.
    """
    settings = {"notice_seconds": 0.1, "drain_seconds": 0.9}
    async with running_entry(monkeypatch, **settings) as (running, _):
        before = await begin(running, "/wait/4")
        running.request_stop()
        assert await running.end() < 1.0 + END_SECONDS
        assert not (await before)[3]


async def test_connections_that_rest_are_closed_after_the_notice(monkeypatch):
    """Callers come back to a stopping entry for as long as one long request runs.

    The balancer has long taken it out, but their programs keep their connections and
    know nothing of balancers.
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
async def test_each_answer_of_a_stopping_entry_ends_its_connection(monkeypatch, path):
    """A program that lists models first keeps its connection to a stopping entry."""
    async with running_entry(monkeypatch, notice_seconds=1.0) as (running, _):
        caller = await Caller.connect(running)
        running.request_stop()
        await running.until(lambda entry: entry.leaving)
        await caller.send_bytes(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        assert "connection: close" in (await caller.read())[1]
        assert await caller.closes_within(0.5)


async def test_a_stopping_entry_sends_an_answer_to_its_last_byte(monkeypatch):
    """The end of a whole answer is lost on its way to a slow caller.

    Its request had run and was no longer counted. The last bytes stood in the
    process's own buffer when it ended.
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
    """The same answer is lost where callers speak TLS to the entry itself."""
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


async def test_a_booking_whose_caller_left_ends_before_its_entry(monkeypatch):
    """Half a booking is left behind, and its repeat can't know what became of it.

    Its caller had left, so that no connection held it, and its entry was told to stop.
    """
    settings = {"notice_seconds": 0.1, "drain_seconds": 6.0}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        caller = await Caller.connect(running)
        await caller.send("/services/bookings/wait/2")
        await running.until(lambda _: answers.paths)
        caller.close()
        running.request_stop()
        assert await running.end() > 1.5


async def test_a_resting_tls_connection_does_not_hold_up_a_stop(monkeypatch, tmp_path):
    """An idle entry takes five seconds to stop, for a program that does nothing.

    It keeps a connection with TLS. The entry has closed it and waits for the word with
    which TLS has the other side agree; the program reads nothing, and never says it.
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
    """An operator's change is in force, and its console shows a broken connection.

    The entry took it a moment before its end.
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


async def test_an_answer_that_is_not_delivered_is_logged_with_its_request(
    monkeypatch, caplog
):
    """A caller asks why half its answer is missing, and no line has its id."""
    caplog.set_level(logging.INFO)
    settings = {"notice_seconds": 0.1, "drain_seconds": 0.9}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        caller = await Caller.connect(running)
        await caller.send(f"/services/bookings/bytes/{20 * ANSWER_BYTES}")
        await running.until(lambda _: answers.paths)
        running.request_stop()
        await running.end()
        caller.close()
    (lost,) = told(caplog, "answer not delivered")
    assert lost.request


async def test_a_caller_that_reads_nothing_does_not_hold_up_a_stop(monkeypatch):
    """A program hangs with a connection open, and its entry can't be replaced."""
    settings = {"notice_seconds": 0.1, "drain_seconds": 0.9}
    async with running_entry(monkeypatch, **settings) as (running, answers):
        caller = await Caller.connect(running)
        await caller.send(f"/services/bookings/bytes/{20 * ANSWER_BYTES}")
        await running.until(lambda _: answers.paths)
        running.request_stop()
        assert await running.end() < 1.0 + END_SECONDS
        caller.close()


async def test_a_stop_that_cuts_is_told_in_the_log(monkeypatch, caplog):
    """Nobody can say whether it was the entry or the platform that cut a request."""
    caplog.set_level(logging.INFO)
    settings = {"notice_seconds": 0.1, "drain_seconds": 0.9}
    async with running_entry(monkeypatch, **settings) as (running, _):
        before = await begin(running, "/wait/4")
        running.request_stop()
        await running.end()
        await before
    (began,) = told(caplog, "entry draining")
    (ended,) = told(caplog, "entry drained")
    assert (began.running, began.connections) == (1, 1)
    assert (ended.running, ended.connections) == (1, 1)
    assert 0.3 < ended.seconds < 1.0


async def test_an_agents_stop_is_told_in_the_log(monkeypatch, caplog):
    caplog.set_level(logging.INFO)
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, drain_seconds=0.6) as running,
    ):
        connection = await link_to(running)
        connection.send(request=build_request(path="/wait/2", budget_ms=9000))
        await running.until(lambda agent: agent.gate.running)
        running.request_stop()
        await running.end()
        connection.close()
    (began,) = told(caplog, "agent draining")
    (ended,) = told(caplog, "agent drained")
    assert (began.running, ended.running, ended.unsent) == (1, 1, 0)
    assert 0.5 < ended.seconds < 1.6


def told(caplog, message):
    return [record for record in caplog.records if record.getMessage() == message]


async def begin_body(running):
    """Send the head of an order and half of its body; return the caller."""
    caller = await Caller.connect(running)
    head = ["POST /services/bookings/wait/0.1 HTTP/1.1", "Host: h", AUTHORISED]
    head += ["Content-Length: 2", "Fescuedrum-Deadline-Ms: 2000"]
    await caller.send_bytes(("\r\n".join(head) + "\r\n\r\n{").encode())
    await asyncio.sleep(0.1)
    return caller


async def test_a_body_on_its_way_at_a_stop_is_waited_for(monkeypatch):
    """A caller's link is slow, and its order is cut before it is even read.

    The request was no longer counted as one that runs, for it did not run yet. The
    HTTP library drops what comes on connections that it has been told to close.
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
async def test_a_body_that_is_not_whole_at_the_end_is_refused_as_not_run(
    monkeypatch, late
):
    """A caller must take an order for unknown of which no endpoint ever heard.

    Its link is so slow that half of the order's body came before the process ended,
    and its connection was closed without a word.
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
    """Answer after the seconds, or with the bytes, that the path names."""
    kind, number = http_request.match_info["kind"], http_request.match_info["number"]
    if kind == "bytes":
        return web.Response(body=b"x" * int(number))
    await asyncio.sleep(float(number))
    http_request.app[SEEN].append(http_request.path)
    return web.Response(body=b"whole")


SEEN = web.AppKey("seen", list)


@contextlib.asynccontextmanager
async def endpoint():
    """Run an endpoint; yield its URL and the paths that it has answered."""
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


async def link_to(running):
    """Return a connection to an agent, as an entry opens one."""
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
    """Return (bytes, End) of a request; the End is None when the link ends first."""
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
    """Read until the agent says that nothing more comes, as entries do."""
    while await connection.receive() is not None:
        pass
    connection.close()


def narrow_sessions(agent):
    for session in agent.sessions:
        shrink_send_buffer(session.connection.writer.transport)


def runs(agent):
    """Tell whether an agent has a request whose End is not queued for its entry."""
    return agent.tickets or any(session.relays for session in agent.sessions)


def ask_unread(connection):
    """Ask an agent for a long answer, and read none of it yet."""
    path = f"/bytes/{LINK_BYTES}"
    connection.writer.transport.pause_reading()
    connection.send(request=build_request(path=path, window=2 * LINK_BYTES))


@pytest.mark.parametrize("tls", [False, True])
async def test_a_stopping_agent_sends_an_answer_to_its_last_byte(
    monkeypatch, tmp_path, tls
):
    """A booking that ran ends as unknown, and neither its service nor a link failed.

    Its agent was told to stop when the end of the answer stood in the agent's own
    buffer, behind a slow link to the entry.
    """
    files = Authority(tmp_path).issue("peers") if tls else None
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, peer_tls=files) as running,
    ):
        connection = await link_to(running)
        await running.until(lambda agent: agent.sessions)
        running.loop.call_soon_threadsafe(narrow_sessions, running.process)
        ask_unread(connection)
        await running.until(lambda agent: agent.gate.answers and not runs(agent))
        running.request_stop()
        await asyncio.sleep(0.5)
        connection.writer.transport.resume_reading()
        size, end = await read_end(connection, 1)
        assert end is not None
        assert (size, end.length) == (LINK_BYTES, LINK_BYTES)
        connection.close()


async def send_heartbeats(connection):
    while not connection.writer.is_closing():
        connection.send(heartbeat=members.Heartbeat(version=0))
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("tls", [False, True])
async def test_heartbeats_do_not_lose_the_end_of_a_stopping_agents_answer(
    monkeypatch, tmp_path, tls
):
    """A booking that ran ends as unknown; its agent had handed all of it to the kernel.

    The agent ended, and its machine answered the entry's next heartbeat with a reset:
    nobody was there to read it. A reset drops what is not yet delivered.
    """
    files = Authority(tmp_path).issue("peers") if tls else None
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, peer_tls=files) as running,
    ):
        connection = await link_to(running)
        await running.until(lambda agent: agent.sessions)
        ask_unread(connection)
        await running.until(lambda agent: agent.gate.answers and not runs(agent))
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


async def test_what_crosses_an_agents_last_word_is_refused_and_not_lost(monkeypatch):
    """A booking is sent while the word that its agent leaves is on its way.

    The agent had nothing that ran and was gone 50 ms after that word. The booking
    never reached its service and ends as unknown.
    """
    async with (
        endpoint() as (url, seen),
        running_agent(monkeypatch, url) as running,
    ):
        connection = await link_to(running)
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


async def test_what_is_asked_after_an_agents_last_word_is_answered_over_tls(
    monkeypatch, tmp_path
):
    """A booking that never ran ends as unknown where agents speak TLS.

    An agent that stops has nothing left to tell and finishes its connections. TLS can't
    be half closed, so the entry hears nothing of it and asks; the refusal was dropped.
    """
    files = Authority(tmp_path).issue("peers")
    async with (
        endpoint() as (url, seen),
        running_agent(monkeypatch, url, peer_tls=files) as running,
    ):
        connection = await link_to(running)
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


async def test_a_stopping_agent_answers_what_it_is_asked_of_a_key(monkeypatch):
    """An entry asks whether a booking ran, and its caller is told unknown.

    The agent waited a little for the booking, which might still have been on its way,
    and was told to stop meanwhile. Nothing ran, so it ended with the question open.
    """
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url) as running,
    ):
        connection = await link_to(running)
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


async def test_an_entry_that_takes_nothing_does_not_hold_up_an_agents_stop(monkeypatch):
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, drain_seconds=0.8) as running,
    ):
        connection = await link_to(running)
        await running.until(lambda agent: agent.sessions)
        running.loop.call_soon_threadsafe(narrow_sessions, running.process)
        ask_unread(connection)
        await running.until(lambda agent: agent.gate.answers)
        running.request_stop()
        assert await running.end() < 0.8 + END_SECONDS
        connection.close()


async def test_what_waits_at_a_stopping_agent_is_refused_at_once(monkeypatch):
    """A request waits for a place at an endpoint whose agent stops.

    It must be told at once that it did not run, so that its entry sends it elsewhere,
    while the one that runs comes to its end.
    """
    async with (
        endpoint() as (url, seen),
        running_agent(monkeypatch, url, cold_limit=1, warm_limit=1) as running,
    ):
        connection = await link_to(running)
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


async def test_what_has_run_at_a_stopping_agent_is_told_on_a_new_connection(
    monkeypatch,
):
    """An entry's connection is lost while a booking runs at an agent that stops.

    The booking ends well. Its entry is back half a second later and finds nobody: the
    agent had nothing left to run, and the booking ends as unknown.
    """
    async with (
        endpoint() as (url, _),
        running_agent(monkeypatch, url, drain_seconds=5.0) as running,
    ):
        connection = await link_to(running)
        asked = {"path": "/wait/0.5", "key": "key-1", "incarnation": 1}
        connection.send(request=build_request(**asked))
        await running.until(lambda agent: agent.gate.running)
        connection.writer.transport.abort()
        running.request_stop()
        await asyncio.sleep(1.0)
        connection = await link_to(running)
        connection.send(request=build_request(attach_only=True, **asked))
        size, end = await read_end(connection, 1)
        assert (size, end.outcome) == (5, Outcome.ANSWERED)
        connection.send(recorded=frames.Recorded("key-1", False))
        closing = asyncio.create_task(close_at_the_end(connection))
        # Not the 2 s more for which it waits when nobody says to have the answer.
        assert await running.end() < 2.0
        await closing
