"""Check that one request does not end one endpoint after the other."""

import asyncio
import contextlib
import itertools

import aiohttp
import pytest
from support import engines
from support.engines import StandInEndpoint
from support.gateways import call, running_gateway, site
from support.routing import build_route, build_routing_document

from fescuedrum.conf.routing import RequestKind

ENDPOINTS = 8
# The users' bound on the endpoints that one request may end.
ENDS_ALLOWED = 3
# Longer than it takes a gateway to find out that an endpoint has ended.
REPEAT_SECONDS = 0.3
REPEATS = 6
CRASHING_BODY = b"crash"


class CrashingEndpoints:
    """Hold endpoints that end at one request, and count when they got it."""

    def __init__(self, count=ENDPOINTS, events=0):
        # Events of the answer at which they end.
        self.events = events
        self.arrivals = 0
        self.endpoints = [self.build(number) for number in range(count)]

    def build(self, number):
        async def answer(seen):
            if seen["Own-Part"] != "x" and seen.body != CRASHING_BODY:
                await self.answer_soundly(seen)
                return
            self.arrivals += 1
            if self.events:
                await engines.streaming(1, self.events, ends=False)(seen)
            await asyncio.sleep(0.02)
            endpoint.server.close()
            engines.reset(seen)

        endpoint = StandInEndpoint(f"e-{number}", answer)
        return endpoint

    async def answer_soundly(self, seen):
        whole = engines.streaming(1, 4) if seen["Parts"] else engines.whole()
        await whole(seen)

    def count_ended(self):
        return sum(not each.server.is_serving() for each in self.endpoints)


def build_document(kind, attempts=2):
    route = build_route(kind=kind, maximum_attempts=attempts)
    return build_routing_document(routes=(route,))


async def answer_sound(gateway, session):
    """Let a sound stream show that the parts a, b and c of prompts are sound."""
    sound = {"Parts": "a b c", "Own_Part": "y"}
    assert (await call(gateway, session, **sound))[0] == 200


async def repeat(gateways, session, body=b"{}", **headers):
    """Send a request again and again to gateways in turn; return the statuses.

    The status of a stream that breaks off is None.
    """
    statuses = []
    for number, gateway in enumerate(itertools.islice(gateways, REPEATS)):
        changes = {"Request_Id": f"r-{number}"} | headers
        status = None
        with contextlib.suppress(aiohttp.ClientPayloadError):
            status, _, _ = await call(gateway, session, body=body, **changes)
        statuses.append(status)
        await asyncio.sleep(REPEAT_SECONDS)
    return statuses


@pytest.mark.parametrize("events", [0, 3])
async def test_a_repeated_stream_ends_no_more_endpoints_than_allowed(events):
    """Guard against an answer that has begun and passes for a sound request's."""
    crashing = CrashingEndpoints(events=events)
    document = build_document(RequestKind.RESUMABLE_STREAM)
    async with site(*crashing.endpoints, document=document) as (running, session):
        await answer_sound(running, session)
        prompt = {"Parts": "a b c", "Own_Part": "x"}
        statuses = await repeat(itertools.repeat(running), session, **prompt)
        assert crashing.count_ended() <= ENDS_ALLOWED
        assert crashing.arrivals == crashing.count_ended()
        assert statuses[-1] == 503
        await answer_sound(running, session)


@pytest.mark.parametrize(
    "kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT], ids=str
)
async def test_a_repeated_request_without_a_prompt_ends_no_more_than_allowed(kind):
    """Guard against a quarantine that only knows the parts of prompts."""
    crashing = CrashingEndpoints()
    document = build_document(kind)
    async with site(*crashing.endpoints, document=document) as (running, session):
        statuses = await repeat(itertools.repeat(running), session, CRASHING_BODY)
        assert crashing.count_ended() <= ENDS_ALLOWED
        assert crashing.arrivals == crashing.count_ended()
        assert statuses[-1] == 503
        assert (await call(running, session, body=b"crasH"))[0] == 200


async def test_a_stream_whose_body_changes_with_each_repeat_is_the_same_request():
    """Guard against a repeat that counts as new as its body has another time."""
    crashing = CrashingEndpoints()
    document = build_document(RequestKind.RESUMABLE_STREAM)
    async with site(*crashing.endpoints, document=document) as (running, session):
        await answer_sound(running, session)
        for number in range(REPEATS):
            body, prompt = str(number).encode(), {"Parts": "a b", "Own_Part": "x"}
            await call(running, session, body=body, **prompt)
            await asyncio.sleep(REPEAT_SECONDS)
        assert crashing.count_ended() <= ENDS_ALLOWED


async def test_no_attempt_of_a_request_is_sent_after_the_third_end_under_it():
    """Guard against a retry that leaves before the end of its endpoint is known."""
    crashing = CrashingEndpoints()
    document = build_document(RequestKind.RESUMABLE_STREAM, attempts=8)
    async with site(*crashing.endpoints, document=document) as (running, session):
        await answer_sound(running, session)
        await call(running, session, Parts="a b c", Own_Part="x")
        assert crashing.count_ended() <= ENDS_ALLOWED


async def test_the_ends_under_a_request_count_over_all_gateways_and_restarts():
    """Guard against a bound that each gateway keeps by itself."""
    crashing = CrashingEndpoints()
    document = build_document(RequestKind.RESUMABLE_STREAM, attempts=1)
    async with site(*crashing.endpoints, document=document) as (running, session):
        store, settings = running.gateway.adapter.store, running.gateway.settings
        addresses = (settings.callers_address, settings.ready_address)
        ports = [int(each.split(":")[1]) for each in addresses]
        ports.append(settings.peer_port)
        prompt = {"Parts": "a b c", "Own_Part": "x"}
        other = {"host": "127.0.0.2", "ports": ports, "seeds": ("127.0.0.1:1",)}
        async with running_gateway(store, **other) as second:
            await second.until(lambda gateway: gateway.peers.hosts)
            await running.until(lambda gateway: gateway.peers.hosts)
            await answer_sound(running, session)
            await repeat(itertools.cycle((running, second)), session, **prompt)
            assert crashing.count_ended() == ENDS_ALLOWED
            await running.end()
        async with running_gateway(store) as third:
            await third.until(lambda gateway: gateway.quarantine.quarantine.blocking)
            assert (await call(third, session, **prompt))[0] == 503
        assert crashing.arrivals == ENDS_ALLOWED
