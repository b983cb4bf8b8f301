"""Check that a stopping gateway answers the requests that it takes late."""

import asyncio
import contextlib

import pytest
from support import engines
from support.engines import StandInEndpoint
from support.gateways import PATH, caller_headers, site
from support.routing import build_route, build_routing_document

from fescuedrum.conf.routing import RequestKind

STOP_SECONDS = 4.0
KINDS = [
    RequestKind.NON_IDEMPOTENT,
    RequestKind.IDEMPOTENT,
    RequestKind.STREAM,
    RequestKind.RESUMABLE_STREAM,
]
# From the end of the time for requests to when a caller's own time ends.
SPARE_SECONDS = [0.0, 0.002, 0.01, 0.03, 0.06, 0.1, 0.2, 0.4]
# From the end of the time for requests to when a request is sent.
SENT_SECONDS = [1.5, 1.0, 0.5, 0.25, 0.12, 0.07]


async def answer_at_last(seen):
    """Answer a request shortly before its deadline."""
    await asyncio.sleep(max(float(seen["Patience"]) - 0.03, 0.0))
    await engines.whole(b"id: 1\ndata: x\n\n")(seen)


async def begin_and_stall(seen):
    """Send an event and nothing more."""
    await engines.streaming(1, 1, ends=False)(seen)
    await asyncio.sleep(60)


async def send_late(running, request_id, patience, body_after=0.0):
    """Return the bytes of the answer to one request, until its connection closes.

    The second half of its body is sent after a pause.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", running.callers_port)
    headers = caller_headers(
        Request_Id=request_id, Patience=f"{patience:.4f}", Content_Length=2
    )
    lines = [f"POST {PATH} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    writer.write(("\r\n".join(lines) + "\r\n\r\n{").encode())
    reading = asyncio.create_task(reader.read())
    try:
        await asyncio.wait((reading,), timeout=body_after)
        writer.write(b"}")
        return await reading
    except ConnectionError:
        return b""
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def stopping_site(answer, kind):
    """Yield (endpoint, stopping gateway, end of its time for requests).

    A request that lasts longer than the stop keeps the gateway from ending before.
    """
    endpoint = StandInEndpoint("e-1", answer)
    route = build_route(kind=kind, timeout=8.0)
    document = build_routing_document(routes=(route,))
    async with site(endpoint, document=document, stop_seconds=STOP_SECONDS) as (
        running,
        _,
    ):
        first = asyncio.create_task(send_late(running, "first", 8.0))
        await running.until(lambda _: endpoint.seen)
        running.stop.set()
        await running.until(lambda gateway: gateway.leaving)
        yield endpoint, running, running.gateway.stop_plan.latest
        await first
        await running.task


def find_unanswered(answers):
    """Return the names of the requests that got no answer."""
    return {name for name, raw in answers.items() if not raw.startswith(b"HTTP")}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "answer", [engines.never_answer, answer_at_last, begin_and_stall]
)
async def test_each_request_that_comes_late_in_a_stop_is_answered(kind, answer):
    """Guard against requests that are taken late in a stop and cut at its end."""
    loop, late = asyncio.get_running_loop(), {}
    async with stopping_site(answer, kind) as (endpoint, running, latest):
        for sent in SENT_SECONDS:
            await asyncio.sleep(latest - sent - loop.time())
            for spare in SPARE_SECONDS:
                patience = latest - spare - loop.time()
                if patience > 0:
                    name = f"sent {sent} s, due {spare} s before the end"
                    late[name] = asyncio.create_task(send_late(running, name, patience))
        answers = {name: await task for name, task in late.items()}
    assert find_unanswered(answers) == set()
    assert len(endpoint.seen) > len(SENT_SECONDS)
    if not kind.is_stream:
        successes = [raw for raw in answers.values() if b"HTTP/1.1 200" in raw]
        assert all(raw.endswith(b"data: x\n\n") for raw in successes)


async def test_each_body_that_ends_late_in_a_stop_is_answered():
    """Guard against uploads that are read late in a stop and cut at its end."""
    loop, late = asyncio.get_running_loop(), {}
    kind = RequestKind.NON_IDEMPOTENT
    async with stopping_site(engines.never_answer, kind) as (_, running, latest):
        for spare in (*SPARE_SECONDS, -1.0):
            seconds = latest - spare - loop.time()
            for patience in (latest - loop.time(), 8.0):
                name = f"whole {spare} s before the end, patience {patience}"
                late[name] = asyncio.create_task(
                    send_late(running, name, patience, body_after=seconds)
                )
        answers = {name: await task for name, task in late.items()}
    assert find_unanswered(answers) == set()
