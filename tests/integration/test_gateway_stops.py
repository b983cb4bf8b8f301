"""Check what callers get of a gateway that was told to stop."""

import asyncio
import contextlib
import logging
import socket

import aiohttp
import pytest
from support import engines
from support.engines import StandInEndpoint
from support.gateway_process import gateway_process
from support.gateways import caller_headers, site
from support.routing import build_route, build_routing_document

from fescuedrum.conf.routing import RequestKind
from fescuedrum.decisions.stopping import NOTICE_SECONDS

PATH = "/advice/tension"
PATIENCE = "8.0"
EVENT_SECONDS = 0.1
# Longer than a stop in which nothing runs, shorter than one that waits.
SLOW_READ_SECONDS = 4.5
# By then the balancer has long noticed; a stop of 8 s has half of its time left.
LATE_SECONDS = 4.28


def streams_document(kind):
    return build_routing_document(routes=(build_route(kind=kind, timeout=8.0),))


STREAMS = streams_document(RequestKind.STREAM)


async def read_stream(running, session, request_id):
    """Return (status, body, whether the answer came to its proper end)."""
    headers = caller_headers(Patience=PATIENCE, Request_Id=request_id)
    body = b""
    async with session.post(running.url + PATH, headers=headers) as answer:
        try:
            async for data in answer.content.iter_any():
                body += data
        except aiohttp.ClientPayloadError:
            return answer.status, body, False
        return answer.status, body, True


def streams(**seconds):
    """Return what streams for so many seconds, by the request's id."""

    async def answer(seen):
        events = round(seconds[seen["Request-Id"]] / EVENT_SECONDS)
        await engines.streaming(1, events, pause=EVENT_SECONDS)(seen)

    return answer


async def stop_and_wait(running, seconds):
    """Tell a gateway to stop, and return so many seconds later."""
    running.stop.set()
    await running.until(lambda gateway: gateway.leaving)
    await asyncio.sleep(seconds)


async def open_raw(port, receive_buffer=None):
    """Return the streams of a new connection to a gateway."""
    opened = socket.socket()
    opened.setblocking(False)
    if receive_buffer:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await asyncio.get_running_loop().sock_connect(opened, ("127.0.0.1", port))
    return await asyncio.open_connection(sock=opened)


def raw_head(request_id, length):
    """Return the head of a request with a body of so many bytes."""
    headers = caller_headers(
        Patience=PATIENCE, Request_Id=request_id, Content_Length=length
    )
    lines = [f"POST {PATH} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def told(caplog, message):
    return [record for record in caplog.records if record.getMessage() == message]


async def test_an_answer_that_is_cut_by_the_end_of_the_process_is_logged_so(caplog):
    """The log blames a caller who left for an answer that the gateway itself cut.

    A stream runs on when the time of a stop is over.
    """
    caplog.set_level(logging.INFO)
    endpoint = StandInEndpoint("e-1", engines.streaming(1, 100, pause=0.1))
    async with site(endpoint, document=STREAMS, stop_seconds=1.5) as (running, session):
        reading = asyncio.create_task(read_stream(running, session, "r-1"))
        await running.until(lambda gateway: gateway.running)
        running.stop.set()
        assert not (await reading)[2]
        await running.task
    (ended,) = told(caplog, "request ended")
    assert (ended.request, ended.result) == ("r-1", "cut")
    assert ended.detail == "the process stopped"
    assert told(caplog, "caller left") == []


async def test_what_is_taken_in_spite_of_a_stop_is_logged_with_its_grounds(caplog):
    """Nobody can say why a gateway took a request after it was told to stop."""
    caplog.set_level(logging.INFO)
    endpoint = StandInEndpoint("e-1", engines.streaming(1, 2))
    async with site(endpoint, document=STREAMS, stop_seconds=6.0) as (running, session):
        assert (await read_stream(running, session, "r-1"))[2]
        running.stop.set()
        await running.until(lambda gateway: gateway.leaving)
        assert (await read_stream(running, session, "r-2"))[2]
    (taken,) = told(caplog, "request taken while stopping")
    assert (taken.request, taken.kept) == ("r-2", True)
    assert 0 <= taken.since_signal < 1
    assert 4 < taken.left < 6
    assert 7 < taken.may_last <= 8


async def test_a_stream_taken_late_in_a_stop_is_not_cut():
    """A driver's brief ends in the middle of a sentence, and no engine has failed.

    Its gateway was told to stop, and four seconds later its caller sent the request on
    a kept connection. The gateway reckoned with three seconds for any answer, took it,
    and ended before it. Evidence: the log's `request sent` 4.28 s after the signal, an
    event 5 ms before the end, and `gateway drained` with this request still running.
    """
    endpoint = StandInEndpoint("e-1", streams(first=0.1, before=5.5, late=4.0))
    async with site(endpoint, document=STREAMS, stop_seconds=8.0) as (running, session):
        assert (await read_stream(running, session, "first"))[2]
        before = asyncio.create_task(read_stream(running, session, "before"))
        await running.until(lambda gateway: gateway.running)
        await stop_and_wait(running, LATE_SECONDS)
        status, _, whole = await read_stream(running, session, "late")
        assert (status, whole) == (503, True)
        assert (await before)[2]
    assert [seen["Request-Id"] for seen in endpoint.seen] == ["first", "before"]


async def test_a_request_whose_body_comes_late_in_a_stop_is_not_cut():
    """A long order is cut, though its gateway had been told to stop seconds before.

    Its head came while requests were still taken; its body was slow, and what was sent
    to the engine then was sent as late as the body.
    """
    endpoint = StandInEndpoint("e-1", streams(first=0.1, before=5.5, slow=4.0))
    async with site(endpoint, document=STREAMS, stop_seconds=8.0) as (running, session):
        before = asyncio.create_task(read_stream(running, session, "before"))
        await running.until(lambda gateway: gateway.running)
        await stop_and_wait(running, 1.0)
        reader, writer = await open_raw(running.callers_port)
        writer.write(raw_head("slow", 2) + b"{")
        await asyncio.sleep(LATE_SECONDS - 1.0)
        writer.write(b"}")
        assert (await reader.readline()).startswith(b"HTTP/1.1 503 ")
        writer.close()
        assert (await before)[2]
    assert [seen["Request-Id"] for seen in endpoint.seen] == ["before"]


async def test_a_request_is_not_sent_again_late_in_a_stop():
    """A stream is cut midway that no gateway should have begun.

    It came before the signal, and its engine refused it seconds after that. The next
    engine got it when too little of the stop's time was left. Refused instead, its
    caller was told to wait as for an outage, though another gateway serves at once.
    """

    async def refuse_late(seen):
        await asyncio.sleep(3.5)
        await engines.refusing()(seen)

    endpoints = [StandInEndpoint(f"e-{n}", refuse_late) for n in range(2)]
    async with site(*endpoints, document=STREAMS, stop_seconds=8.0) as (
        running,
        session,
    ):
        headers = caller_headers(Patience=PATIENCE)
        reading = asyncio.create_task(session.post(running.url + PATH, headers=headers))
        await running.until(lambda gateway: gateway.running)
        running.stop.set()
        async with await reading as answer:
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) < 0.1
        now = asyncio.get_running_loop().time()
        assert running.gateway.retries["advice"].repeats.value(now) == 0
    assert sum(len(each.seen) for each in endpoints) == 1


async def test_a_stream_goes_on_at_another_endpoint_late_in_a_stop():
    """A summary ends in the middle, though another engine had the rest of it.

    It was nearly done when its engine broke off, late in the stop of its gateway. That
    begins nothing new then, and so did not go on with what was certain to be cut.
    """

    async def break_off(seen):
        if seen["Last-Event"]:
            await engines.streaming(1, 34)(seen)
        else:
            await engines.streaming(1, 32, pause=EVENT_SECONDS, ends=False)(seen)

    endpoints = [StandInEndpoint(f"e-{n}", break_off) for n in range(2)]
    document = streams_document(RequestKind.RESUMABLE_STREAM)
    async with site(*endpoints, document=document, stop_seconds=8.0) as (
        running,
        session,
    ):
        reading = asyncio.create_task(read_stream(running, session, "r-1"))
        await running.until(lambda gateway: gateway.running)
        running.stop.set()
        _, body, whole = await reading
    assert (body.count(b"id: "), whole) == (34, True)


async def test_kept_connections_that_rest_are_closed_once_the_balancer_has_noticed():
    """Callers are refused, or worse, though other gateways would serve them at once.

    They go on using the connections that they keep to a gateway that was told to stop:
    the balancer has no say in these.
    """
    endpoint = StandInEndpoint("e-1", streams(resting=0.1, before=5.5))
    async with site(endpoint, document=STREAMS, stop_seconds=8.0) as (running, session):
        reader, writer = await open_raw(running.callers_port)
        writer.write(raw_head("resting", 2) + b"{}")
        await reader.readuntil(b"0\r\n\r\n")
        before = asyncio.create_task(read_stream(running, session, "before"))
        await running.until(lambda gateway: gateway.running)
        await stop_and_wait(running, 1.0)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.5)
        assert await asyncio.wait_for(reader.read(1), 2.0) == b""
        writer.close()
        assert (await before)[2]


async def test_an_answer_that_its_caller_still_reads_is_not_cut():
    """The second half of a long list is missing, and the endpoint had sent it all.

    Its caller reads slowly. The gateway counted the request as ended when the answer
    was whole in its own memory, and ended with what had not left.
    """
    size = 32 * 1024 * 1024
    endpoint = await StandInEndpoint("e-1", engines.whole(b"x" * size)).start()
    async with gateway_process(endpoint.port, 8.0) as (process, port):
        reader, writer = await open_raw(port, receive_buffer=64 * 1024)
        writer.write(raw_head("r-1", 2) + b"{}")
        await reader.readuntil(b"\r\n\r\n")
        process.terminate()
        got = 0
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(size):
                got += len(data)
                await asyncio.sleep(SLOW_READ_SECONDS * len(data) / size)
        writer.close()
        assert got == size
        assert await process.wait() == 0
    endpoint.server.close()


async def test_what_comes_as_a_gateway_closes_is_not_begun():
    """A lookup that an engine works on is cut within a tenth of a second.

    It came in the moment in which the gateway, with nothing to do, closed its
    connections.
    """
    endpoint = StandInEndpoint("e-1", engines.say_nothing)
    async with site(endpoint, stop_seconds=8.0) as (running, _):
        await stop_and_wait(running, NOTICE_SECONDS - 0.1)
        reader, writer = await open_raw(running.callers_port)
        await running.until(lambda gateway: gateway.stop_plan.closing)
        writer.write(raw_head("r-1", 2) + b"{}")
        assert (await reader.readline()).startswith(b"HTTP/1.1 503 ")
        writer.close()
        await running.task
    assert endpoint.seen == []
