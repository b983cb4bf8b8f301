"""Check what callers see when a gateway's memory or an engine's is full."""

import asyncio
import collections
import itertools
import logging
import re
from types import SimpleNamespace

import aiohttp
import psutil
import pytest
from support import engines, slow_callers
from support.engines import StandInEndpoint
from support.gateway_process import gateway_process
from support.gateways import PATH, call, caller_headers, site
from support.routing import build_route, build_routing_document

from fescuedrum.conf.routing import EngineProfile, RequestKind, RoutedService
from fescuedrum.metrics import measure_loop_delay

MEGABYTE = 1024 * 1024
# Memory of a connection apart from what is held for its caller.
CONNECTION_BYTES = 16 * 1024
CONNECTIONS = 1000
OPENED_PER_SECOND = 40
STREAMS = build_route(prefix="/streams/", kind=RequestKind.STREAM, timeout=60.0)


async def test_a_request_too_large_for_any_engine_is_refused_before_its_body_is_read():
    endpoint = StandInEndpoint("e-1", engines.whole())
    service = RoutedService("advice", engine=EngineProfile(6, token_capacity=1000))
    document = build_routing_document(services=(service,))
    async with site(endpoint, document=document) as (running, session):
        head = slow_callers.build_head(PATH, 1000, Prompt="500", Maximum="401")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.callers_port
        )
        writer.write(head)
        answer = await asyncio.wait_for(reader.read(), 3)
        writer.close()
        assert running.gateway.directory.own_loads() == []
        fitting = await call(running, session, Prompt="500", Maximum="400")
        assert fitting[0] == 200
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"needs 901 tokens" in answer
    assert b"Retry-After" not in answer
    assert len(endpoint.seen) == 1


async def test_a_stream_ended_for_memory_is_cut_and_its_endpoint_is_left(caplog):
    """Guard against a cut stream that looks complete, and against work for nothing."""
    caplog.set_level(logging.INFO)
    endpoint = StandInEndpoint("e-1", slow_callers.answer)
    document = build_routing_document(routes=(STREAMS,))
    sites = site(endpoint, document=document, memory_megabytes=0.3)
    async with sites as (running, _):
        slow = await slow_callers.open_slow_reader(
            running.callers_port, slow_callers.LONG_PATH
        )
        await running.until(
            lambda _: endpoint.seen and endpoint.seen[0].writer.is_closing()
        )
        received = await asyncio.wait_for(slow_callers.read_to_end(slow), 10)
        await running.until(lambda gateway: gateway.running == 0)
        held = dict(running.gateway.memory.held)
    assert received.startswith(b"HTTP/1.1 200")
    assert not received.endswith(b"0\r\n\r\n")
    assert set(held.values()) == {0}
    (ended,) = (each for each in caplog.records if each.message == "request ended")
    assert (ended.result, ended.detail) == ("cut", "memory")


async def test_a_body_is_kept_for_a_retry_and_released_when_none_can_follow():
    """Guard against a retry without its body, and against bodies kept for nothing."""
    held = []

    async def refuse_or_stream(seen):
        if len(first.seen) + len(second.seen) == 1:
            return await engines.refusing()(seen)
        return await engines.streaming(1, 3, pause=0.2)(seen)

    first, second = (StandInEndpoint(name, refuse_or_stream) for name in ("a", "b"))
    document = build_routing_document(routes=(STREAMS,))
    async with site(first, second, document=document) as (running, session):
        url = running.url + "/streams/x"
        body = bytes(50_000)
        async with session.post(url, data=body, headers=caller_headers()) as answer:
            await answer.content.readany()
            held.append(running.gateway.memory.held["bodies"])
            await answer.read()
    assert [len(each.body) for each in first.seen + second.seen] == [50_000] * 2
    assert held == [0]


async def call_often(port, seconds, answers):
    """Call a gateway every 50 ms until cancelled; record durations and answers."""
    url = f"http://127.0.0.1:{port}{PATH}"
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession() as session:
        while True:
            began = loop.time()
            async with session.post(url, data=b"{}", headers=caller_headers()) as got:
                text = await got.text()
            answers[got.status, text] += 1
            seconds.append(loop.time() - began)
            await asyncio.sleep(0.05)


@pytest.mark.timeout(120)
async def test_slow_readers_and_writers_neither_fill_the_memory_nor_delay_others():
    """Guard against a gateway that ends for lack of memory, with all its callers.

    Without a bound the callers of this test take more than 300 MB.
    """
    loop = asyncio.get_running_loop()
    endpoint = await StandInEndpoint("e-1", slow_callers.answer).start()
    seconds, answers, samples = [], collections.Counter(), []
    # Delays of this loop, which the endpoint and all callers share.
    delays = []
    delay_histogram = SimpleNamespace(observe=delays.append)
    # Two fifths of 160 MB are the bound of 64 MB.
    async with gateway_process(endpoint.port, 2.0, 160.0) as (process, port):
        idle = psutil.Process(process.pid).memory_info().rss
        tasks = [
            asyncio.create_task(call_often(port, seconds, answers)),
            asyncio.create_task(slow_callers.sample_memory(process.pid, samples)),
            asyncio.create_task(measure_loop_delay(delay_histogram)),
        ]
        began, opened = loop.time(), []
        for number in range(CONNECTIONS):
            opened.append(await slow_callers.open_slow_reader(port))
            opened.append(await slow_callers.open_slow_writer(port))
            await asyncio.sleep(began + number / OPENED_PER_SECOND - loop.time())
        await asyncio.sleep(2)
        for task in tasks:
            task.cancel()
        writers = await asyncio.gather(
            *map(slow_callers.receive_now, itertools.islice(opened, 1, None, 2))
        )
    for connection in opened:
        connection.close()
    endpoint.server.close()
    growth = max(samples) - idle
    print(
        f"grew by {growth / MEGABYTE:.0f} MB; slowest {max(seconds):.3f} s; "
        f"longest delay of this loop {max(delays):.3f} s"
    )
    assert growth < 64 * MEGABYTE + 2 * CONNECTIONS * CONNECTION_BYTES
    assert set(answers) == {(200, "done")}
    assert sorted(seconds)[int(len(seconds) * 0.95)] < 0.4
    refused = [
        each for each in writers if re.match(rb"HTTP/1.1 503.*memory", each, re.S)
    ]
    assert len(refused) > CONNECTIONS / 4
