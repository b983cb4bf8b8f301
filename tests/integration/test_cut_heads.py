"""Check what callers get when an endpoint stops in the middle of an answer's head."""

import pytest
from support import engines
from support.engines import StandInEndpoint
from support.gateways import PATH, call, site
from support.raw_answers import EarlyAnswer, head
from support.routing import build_endpoint, build_route, build_routing_document

from fescuedrum.conf.routing import RequestKind

KINDS = (RequestKind.NON_IDEMPOTENT, RequestKind.IDEMPOTENT, RequestKind.STREAM)
HEADS = {
    "length last": head(),
    "length first": head(before=b"Content-Length: 4\r\n", framing=b""),
    "no body": head(framing=b"Content-Length: 0"),
    "chunks": head(framing=b"Transfer-Encoding: chunked"),
    "no length": head(framing=b""),
    "204": head(b"HTTP/1.1 204 No Content", framing=b""),
    "refusal": head(b"HTTP/1.1 503 Busy", b"Not-Run: 1", b"Retry-After: 1"),
    "line feeds": head().replace(b"\r\n", b"\n"),
}
UPLOAD = b"x" * (4 * 1024 * 1024)
# Places of a head at which an early answer to an upload stops.
PLACES_DURING_UPLOAD = 4


class CutHead:
    """Answer each request with the beginning of a head, then end the connection."""

    def __init__(self):
        self.raw = b""
        self.resets = False

    async def __call__(self, seen):
        seen.writer.write(self.raw)
        await seen.writer.drain()
        if self.resets:
            engines.reset(seen)


async def expect_failure(running, session, path, body=b"{}"):
    """Check that a caller is told that its request may have run, in a whole answer."""
    # Earlier failures would keep the endpoint from getting the request.
    running.gateway.directory.histories.pop("cut", None)
    status, headers, answered = await call(running, session, path=path, body=body)
    assert (status, "Signed" in headers) == (502, False), path
    assert int(headers["Content-Length"]) == len(answered) > 0, path


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("raw", HEADS.values(), ids=list(HEADS))
async def test_an_answer_that_stops_in_its_head_is_no_success(raw, kind):
    """Guard against an empty or short success where an endpoint broke off its head."""
    answer = CutHead()
    endpoint = StandInEndpoint("cut", answer)
    document = build_routing_document(routes=(build_route(kind=kind),))
    async with site(endpoint, document=document) as (running, session):
        for place in range(len(raw)):
            for answer.resets in (False, True):
                answer.raw = raw[:place]
                path = f"{PATH}&place={place}&resets={answer.resets}"
                await expect_failure(running, session, path)
    assert len(endpoint.seen) == 2 * len(raw)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("raw", HEADS.values(), ids=list(HEADS))
async def test_an_early_answer_that_stops_in_its_head_is_no_success(raw, resets, kind):
    """Guard against a success made of a cut head that arrives during the upload."""
    endpoint = EarlyAnswer(b"", resets=resets)
    await endpoint.start()
    document = build_routing_document(routes=(build_route(kind=kind, timeout=10.0),))
    async with site(document=document) as (running, session):
        cut = build_endpoint("cut", port=endpoint.port)
        running.gateway.directory.presences.listed(cut)
        step = len(raw) // PLACES_DURING_UPLOAD
        places = range(step, len(raw), step)
        for place in places:
            endpoint.raw = raw[:place]
            await expect_failure(running, session, f"{PATH}&place={place}", UPLOAD)
    endpoint.server.close()
    assert endpoint.requests == len(places)
