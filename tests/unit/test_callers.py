"""Test the callers' HTTP interface over real sockets."""

import asyncio
import json

import pytest
from hypothesis import example, given, settings, strategies as st
from support.callers import AUTHORISED, Script, build_entry, send, send_raw, serving

from fescuedrum.exceptions import OutcomeUnknown
from fescuedrum_entry.request.call import Repetition

COMPLETION = json.dumps({"model": "m", "prompt": "x"}).encode()
VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.lists(st.none() | st.text(max_size=2), max_size=2)
    | st.dictionaries(st.just("role"), st.text(max_size=2))
)
FIELDS = st.sampled_from(
    (
        "model",
        "prompt",
        "messages",
        "stream",
        "max_tokens",
        "max_completion_tokens",
        "n",
        "top_p",
    )
)
BODIES = (
    st.binary(max_size=60)
    | st.dictionaries(FIELDS, VALUES).map(lambda data: json.dumps(data).encode())
    | st.dictionaries(FIELDS, VALUES).map(
        lambda data: json.dumps(data | {"model": "m"}).encode()
    )
    | st.just(b'{"model":' + b"[" * 100_000)
)
NAMES = st.sampled_from(
    (
        "Authorization",
        "Idempotency-Key",
        "Fescuedrum-Deadline-Ms",
        "Fescuedrum-Priority",
        "Content-Encoding",
        "Content-Length",
        "Transfer-Encoding",
        "Expect",
        "X-Any",
    )
)
HEADERS = st.lists(
    st.tuples(
        NAMES,
        st.binary(max_size=12)
        | st.text(st.characters(categories=["Nd"])).map(str.encode),
    ),
    max_size=4,
)
PATHS = st.sampled_from(
    [
        b"/v1/completions",
        b"/v1/chat/completions",
        b"/v1/models",
        b"/services/bookings/%2F%zz?a=%",
        b"/services/bookings",
        b"/services/advice/x",
        b"/services/\xff/x",
        b"/v2",
        b"http://h/v1/models",
        b"*",
    ]
)
METHODS = st.sampled_from([b"GET", b"POST", b"HEAD", b"TRACE", b"CONNECT", b"\x16\x03"])


async def test_arbitrary_requests_get_only_4xx_and_never_break_the_entry(monkeypatch):
    """Guard against a 5xx answer to an invalid request.

    Faulty clients and scanners send arbitrary data. A 5xx status would count as an
    outage of the product and would be retried.
    """
    statuses = set()
    loop = asyncio.get_running_loop()

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    # Hypothesis also draws constants of the imported modules, so the examples depend on
    # the modules that this worker has imported. One request is fixed for each status
    # that must be seen.
    @example(b"GET", b"/v1/models", [], b"", True)
    @example(b"GET", b"/v1/models", [], b"", False)
    @example(b"POST", b"/v1/completions", [], b"{", True)
    @example(b"GET", b"/v2", [], b"", True)
    @given(METHODS, PATHS, HEADERS, BODIES, st.booleans())
    def check(method, path, headers, body, authorised):
        lines = [method + b" " + path + b" HTTP/1.1", b"Host: h", b"Connection: close"]
        lines += [name.encode() + b": " + value for name, value in headers]
        if authorised:
            lines.append(AUTHORISED.encode())
        lines.append(b"Content-Length: " + str(len(body)).encode())
        raw = b"\r\n".join(lines) + b"\r\n\r\n" + body
        waiting = asyncio.run_coroutine_threadsafe(send_raw(port, raw), loop)
        answer = waiting.result(30)
        if answer:
            status = int(answer.split()[1])
            statuses.add(status)
            assert status in (100, 200) or 400 <= status < 500, answer

    entry = build_entry(body_seconds=0.5)
    async with serving(monkeypatch, entry=entry) as port:
        await asyncio.to_thread(check)
    assert {200, 400, 401, 404} <= statuses


async def test_a_plain_request_is_forwarded_unchanged(monkeypatch):
    script = Script()
    path = "/services/bookings/a%2Fb/%7Ec//d?x=%20&x=+"
    sent = (
        AUTHORISED,
        "Accept-Encoding: br",
        "X-Many: 1",
        "X-Many: 2",
        "X-Hop: only here",
        "Connection: close, X-Hop",
        "Keep-Alive: 5",
        "X-Forwarded-For: 10.0.0.1",
        "Content-Encoding: gzip",
    )
    async with serving(monkeypatch, script) as port:
        status, _, _ = await send(port, "PATCH", path, *sent, body=b"\x1f\x8b not gzip")
    (call,) = script.calls
    assert (status, call.method) == (200, "PATCH")
    assert call.path == "/a%2Fb/%7Ec//d?x=%20&x=+"
    assert call.body == b"\x1f\x8b not gzip"
    assert call.repetition is Repetition.ONCE
    names = [name for name, _ in call.headers]
    assert names.count("X-Many") == 2
    assert not {"X-Hop", "Keep-Alive", "Connection", "Authorization"} & set(names)
    assert ("X-Forwarded-For", "10.0.0.1, 127.0.0.1") in call.headers
    assert ("X-Forwarded-Host", "h") in call.headers


@pytest.mark.parametrize(
    ("headers", "status", "code"),
    [
        (("Idempotency-Key: a", "Idempotency-Key: b"), 400, "bad-request"),
        (("Idempotency-Key: a b",), 400, "bad-request"),
        (("Idempotency-Key:",), 400, "bad-request"),
        (("Fescuedrum-Deadline-Ms: 0",), 400, "bad-request"),
        (("Fescuedrum-Deadline-Ms: " + "9" * 5000,), 400, "bad-request"),
        (("Fescuedrum-Priority: ٣",), 400, "bad-request"),
        (("X-Long: " + "x" * 9000,), 431, "headers-too-large"),
        (tuple(f"X-{index}: 1" for index in range(200)), 431, "headers-too-large"),
        (("Content-Length: 99999999",), 413, "body-too-large"),
        (("Transfer-Encoding: chunked, gzip",), 400, "bad-request"),
    ],
)
async def test_refusals_have_the_common_error_format(
    monkeypatch, headers, status, code
):
    script = Script()
    async with serving(monkeypatch, script) as port:
        got, head, body = await send(
            port, "POST", "/services/bookings/x", AUTHORISED, *headers
        )
    error = json.loads(body)["error"]
    assert (got, error["code"], error["outcome"]) == (status, code, "not-run")
    assert error["request_id"] in head
    assert {"message", "type", "param"} <= error.keys()
    assert not script.calls


async def test_an_incomplete_body_times_out_and_reaches_no_endpoint(monkeypatch):
    """Guard against waiting forever when a caller loses its network in an upload."""
    script = Script()
    entry = build_entry(body_seconds=0.2)
    head = f"POST /services/bookings/x HTTP/1.1\r\nHost: h\r\n{AUTHORISED}\r\n"
    raw = (head + "Content-Length: 10\r\n\r\n12345").encode()
    async with serving(monkeypatch, script, entry) as port:
        answer = await send_raw(port, raw)
    assert answer.startswith(b"HTTP/1.1 408")
    assert not script.calls


@pytest.mark.parametrize(
    "sent", [b"", b"GET /v1/mod", b"GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"]
)
async def test_an_idle_caller_connection_is_closed(monkeypatch, sent):
    """Guard against running out of file descriptors through half-open connections."""
    entry = build_entry(idle_seconds=0.3)
    async with serving(monkeypatch, entry=entry) as port:
        answer = await send_raw(port, sent)
    assert answer == b"" or b" 401 " in answer


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)]
)
async def test_answers_without_a_body_get_none_added(monkeypatch, method, status):
    headers = [("Content-Length", "77"), ("ETag", "x"), ("Content-Type", "text/plain")]
    script = Script(status, headers if method == "HEAD" else headers[1:2], chunks=())
    async with serving(monkeypatch, script) as port:
        got, head, body = await send(port, method, "/services/bookings/x", AUTHORISED)
    assert (got, body) == (status, b"")
    assert "ETag: x" in head
    assert ("Content-Length: 77" in head) is (method == "HEAD")
    assert "transfer-encoding" not in head.lower()


async def test_an_endpoints_headers_are_returned_once_each(monkeypatch):
    headers = [("Content-Type", "a/b"), ("Set-Cookie", "1"), ("Set-Cookie", "2")]
    script = Script(201, headers, chunks=(b"\x00\xff",))
    async with serving(monkeypatch, script) as port:
        _, head, body = await send(port, "GET", "/services/bookings/x", AUTHORISED)
    assert body == b"\x00\xff"
    assert head.count("Set-Cookie") == 2
    assert head.count("Content-Type") == 1
    assert "Fescuedrum-Outcome: answered" in head


async def test_a_broken_stream_reports_the_reason_and_is_never_ended_as_complete(
    monkeypatch,
):
    """Guard against a client taking half an answer for a complete one.

    The endpoint dies in the middle of a stream, after the status has been sent, so only
    a connection closed without the last chunk shows that the answer is incomplete.
    """
    headers = [("Content-Type", "text/event-stream; charset=utf-8")]
    script = Script(200, headers, [b"data: one\n\n"], OutcomeUnknown("It was cut."))
    async with serving(monkeypatch, script) as port:
        status, head, body = await send(
            port, "POST", "/v1/completions", AUTHORISED, body=COMPLETION
        )
    assert status == 200
    assert "Fescuedrum-Outcome: streaming" in head
    event = body[body.index(b"event: error") :].split(b"data: ")[1].split(b"\n\n")[0]
    assert json.loads(event)["error"]["outcome"] == "unknown"
    assert not body.endswith(b"0\r\n\r\n")


async def test_a_broken_stream_over_http_1_0_resets_the_connection(monkeypatch):
    """Guard against an HTTP/1.0 client taking half an answer for a complete one.

    With HTTP/1.0, as an old load balancer may use, a closed connection ends the body.
    """
    headers = [("Content-Type", "text/event-stream")]
    script = Script(200, headers, [b"data: one\n\n"], OutcomeUnknown("It was cut."))
    head = f"POST /v1/completions HTTP/1.0\r\nHost: h\r\n{AUTHORISED}\r\n"
    head += f"Content-Length: {len(COMPLETION)}\r\n\r\n"
    async with serving(monkeypatch, script) as port:
        with pytest.raises(ConnectionResetError):
            await send_raw(port, head.encode() + COMPLETION)


async def test_a_complete_stream_ends_with_the_last_chunk(monkeypatch):
    script = Script(200, [("Content-Type", "text/event-stream")], [b"data: 1\n\n"])
    async with serving(monkeypatch, script) as port:
        _, _, body = await send(
            port, "POST", "/v1/completions", AUTHORISED, body=COMPLETION
        )
    assert body.endswith(b"0\r\n\r\n")


class Slow(Script):
    """Answer only when released, and record how the run ended."""

    def __init__(self):
        super().__init__()
        self.started = asyncio.Event()
        self.release = asyncio.Event()
        self.ending = asyncio.get_running_loop().create_future()

    async def run(self):
        self.started.set()
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.ending.set_result("cancelled")
            raise
        self.ending.set_result("finished")
        await super().run()


@pytest.mark.parametrize(
    ("path", "ending"),
    [("/v1/completions", "cancelled"), ("/services/bookings/x", "finished")],
)
async def test_a_caller_who_leaves_cancels_only_an_idempotent_request(
    monkeypatch, path, ending
):
    """Guard against a request that isn't idempotent being left half done.

    A caller's connection drops while the request is running. An idempotent request is
    cancelled; any other must run to its end, or its repeat would find it half done.
    """
    script = Slow()
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\n{AUTHORISED}\r\n"
    head += f"Content-Length: {len(COMPLETION)}\r\n\r\n"
    async with serving(monkeypatch, script) as port:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head.encode() + COMPLETION)
        await script.started.wait()
        writer.transport.abort()
        if ending == "finished":
            await asyncio.sleep(0.1)
            script.release.set()
        assert await script.ending == ending


async def test_models_are_listed_for_known_organisations_only(monkeypatch):
    async with serving(monkeypatch) as port:
        status, _, body = await send(port, "GET", "/v1/models", AUTHORISED)
        assert (await send(port, "GET", "/v1/models"))[0] == 401
    assert status == 200
    assert [model["id"] for model in json.loads(body)["data"]] == ["m"]
