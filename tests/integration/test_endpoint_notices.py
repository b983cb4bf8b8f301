"""Check that a gateway keeps to what endpoints ask for in their answers."""

import asyncio

import pytest
from support import engines
from support.engines import StandInEndpoint
from support.gateways import call, site
from support.routing import build_route, build_routing_document

from fescuedrum.conf.routing import RequestKind

REQUESTS = 12


def document_of(kind):
    """Return a document with one route of a kind."""
    return build_routing_document(routes=(build_route(kind=kind),))


def build_good(kind):
    """Return an endpoint that answers requests of a kind."""
    answer = engines.streaming(1, 2) if kind.is_stream else engines.whole()
    return StandInEndpoint("good", answer)


def build_resting(name="resting", seconds="30"):
    """Return an endpoint that refuses all requests and asks for rest."""
    return StandInEndpoint(name, engines.whole(b"", 503, Not_Run="1", Rest=seconds))


async def call_until(condition, running, session):
    """Send requests until a condition holds."""
    async with asyncio.timeout(5.0):
        while not condition():
            await call(running, session)


@pytest.mark.parametrize("kind", RequestKind)
async def test_an_endpoint_that_asks_for_rest_gets_no_first_send_and_no_retry(kind):
    """Guard against sending an endpoint that refuses all further requests."""
    resting = [build_resting("resting-1"), build_resting("resting-2")]
    async with site(*resting, build_good(kind), document=document_of(kind)) as (
        running,
        session,
    ):
        await call_until(lambda: all(each.seen for each in resting), running, session)
        for _ in range(REQUESTS):
            assert (await call(running, session))[0] == 200
    assert [len(each.seen) for each in resting] == [1, 1]


async def test_a_failure_that_asks_for_rest_counts_as_well():
    """Guard against ignoring the rest that an endpoint asks for with a failure."""
    failing = StandInEndpoint("failing", engines.whole(b"", 503, Rest="30"))
    async with site(failing, build_good(RequestKind.IDEMPOTENT)) as (running, session):
        await call_until(lambda: failing.seen, running, session)
        for _ in range(REQUESTS):
            assert (await call(running, session))[0] == 200
    assert len(failing.seen) == 1


async def test_callers_are_refused_at_once_when_all_endpoints_rest():
    """Guard against holding requests, or sending them, while nobody may get them."""
    resting = [build_resting("resting-1"), build_resting("resting-2")]
    async with site(*resting) as (running, session):
        await call_until(lambda: all(each.seen for each in resting), running, session)
        for _ in range(REQUESTS):
            status, headers, body = await call(running, session)
            assert (status, b"all-resting" in body) == (503, True)
            assert float(headers["Retry-After"]) > 0
    assert [len(each.seen) for each in resting] == [1, 1]


async def test_an_endpoint_gets_requests_again_after_its_rest():
    resting = build_resting(seconds="0.4")
    async with site(resting, build_good(RequestKind.IDEMPOTENT)) as (running, session):
        await call_until(lambda: resting.seen, running, session)
        await asyncio.sleep(0.4)
        await call_until(lambda: len(resting.seen) > 1, running, session)


def build_leaving(kind):
    """Return an endpoint whose answers announce that it leaves."""
    told = {"Leaving": "1"}
    stream = engines.streaming(1, 2, **told)
    return StandInEndpoint(
        "leaving", stream if kind.is_stream else engines.whole(**told)
    )


@pytest.mark.parametrize("kind", RequestKind)
async def test_an_endpoint_that_announces_its_leave_gets_no_further_request(kind):
    """Guard against requests at an endpoint whose leave the list does not show."""
    leaving = build_leaving(kind)
    async with site(leaving, build_good(kind), document=document_of(kind)) as (
        running,
        session,
    ):
        await call_until(lambda: leaving.seen, running, session)
        for _ in range(REQUESTS):
            assert (await call(running, session))[0] == 200
    assert len(leaving.seen) == 1


@pytest.mark.parametrize("status", [500, 503])
async def test_a_failure_that_announces_a_leave_counts_as_well(status):
    leaving = StandInEndpoint("leaving", engines.whole(b"", status, Leaving="1"))
    async with site(leaving, build_good(RequestKind.IDEMPOTENT)) as (running, session):
        await call_until(lambda: leaving.seen, running, session)
        for _ in range(REQUESTS):
            assert (await call(running, session))[0] == 200
    assert len(leaving.seen) == 1


async def test_an_endpoint_that_starts_anew_after_its_leave_gets_requests():
    leaving = build_leaving(RequestKind.IDEMPOTENT)
    async with site(leaving) as (running, session):
        await call_until(lambda: leaving.seen, running, session)
        assert (await call(running, session))[0] == 503
        started = leaving.listed(started_at=18)
        running.gateway.store.put("endpoints", "leaving", started)
        await call_until(lambda: len(leaving.seen) > 1, running, session)
