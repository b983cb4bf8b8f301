"""Check what callers and endpoints receive from a gateway over real connections."""

import asyncio
import logging
import socket
import time
from dataclasses import replace

import aiohttp
import pytest
from support import engines
from support.dialect import MemoryRowStore
from support.engines import StandInEndpoint
from support.gateways import (
    PATH,
    call,
    caller_headers,
    free_ports,
    running_gateway,
    site,
)
from support.returning import contested_document
from support.routing import build_endpoint, build_route, build_routing_document

from fescuedrum.conf.routing import EngineProfile, RequestKind, RoutedService
from fescuedrum.decisions.placing.groups import GroupSlice
from fescuedrum_gateway.adapter import ZoneOut
from fescuedrum_gateway.connection import endpoints
from fescuedrum_gateway.connection.endpoints import (
    CONNECT_TIMEOUT_SECONDS,
    open_socket,
)


def document_of(kind, **changes):
    """Return a document with one route of a kind."""
    return build_routing_document(routes=(build_route(kind=kind, **changes),))


async def test_a_request_is_forwarded_unchanged_except_for_the_gateways_headers():
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


@pytest.mark.parametrize("stall_seconds", [0.29, 0.32, 0.4])
async def test_a_stall_of_the_gateway_is_no_failure_of_an_endpoint(
    monkeypatch, stall_seconds
):
    """Guard against "no connection" to an endpoint that has accepted in time."""

    def open_and_stall(address):
        loop = asyncio.get_running_loop()
        loop.call_soon(time.sleep, stall_seconds)
        return open_socket(address)

    monkeypatch.setattr(endpoints, "open_socket", open_and_stall)
    endpoint = StandInEndpoint("e-1", engines.whole())
    async with site(endpoint) as (running, session):
        status, _, body = await call(running, session)
        history = running.gateway.directory.histories["e-1"]
    assert (status, body) == (200, b"done")
    assert history.failures == 0


async def test_an_endpoint_that_accepts_no_connection_is_left_for_another_one():
    """Guard against callers who wait for an endpoint whose machine does not answer."""
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    waiting = [socket.socket() for _ in range(4)]
    for each in waiting:
        each.setblocking(False)
        each.connect_ex(full.getsockname())
    other = StandInEndpoint("e-2", engines.whole())
    async with site(other) as (running, session):
        silent = build_endpoint("e-1", port=full.getsockname()[1])
        running.gateway.directory.presences.listed(silent)
        running.gateway.directory.histories["e-2"].own.requests = 3
        began = asyncio.get_running_loop().time()
        status, _, body = await call(running, session)
        seconds = asyncio.get_running_loop().time() - began
        history = running.gateway.directory.histories["e-1"]
    for each in (full, *waiting):
        each.close()
    assert (status, body) == (200, b"done")
    assert history.failures == 1
    assert seconds < 2 * CONNECT_TIMEOUT_SECONDS


@pytest.mark.parametrize("host", ["999.1.2.3", "localhost", ""])
@pytest.mark.parametrize("kind", [RequestKind.NON_IDEMPOTENT, RequestKind.IDEMPOTENT])
async def test_a_request_to_what_is_no_address_was_not_run(host, kind, caplog):
    """Guard against "may have run" for a request of which nothing was sent."""
    caplog.set_level(logging.INFO)
    other = StandInEndpoint("e-2", engines.whole())
    document = document_of(kind, maximum_attempts=1)
    async with site(other, document=document) as (running, session):
        odd = build_endpoint("e-1", host=host)
        running.gateway.directory.presences.listed(odd)
        running.gateway.directory.histories["e-2"].own.requests = 3
        status, _, body = await call(running, session)
    assert (status, body) == (200, b"done")
    (failed,) = (each for each in caplog.records if each.message == "sending failed")
    assert (failed.endpoint, failed.result) == ("e-1", "not run")


async def test_requests_that_are_not_allowed_reach_no_endpoint():
    endpoint = StandInEndpoint("e-1", engines.whole())
    async with site(endpoint) as (running, session):
        assert (await call(running, session, path="/other/"))[0] == 404
        assert (await call(running, session, Key="wrong"))[0] == 401
        assert (await call(running, session, Patience="0"))[0] == 504
    assert endpoint.seen == []


async def test_a_gateway_without_a_configuration_says_when_to_retry():
    store = MemoryRowStore()
    async with running_gateway(store, ready=False) as running:
        await asyncio.sleep(0.2)
        async with aiohttp.ClientSession() as session:
            status, headers, _ = await call(running, session)
    assert status == 503
    assert float(headers["Retry-After"]) > 0


async def test_a_request_that_may_run_once_is_never_sent_again():
    """Guard against running a non-idempotent request twice.

    The endpoint closes the connection without a response. Whether the request ran is
    unknown, so no other endpoint may get it, and the status must not say "not run".
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


async def test_a_refused_retry_does_not_hide_that_the_first_attempt_may_have_run():
    """Guard against reporting a request as not run that may have run.

    The first endpoint closes the connection without a response, and the second one
    refuses the retry.
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


async def test_a_service_whose_endpoints_all_refuse_gets_no_more_attempts():
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
async def test_a_wrong_or_incomplete_response_is_not_forwarded(fault):
    """Guard against forwarding the response to another request, or a corrupt one.

    Endpoints respond on the wrong connection, change the bytes or end too early.
    """
    endpoint = StandInEndpoint("e-1", fault)
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(endpoint, document=document) as (running, session):
        status, _, body = await call(running, session)
    assert status == 502
    assert b"done" not in body


async def test_an_unsigned_success_is_not_forwarded():
    async def answer(seen):
        seen.writer.write(engines.head(seen, Content_Length=4) + b"fake")
        await seen.writer.drain()

    async with site(StandInEndpoint("e-1", answer)) as (running, session):
        assert (await call(running, session))[0] == 502


async def test_a_truncated_response_without_a_length_is_not_forwarded():
    """Guard against forwarding a truncated response as a complete one.

    The response has no length and ends with its connection. The connection is reset
    midway, and the HTTP library treats the reset as the end.
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


async def test_a_silent_endpoint_times_out_after_the_routes_timeout():
    endpoint = StandInEndpoint("e-1", engines.never_answer)
    document = document_of(RequestKind.NON_IDEMPOTENT, timeout=0.5)
    loop = asyncio.get_running_loop()
    async with site(endpoint, document=document) as (running, session):
        began = loop.time()
        assert (await call(running, session))[0] == 504
        assert 0.4 < loop.time() - began < 1.0


async def test_a_request_is_cancelled_at_the_endpoint_when_its_caller_disconnects():
    """Guard against engines that go on with streams that nobody reads."""
    endpoint = StandInEndpoint("e-1", engines.never_answer)
    async with site(endpoint) as (running, session):
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await call(running, session)
        async with asyncio.timeout(0.5):
            await endpoint.left.wait()


async def read_events(running, session, **headers):
    """Return (body, whether the stream ended properly)."""
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
    """Return the events with the given numbers."""
    return b"".join(engines.event(number) for number in range(first, last + 1))


async def test_a_truncated_stream_is_resumed_at_another_endpoint():
    """Guard against a stream that ends early when its engine crashes.

    The engine crashes within an event. Another one resumes after the last complete
    event, and the caller gets each event once.
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


async def end_after_head(seen):
    """Send the head of a success without a length, and close the connection."""
    status = 204 if seen.method == "DELETE" else 200
    seen.writer.write(engines.head(seen, status, Signed="yes"))
    await seen.writer.drain()
    seen.writer.close()


async def test_an_answer_without_a_length_that_ends_before_its_body_is_no_answer():
    """Guard against an empty success when an endpoint ends as it begins to write."""
    document = document_of(RequestKind.NON_IDEMPOTENT)
    endpoint = StandInEndpoint("e-1", end_after_head)
    async with site(endpoint, document=document) as (running, session):
        assert (await call(running, session))[0] == 502
        assert (await call(running, session, method="HEAD"))[0] == 200
        assert (await call(running, session, method="DELETE"))[0] == 204


async def test_a_stream_without_a_length_that_ends_before_an_event_is_no_answer():
    """Guard against an empty success when an engine ends as it begins to write."""
    document = document_of(RequestKind.STREAM)
    endpoint = StandInEndpoint("e-1", end_after_head)
    async with site(endpoint, document=document) as (running, session):
        assert (await call(running, session))[0] == 502


async def test_a_stream_that_is_not_resumable_is_visibly_truncated():
    broken = StandInEndpoint("e-1", engines.streaming(1, 3, ends=False))
    document = document_of(RequestKind.STREAM)
    async with site(broken, document=document) as (running, session):
        assert await read_events(running, session) == (events(1, 3), False)
    assert len(broken.seen) == 1


async def test_a_caller_can_resume_a_stream():
    endpoint = StandInEndpoint("e-1", engines.streaming(1, 6))
    document = document_of(RequestKind.RESUMABLE_STREAM)
    async with site(endpoint, document=document) as (running, session):
        assert await read_events(running, session, Last_Event="4") == (
            events(5, 6),
            True,
        )


async def test_a_stream_that_can_not_end_in_time_is_refused_at_once():
    """Guard against a caller who waits for its whole time and gets half an answer.

    Passes have taken half a second for more than a second, and the caller expects
    hundreds of them. A short stream and one that is resumed are sent nevertheless.
    """
    endpoint = StandInEndpoint("e-1", engines.streaming(1, 6))
    document = replace(
        document_of(RequestKind.RESUMABLE_STREAM),
        services=(
            RoutedService("advice", engine=EngineProfile(6, tokens_per_event=7)),
        ),
    )
    async with site(endpoint, document=document) as (running, session):
        now = asyncio.get_running_loop().time()
        timer = running.gateway.pass_timers.of("advice")
        for number in range(20):
            timer.observe(0.5, now - 1.2 + number * 0.06)
        status, headers, body = await call(running, session, Expected="700")
        assert status == 503
        assert 0 < float(headers["Retry-After"]) < 1
        assert b"700 tokens" in body
        assert endpoint.seen == []
        assert (await read_events(running, session, Expected="14"))[1]
        assert (await read_events(running, session))[1]
        resumed = {"Expected": "700", "Last_Event": "4"}
        assert await read_events(running, session, **resumed) == (events(5, 6), True)


async def test_a_request_that_a_group_refuses_is_run_by_the_other_group():
    """Guard against a refusal to a caller whose request another group could run.

    A group that is out gets probes alone. With all groups out, callers are refused.
    """
    names = {"a": ("a-1", "a-2"), "b": ("b-1", "b-2")}
    down = [StandInEndpoint(name, engines.refusing()) for name in names["a"]]
    up = [StandInEndpoint(name, engines.whole(b"done")) for name in names["b"]]
    async with site(*down, *up) as (running, session):
        directory = running.gateway.directory
        directory.groups.learn(
            GroupSlice("advice", group, 1, members) for group, members in names.items()
        )
        refused = [directory.presences.by_name[each].endpoint for each in names["a"]]
        directory.groups.refused(refused[0])
        statuses = {(await call(running, session))[0] for _ in range(20)}
        assert statuses == {200}
        assert sum(len(each.seen) for each in down) <= 3
        for endpoint in up:
            endpoint.answer = engines.refusing()
            directory.groups.refused(
                directory.presences.by_name[endpoint.name].endpoint
            )
        for each in refused:
            directory.groups.refused(each)
        status, headers, _ = await call(running, session)
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        async with session.get(
            f"http://{running.gateway.settings.ready_address}/metrics"
        ) as answer:
            text = await answer.text()
        assert 'fescuedrum_gateway_groups_out{service="advice"} 2.0' in text
        assert 'fescuedrum_gateway_refusals_total{code="group-down"} 1.0' in text


async def test_a_zone_that_is_out_gets_no_new_requests():
    endpoint = StandInEndpoint("e-1", engines.whole())
    async with site(endpoint) as (running, session):
        store = running.gateway.store
        store.put("operators", "out/zone-1", ZoneOut("zone-1"))
        await running.until(lambda gateway: gateway.directory.zones_out)
        assert (await call(running, session))[0] == 503
        store.delete("operators", "out/zone-1")
        await running.until(lambda gateway: not gateway.directory.zones_out)
        assert (await call(running, session))[0] == 200


async def test_a_row_that_raises_an_error_does_not_keep_later_rows_from_applying():
    """Guard against a zone that keeps getting work because another row has a fault."""
    endpoint = StandInEndpoint("e-1", engines.whole())
    async with site(endpoint) as (running, _):
        gateway, store = running.gateway, running.gateway.store
        store.put("operators", "faulty", None)
        store.put("operators", "out/zone-1", ZoneOut("zone-1"))
        rows = store.changes("operators", store.version - 2)
        del store.objects[rows[0].value]
        gateway.directory.zones_out.clear()
        gateway.apply_operators_rows(rows)
        assert gateway.directory.zones_out


async def test_an_invalid_row_does_not_affect_others():
    endpoint = StandInEndpoint("e-1", engines.whole())
    async with site(endpoint) as (running, session):
        store = running.gateway.store
        store.put("endpoints", "odd", "no endpoint")
        store.put("operators", "document", build_routing_document(version=2))
        await running.until(lambda gateway: gateway.configuration.version == 2)
        assert (await call(running, session))[0] == 200


async def test_a_stop_finishes_running_requests_and_closes_their_connections():
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


async def test_a_gateway_that_starts_in_a_store_outage_learns_from_a_peer():
    """Guard against a new gateway that refuses all callers until the store is back.

    It knows only the addresses in its settings; one of them is that of a running
    gateway.
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
    """Guard against gateways that all choose an engine because each sees it idle."""
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


async def test_a_misdirected_attempt_counts_as_a_retry():
    """Guard against more retries than the service's retry budget allows.

    A zone lost power during a store outage, and other endpoints got its addresses. Each
    request was sent from one to the next, because none of them ran it.
    """
    other = StandInEndpoint("e-1", engines.refusing(421))
    also = StandInEndpoint("e-2", engines.refusing(421))
    bounds = {"retry_share": 0.0, "retry_slack": 0.0}
    async with site(other, also, **bounds) as (running, session):
        status, _, _ = await call(running, session)
    assert status == 503
    assert len(other.seen) + len(also.seen) == 1


async def read_metrics(running, session):
    """Return the values of the gateway's metrics without labels, by name."""
    url = f"http://{running.gateway.settings.ready_address}/metrics"
    async with session.get(url) as answer:
        lines = (await answer.text()).splitlines()
    pairs = [line.split() for line in lines if line[0] != "#" and "{" not in line]
    return {pair[0]: float(pair[1]) for pair in pairs}


async def test_metrics_show_the_age_of_the_gateways_data():
    """Guard against a gateway whose list of endpoints is an hour old unnoticed.

    The store does not respond to it, and it hears no other gateway.
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


async def test_a_rate_limited_endpoint_gets_no_more_than_its_rate():
    """Guard against filling all slots of an endpoint that announced a low rate."""
    limited = StandInEndpoint("needy", engines.whole(Rate="0.5"))
    good = StandInEndpoint("good", engines.whole())
    async with site(limited, good) as (running, session):
        for _ in range(20):
            assert (await call(running, session))[0] == 200
    assert len(limited.seen) == 2
    assert len(good.seen) == 18


async def test_a_refusal_can_announce_a_rate():
    limited = StandInEndpoint("needy", engines.whole(b"", 503, Not_Run="1", Rate="0"))
    good = StandInEndpoint("good", engines.whole())
    async with site(limited, good) as (running, session):
        for _ in range(10):
            assert (await call(running, session))[0] == 200
    assert len(limited.seen) == 1


async def test_callers_are_refused_at_once_when_all_endpoints_are_rate_limited():
    limited = StandInEndpoint("needy", engines.whole(Rate="0.25"))
    async with site(limited) as (running, session):
        statuses = [(await call(running, session))[0] for _ in range(3)]
        status, headers, body = await call(running, session)
    assert statuses == [200, 503, 503]
    assert (status, b"all-rate-limited" in body) == (503, True)
    assert float(headers["Retry-After"]) > 0


async def test_the_rate_of_another_endpoint_at_the_address_is_ignored():
    """Guard against applying a rate to the former endpoint of an address."""
    other = StandInEndpoint("gone", engines.whole(b"", 421, Not_Run="1", Rate="0"))
    good = StandInEndpoint("good", engines.whole())
    async with site(other, good) as (running, session):
        for _ in range(6):
            assert (await call(running, session))[0] == 200
        assert running.gateway.directory.rate_limits.limited() == []
    assert other.seen


async def test_a_returned_caller_is_served_after_an_outage_that_it_waits_out():
    """Guard against a second and last refusal shortly before a service is back."""
    loop = asyncio.get_running_loop()
    down_until = loop.time() + 1.2

    async def answer(seen):
        is_down = loop.time() < down_until
        await (engines.refusing() if is_down else engines.whole())(seen)

    group = [StandInEndpoint(f"e-{number}", answer) for number in range(3)]
    async with site(*group, document=contested_document()) as (running, session):
        for _ in range(2):
            status, headers, _ = await call(running, session, Patience="6")
            assert status == 503
            assert 1.4 < float(headers["Retry-After"]) <= 2.0
        returned, new = await asyncio.gather(
            call(running, session, Patience="4"), call(running, session, Patience="6")
        )
        assert (returned[0], new[0]) == (200, 503)
        assert down_until <= loop.time() < down_until + 0.4
        assert sum(len(each.seen) for each in group) < 20
