"""Check what callers and endpoints see of a gateway, over real connections."""

import asyncio

import aiohttp
import pytest
from support import engines
from support.dialect import MemoryRowStore
from support.engines import StandInEndpoint
from support.gateways import caller_headers, free_ports, running_gateway, site
from support.routing import build_route, build_routing_document

from fescuedrum.conf.routing import RequestKind
from fescuedrum_gateway.adapter import ZoneOut

PATH = "/advice/tension?court=clay%20dust"


def document_of(kind, **changes):
    return build_routing_document(routes=(build_route(kind=kind, **changes),))


async def call(running, session, method="POST", path=PATH, body=b"{}", **headers):
    """Send one request; return (status, headers, body)."""
    async with session.request(
        method, running.url + path, data=body, headers=caller_headers(**headers)
    ) as answer:
        return answer.status, answer.headers, await answer.read()


async def test_a_request_goes_through_unchanged_but_for_what_gateways_set():
    endpoint = StandInEndpoint("e-1", engines.whole(b"loosen it", X_Extra="1"))
    async with site(endpoint) as (running, session):
        status, headers, body = await call(
            running, session, Organisation="forged", X_Mine="kept"
        )
    assert (status, body) == (200, b"loosen it")
    assert headers["X-Extra"] == "1"
    (seen,) = endpoint.seen
    assert (seen.method, seen.target, seen.body) == ("POST", PATH, b"{}")
    assert seen["Organisation"] == "club"
    assert seen["Endpoint"] == "e-1"
    assert seen["X-Mine"] == "kept"
    assert seen["Key"] is None
    assert 1.0 < float(seen["Patience"]) < 2.0


async def test_what_no_configuration_allows_reaches_no_endpoint():
    endpoint = StandInEndpoint("e-1", engines.whole())
    async with site(endpoint) as (running, session):
        assert (await call(running, session, path="/other/"))[0] == 404
        assert (await call(running, session, Key="wrong"))[0] == 401
        assert (await call(running, session, Patience="0"))[0] == 504
    assert endpoint.seen == []


async def test_a_gateway_without_a_configuration_says_when_to_come_back():
    store = MemoryRowStore()
    async with running_gateway(store, ready=False) as running:
        await asyncio.sleep(0.2)
        async with aiohttp.ClientSession() as session:
            status, headers, _ = await call(running, session)
    assert status == 503
    assert float(headers["Retry-After"]) > 0


async def test_a_request_that_may_run_once_is_never_sent_again():
    """A deposit is booked twice.

    The endpoint runs it and closes the connection before it answers. Whether it ran
    can't be known, so that no other endpoint may get it, and no promise is made.
    """
    first = StandInEndpoint("e-1", engines.close_unanswered)
    second = StandInEndpoint("e-2", engines.close_unanswered)
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(first, second, document=document) as (running, session):
        for method in ("POST", "PUT", "DELETE"):
            status, _, _ = await call(running, session, method=method)
            assert status == 502
    assert len(first.seen) + len(second.seen) == 3


@pytest.mark.parametrize("fault", [engines.close_unanswered, engines.whole(b"", 500)])
async def test_an_idempotent_request_is_sent_to_another_endpoint(fault):
    bad = StandInEndpoint("bad", fault)
    good = StandInEndpoint("good", engines.whole())
    async with site(bad, good) as (running, session):
        for _ in range(6):
            status, _, body = await call(running, session)
            assert (status, body) == (200, b"done")
    assert bad.seen


async def test_a_refusal_that_says_not_run_lets_another_endpoint_run_it():
    refusing = StandInEndpoint("refusing", engines.refusing())
    good = StandInEndpoint("good", engines.whole())
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(refusing, good, document=document) as (running, session):
        for _ in range(6):
            assert (await call(running, session))[0] == 200
    assert refusing.seen


async def test_a_refused_repeat_does_not_hide_that_the_first_sending_may_have_run():
    """A caller is told that its request has not run, though an endpoint ran it.

    The first endpoint closes the connection without an answer, and the second one
    refuses the repeat.
    """
    first = StandInEndpoint("e-1", engines.close_unanswered)
    second = StandInEndpoint("e-2", engines.refusing())
    async with site(first, second) as (running, session):
        statuses = []
        for _ in range(8):
            statuses.append((await call(running, session))[0])
            running.gateway.directory.histories.clear()
    assert first.seen
    assert set(statuses) == {502}


async def test_a_service_that_refuses_everywhere_is_left_alone_with_a_time_to_return():
    refusing = [StandInEndpoint(f"e-{n}", engines.refusing()) for n in range(3)]
    async with site(*refusing) as (running, session):
        status, headers, _ = await call(running, session)
    assert status == 503
    assert 0.3 < float(headers["Retry-After"]) <= 2.0 / 3
    assert sum(len(each.seen) for each in refusing) == 2


@pytest.mark.parametrize(
    "fault",
    [
        engines.whole(Request_Id="another"),
        engines.whole(Content_Encoding="gzip"),
        engines.whole(Content_Length=10),
    ],
)
async def test_an_answer_that_is_not_the_requests_own_whole_one_is_not_passed_on(fault):
    """A receptionist reads the order of another office.

    Endpoints answer late on the wrong connection, send spoiled bytes or break off.
    """
    endpoint = StandInEndpoint("e-1", fault)
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(endpoint, document=document) as (running, session):
        status, _, body = await call(running, session)
    assert status == 502
    assert b"done" not in body


async def test_an_unsigned_success_is_not_passed_on():
    async def answer(seen):
        seen.writer.write(engines.head(seen, Content_Length=4) + b"fake")
        await seen.writer.drain()

    async with site(StandInEndpoint("e-1", answer)) as (running, session):
        assert (await call(running, session))[0] == 502


async def test_half_an_answer_without_a_length_is_no_answer():
    """A caller takes half an answer for the whole one.

    The endpoint's answer has no length and ends with its connection, which is reset in
    the middle; the HTTP library takes the reset for the end.
    """

    async def answer(seen):
        seen.writer.write(engines.head(seen, Signed="yes") + b"half an ans")
        await seen.writer.drain()
        await asyncio.sleep(0.1)
        engines.reset(seen)

    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(StandInEndpoint("e-1", answer), document=document) as (
        running,
        session,
    ):
        assert (await call(running, session))[0] == 502


async def test_a_silent_endpoint_is_given_up_at_the_routes_timeout():
    endpoint = StandInEndpoint("e-1", engines.never_answer)
    document = document_of(RequestKind.NON_IDEMPOTENT, timeout=0.5)
    loop = asyncio.get_running_loop()
    async with site(endpoint, document=document) as (running, session):
        began = loop.time()
        assert (await call(running, session))[0] == 504
        assert 0.4 < loop.time() - began < 1.0


async def test_an_endpoint_stops_when_its_caller_leaves():
    """Engines write streams that nobody reads, while others wait for their places."""
    endpoint = StandInEndpoint("e-1", engines.never_answer)
    async with site(endpoint) as (running, session):
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await call(running, session)
        async with asyncio.timeout(0.5):
            await endpoint.left.wait()


async def read_events(running, session, **headers):
    """Return the body of a stream and whether it came to its proper end."""
    body = b""
    try:
        async with session.post(
            running.url + PATH, headers=caller_headers(**headers)
        ) as answer:
            assert answer.status == 200
            async for data in answer.content.iter_any():
                body += data
    except aiohttp.ClientPayloadError:
        return body, False
    return body, True


def events(first, last):
    return b"".join(engines.event(number) for number in range(first, last + 1))


async def test_a_stream_goes_on_at_another_endpoint_where_it_broke_off():
    """A player's advice ends in the middle of a sentence.

    The engine crashes within an event; another one resumes behind the last whole one,
    and the caller gets each event once.
    """
    broken = StandInEndpoint(
        "broken", engines.streaming(1, 3, ends=False, tail=b"id: 4\nda")
    )
    good = StandInEndpoint("good", engines.streaming(1, 6))
    document = document_of(RequestKind.RESUMABLE_STREAM)
    async with site(broken, good, document=document) as (running, session):
        for _ in range(6):
            assert await read_events(running, session) == (events(1, 6), True)
    assert broken.seen
    assert {seen["Last-Event"] for seen in good.seen} <= {"", "3"}


async def test_a_stream_that_can_not_go_on_is_seen_to_be_cut():
    broken = StandInEndpoint("e-1", engines.streaming(1, 3, ends=False))
    document = document_of(RequestKind.STREAM)
    async with site(broken, document=document) as (running, session):
        assert await read_events(running, session) == (events(1, 3), False)
    assert len(broken.seen) == 1


async def test_a_caller_can_go_on_where_it_was():
    endpoint = StandInEndpoint("e-1", engines.streaming(1, 6))
    document = document_of(RequestKind.RESUMABLE_STREAM)
    async with site(endpoint, document=document) as (running, session):
        assert await read_events(running, session, Last_Event="4") == (
            events(5, 6),
            True,
        )


async def test_a_zone_taken_out_gets_no_new_work():
    endpoint = StandInEndpoint("e-1", engines.whole())
    async with site(endpoint) as (running, session):
        store = running.gateway.store
        store.put("operators", "out/zone-1", ZoneOut("zone-1"))
        await running.until(lambda gateway: gateway.directory.zones_out)
        assert (await call(running, session))[0] == 503
        store.delete("operators", "out/zone-1")
        await running.until(lambda gateway: not gateway.directory.zones_out)
        assert (await call(running, session))[0] == 200


async def test_an_odd_row_spoils_no_other():
    endpoint = StandInEndpoint("e-1", engines.whole())
    async with site(endpoint) as (running, session):
        store = running.gateway.store
        store.put("endpoints", "odd", "no endpoint")
        store.put("operators", "document", build_routing_document(version=2))
        await running.until(lambda gateway: gateway.configuration.version == 2)
        assert (await call(running, session))[0] == 200


async def test_a_stop_ends_what_runs_and_says_that_connections_end():
    async def slow(seen):
        await asyncio.sleep(0.5)
        await engines.whole()(seen)

    endpoint = StandInEndpoint("e-1", slow)
    async with site(endpoint, stop_seconds=6.0) as (running, session):
        running_call = asyncio.create_task(call(running, session))
        await asyncio.sleep(0.2)
        running.stop.set()
        status, headers, _ = await running_call
        assert status == 200
        assert headers["Connection"] == "close"
        ready = f"http://{running.gateway.settings.ready_address}/readyz"
        async with session.get(ready) as answer:
            assert answer.status == 503
        assert (await call(running, session))[0] == 200
        await asyncio.wait_for(running.task, 5.0)


async def test_a_gateway_that_starts_while_the_store_is_away_learns_from_a_peer():
    """A replaced machine refuses every caller until the store is back.

    It knows the addresses of its settings only; one of them is a gateway that serves.
    """
    store = MemoryRowStore()
    store.put("operators", "document", build_routing_document(version=7))
    endpoint = await StandInEndpoint("e-1", engines.whole()).start()
    store.put("endpoints", "e-1", endpoint.listed())
    away = MemoryRowStore()
    away.objects = store.objects
    away.away = True
    ports = free_ports(3)
    async with (
        running_gateway(store, ports=ports),
        running_gateway(
            away, host="127.0.0.2", ports=ports, seeds=["127.0.0.1:1"]
        ) as second,
    ):
        assert second.gateway.configuration.version == 7
        async with aiohttp.ClientSession() as session:
            assert (await call(second, session))[0] == 200
        store.put("operators", "document", build_routing_document(version=8))
        await second.until(lambda gateway: gateway.configuration.version == 8)
    endpoint.server.close()


async def test_gateways_count_each_others_requests():
    """Seven gateways each send their requests to the engine that they think is idle."""
    store = MemoryRowStore()
    store.put("operators", "document", build_routing_document())
    busy = await StandInEndpoint("busy", engines.never_answer).start()
    store.put("endpoints", "busy", busy.listed())
    ports = free_ports(3)
    async with (
        running_gateway(store, ports=ports) as first,
        running_gateway(store, host="127.0.0.2", ports=ports) as second,
        aiohttp.ClientSession() as session,
    ):
        await first.until(lambda gateway: gateway.peers.count_sharing_gateways() == 2)
        waiting = asyncio.create_task(call(first, session))
        await second.until(lambda gateway: gateway.peers.loads()["busy"].requests == 1)
        waiting.cancel()
        await second.until(lambda gateway: gateway.peers.loads()["busy"].requests == 0)
    busy.server.close()


async def test_a_misdirected_sending_counts_as_a_repeat():
    """Endpoints get three times the repeats that their service bears.

    A zone lost power while the store was away: other endpoints stand at its addresses,
    and each request was sent on from one to the next, as none of them ran it.
    """
    other = StandInEndpoint("e-1", engines.refusing(421))
    also = StandInEndpoint("e-2", engines.refusing(421))
    bounds = {"retry_share": 0.0, "retry_slack": 0.0}
    async with site(other, also, **bounds) as (running, session):
        status, _, _ = await call(running, session)
    assert status == 503
    assert len(other.seen) + len(also.seen) == 1


async def read_metrics(running, session):
    """Return the values of the gateway's metrics that have no labels, by name."""
    url = f"http://{running.gateway.settings.ready_address}/metrics"
    async with session.get(url) as answer:
        lines = (await answer.text()).splitlines()
    pairs = [line.split() for line in lines if line[0] != "#" and "{" not in line]
    return {pair[0]: float(pair[1]) for pair in pairs}


async def test_metrics_tell_how_old_what_is_believed_is():
    """A list of endpoints is an hour old at one gateway, and nothing shows it.

    The store answers it no longer, and no other gateway is heard.
    """
    endpoint = StandInEndpoint("e-1", engines.whole())
    async with site(endpoint) as (running, session):
        first = await read_metrics(running, session)
        assert 0 <= first["fescuedrum_gateway_endpoints_age_seconds"] < 5
        assert 0 <= first["fescuedrum_gateway_operators_age_seconds"] < 5
        assert first["fescuedrum_gateway_retries_left"] == -1
        assert (await call(running, session))[0] == 200
        for follower in running.gateway.followers:
            follower.confirmed_at -= 3600
        second = await read_metrics(running, session)
        assert second["fescuedrum_gateway_endpoints_age_seconds"] > 3000
        assert second["fescuedrum_gateway_retries_left"] > 1
        assert "fescuedrum_gateway_loop_delay_seconds_count" in second


async def test_an_endpoint_in_need_gets_no_more_than_it_takes():
    """An engine that asked to be spared gets every request for which it has a place."""
    needy = StandInEndpoint("needy", engines.whole(Rate="0.5"))
    good = StandInEndpoint("good", engines.whole())
    async with site(needy, good) as (running, session):
        for _ in range(20):
            assert (await call(running, session))[0] == 200
    assert len(needy.seen) == 2
    assert len(good.seen) == 18


async def test_a_refusal_names_a_rate_as_well():
    needy = StandInEndpoint("needy", engines.whole(b"", 503, Not_Run="1", Rate="0"))
    good = StandInEndpoint("good", engines.whole())
    async with site(needy, good) as (running, session):
        for _ in range(10):
            assert (await call(running, session))[0] == 200
    assert len(needy.seen) == 1


async def test_callers_are_refused_at_once_when_all_endpoints_are_in_need():
    needy = StandInEndpoint("needy", engines.whole(Rate="0.25"))
    async with site(needy) as (running, session):
        statuses = [(await call(running, session))[0] for _ in range(3)]
        status, headers, body = await call(running, session)
    assert statuses == [200, 503, 503]
    assert (status, b"all-rate-limited" in body) == (503, True)
    assert float(headers["Retry-After"]) > 0


async def test_the_rate_of_another_endpoint_at_the_address_says_nothing():
    """An engine is spared for the need of the one that has its address now."""
    other = StandInEndpoint("gone", engines.whole(b"", 421, Not_Run="1", Rate="0"))
    good = StandInEndpoint("good", engines.whole())
    async with site(other, good) as (running, session):
        for _ in range(6):
            assert (await call(running, session))[0] == 200
        assert running.gateway.directory.rate_limits.limited() == []
    assert other.seen
