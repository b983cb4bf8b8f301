"""Check what callers get when endpoints send answers that are broken."""

import asyncio
import contextlib
import logging
import random
import types
from dataclasses import replace

import psutil
import pytest
from support import engines, raw_answers
from support.dialect import PlainAdapter, PlatformHeadersAdapter
from support.engines import StandInEndpoint
from support.gateways import PATH, call, site
from support.raw_answers import EarlyAnswer, EndlessAnswer, head
from support.routing import build_endpoint, build_route, build_routing_document

from fescuedrum.conf.routing import RequestKind

LONG_BODY = b"x" * (4 * 1024 * 1024)
KINDS = (
    RequestKind.NON_IDEMPOTENT,
    RequestKind.IDEMPOTENT,
    RequestKind.STREAM,
)

OK = b"HTTP/1.1 200 OK"
# Of the callers of tests.
PATIENCE_SECONDS = 2.0
CHUNKS = b"4\r\ndone\r\n0\r\n\r\n"
INVALID_STATUSES = {
    "000": head(b"HTTP/1.1 000 Odd"),
    "099": head(b"HTTP/1.1 099 Odd"),
    "101": head(b"HTTP/1.1 101 Odd", b"Upgrade: odd", b"Connection: upgrade"),
    "600": head(b"HTTP/1.1 600 Odd"),
    "999": head(b"HTTP/1.1 999 Odd"),
    "two digits": head(b"HTTP/1.1 20 Odd"),
    "four digits": head(b"HTTP/1.1 2000 Odd"),
}
INVALID_LINES = {
    "blank in a name": head(OK, b"X Odd: 1"),
    "blank after a name": head(OK, b"X-Odd : 1"),
    "control byte in a name": head(OK, b"X\x01Odd: 1"),
    "no name": head(OK, b": 1"),
    "no colon": head(OK, b"X-Odd"),
    "blank first": head(OK, before=b" X-Odd: 1\r\n"),
    "tab first": head(OK, before=b"\tX-Odd: 1\r\n"),
    "folded": head(OK, b"X-Odd: 1", b" folded"),
    "control byte in a value": head(OK, b"X-Odd: a\x01b"),
    "NUL in a value": head(OK, b"X-Odd: a\x00b"),
    "CR in a value": head(OK, b"X-Odd: a\rb"),
    "DEL in a value": head(OK, b"X-Odd: a\x7fb"),
    "control byte in the reason": head(b"HTTP/1.1 200 O\x01K"),
    "blank line first": b"\r\n" + head(),
    "other protocol": head(b"ICY 200 OK"),
    "other version": head(b"HTTP/2.0 200 OK"),
}
INVALID_FRAMING = {
    "gzip": head(framing=b"Transfer-Encoding: gzip") + b"done",
    "gzip, chunked": head(framing=b"Transfer-Encoding: gzip, chunked") + CHUNKS,
    "chunked, gzip": head(framing=b"Transfer-Encoding: chunked, gzip") + CHUNKS,
    "chunked twice": head(framing=b"Transfer-Encoding: chunked, chunked") + CHUNKS,
    "identity": head(framing=b"Transfer-Encoding: identity") + b"done",
    "empty coding": head(framing=b"Transfer-Encoding:") + b"done",
    "HTTP/1.0": head(b"HTTP/1.0 200 OK", framing=b"Transfer-Encoding: chunked")
    + CHUNKS,
    "coding and length": head(OK, b"Transfer-Encoding: chunked") + CHUNKS,
    "list of lengths": head(framing=b"Content-Length: 4, 4") + b"done",
    "two lengths": head(OK, b"Content-Length: 5") + b"done!",
    "sign": head(framing=b"Content-Length: +4") + b"done",
    "negative length": head(framing=b"Content-Length: -1") + b"done",
}

CODED = head(framing=b"Transfer-Encoding: chunked")
INVALID_CHUNKS = {
    "size too small": CODED + b"3\r\ndone\r\n0\r\n\r\n",
    "size too large": CODED + b"5\r\ndone\r\n0\r\n\r\n",
    "line end in a chunk": CODED + b"5\r\ndone\r\n\n0\r\n\r\n",
    "line feed alone": CODED + b"4\r\ndone\n0\r\n\r\n",
    "no size": CODED + b"\r\ndone\r\n0\r\n\r\n",
    "negative size": CODED + b"-4\r\ndone\r\n0\r\n\r\n",
    "huge size": CODED + b"f" * 20 + b"\r\ndone\r\n0\r\n\r\n",
    "no last chunk": CODED + b"4\r\ndone\r\n",
    "no end": CODED + b"4\r\ndone\r\n0\r\n",
    "malformed trailer": CODED + b"4\r\ndone\r\n0\r\nX Odd: 1\r\n\r\n",
}
EXTRA = {
    "garbage": head() + b"donegarbage",
    "line end": head() + b"done\r\n",
    "another answer": (head() + b"done") * 2,
    "another head": head() + b"done" + head(b"HTTP/1.1 500 No"),
    "garbage after chunks": CODED + CHUNKS + b"garbage",
}


def parametrize(answers):
    """Return a decorator that runs a test with each of the answers, by name."""
    return pytest.mark.parametrize("raw", answers.values(), ids=answers.keys())


def document_of(kind):
    """Return a document with one route of a kind."""
    return build_routing_document(routes=(build_route(kind=kind),))


async def answers_of(kind, raw):
    """Return (status, headers, body) of the answer to a caller.

    The endpoint that is asked first sends the bytes, another one a sound answer.
    """
    broken = StandInEndpoint("broken", raw_answers.sending(raw))
    sound = StandInEndpoint("sound", sound_answer(kind))
    async with site(broken, sound, document=document_of(kind)) as (running, session):
        running.gateway.directory.histories["sound"].own.requests = 3
        status, headers, body = await call(running, session)
    assert len(broken.seen) == 1
    return status, headers, body


def sound_answer(kind):
    """Return the answer function of a sound endpoint."""
    return engines.streaming(1, 2) if kind.is_stream else engines.whole(b"sound")


async def expect_no_answer(kind, raw):
    """Check that a caller gets no success from a broken answer, nor its status."""
    status, headers, body = await answers_of(kind, raw)
    if kind.is_repeatable:
        assert (status, body) == (200, b"sound")
    else:
        assert status == 502
        assert "Signed" not in headers
    assert b"done" not in body


@pytest.mark.parametrize("kind", KINDS)
@parametrize(INVALID_STATUSES)
async def test_an_answer_with_an_invalid_status_is_not_forwarded(raw, kind):
    """Guard against a status such as 000 that reaches a caller as an answer."""
    await expect_no_answer(kind, raw + b"done")


@pytest.mark.parametrize("kind", KINDS)
@parametrize(INVALID_LINES)
async def test_an_answer_with_an_invalid_line_in_its_head_is_not_forwarded(raw, kind):
    """Guard against fields that HTTP does not allow, and against no answer at all."""
    await expect_no_answer(kind, raw + b"done")


@pytest.mark.parametrize("kind", KINDS)
@parametrize(INVALID_FRAMING)
async def test_an_answer_whose_end_is_not_defined_is_not_forwarded(raw, kind):
    """Guard against bytes that are not the body, or a part taken for the whole."""
    await expect_no_answer(kind, raw)


@pytest.mark.parametrize("kind", KINDS)
@parametrize(INVALID_CHUNKS)
async def test_an_answer_in_malformed_chunks_is_not_forwarded(raw, kind):
    """Guard against a body with bytes that frame it, or without some of its own."""
    await expect_no_answer(kind, raw)


@parametrize(EXTRA)
async def test_an_answer_with_bytes_behind_it_is_forwarded_without_them(raw):
    """Guard against a whole answer that is lost, and bytes that answer nothing."""
    endpoint = StandInEndpoint("e-1", raw_answers.sending(raw))
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(endpoint, document=document) as (running, session):
        for _ in range(3):
            status, _, body = await call(running, session)
            assert (status, body) == (200, b"done")


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("body", [LONG_BODY, b"{}"])
async def test_an_answer_that_is_reset_during_the_upload_is_not_forwarded(kind, body):
    """Guard against half an answer without a length that passes for a whole one."""
    raw = head(framing=b"") + b"half an ans"
    endpoint = EarlyAnswer(raw, resets=True)
    await endpoint.start()
    document = build_routing_document(routes=(build_route(kind=kind),))
    async with site(document=document) as (running, session):
        listed = build_endpoint("e-1", port=endpoint.port)
        running.gateway.directory.presences.listed(listed)
        status, _, got = await call(running, session, body=body)
    assert endpoint.requests == 1
    assert status == 502
    assert b"half" not in got


@pytest.mark.parametrize("body", [LONG_BODY, b"{}"])
async def test_a_whole_answer_without_a_length_is_forwarded_during_the_upload(body):
    """Guard against a whole answer that is lost as the upload can't be finished."""
    endpoint = EarlyAnswer(head(framing=b"") + b"done", resets=False)
    await endpoint.start()
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(document=document) as (running, session):
        listed = build_endpoint("e-1", port=endpoint.port)
        running.gateway.directory.presences.listed(listed)
        status, _, got = await call(running, session, body=body)
    assert (status, got) == (200, b"done")


@pytest.mark.parametrize(
    "raw",
    [
        head(framing=b"") + b"done",
        head(b"HTTP/1.0 200 OK", framing=b"") + b"done",
        head(framing=b"content-length:4") + b"done",
        head(framing=b"Transfer-Encoding: Chunked ") + b"4;a=b\r\ndone\r\n0\r\n\r\n",
        head(b"HTTP/1.1 200", b"X-Odd:\t\xe9 \x09 b ") + b"done",
        b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + head() + b"done",
    ],
)
async def test_an_answer_that_http_allows_is_forwarded(raw):
    """Guard against a check that is stricter than the grammar."""
    endpoint = StandInEndpoint("e-1", raw_answers.sending(raw))
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(endpoint, document=document) as (running, session):
        for _ in range(5):
            status, headers, body = await call(running, session)
            assert (status, body) == (200, b"done")
            assert headers["Signed"] == "yes"


async def test_a_broken_answer_that_says_not_run_is_not_believed():
    """Guard against sending a request again that may have run."""
    raw = head(b"HTTP/1.1 503 No", b"Not-Run: 1", b"Leaving: 1", b"X Odd: 1") + b"done"
    broken = StandInEndpoint("broken", raw_answers.sending(raw))
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(broken, document=document) as (running, session):
        assert (await call(running, session))[0] == 502
        listed = running.gateway.directory.usable("advice")
        assert [each.name for each in listed] == ["broken"]


CONTRADICTIONS = {
    "two ids": (OK, b"Attempt-Id: other"),
    "two ids, not run": (b"HTTP/1.1 503 No", b"Attempt-Id: other", b"Not-Executed: 1"),
    "two stamps": (OK, b"Server-Stamp: other"),
    "not run": (OK, b"Not-Executed: 1"),
    "encoded": (OK, b"Content-Encoding: identity", b"Content-Encoding: gzip"),
}


@pytest.mark.parametrize(
    "lines", CONTRADICTIONS.values(), ids=list(CONTRADICTIONS.keys())
)
async def test_an_answer_that_contradicts_itself_is_not_forwarded(lines):
    """Guard against the answer to another request, and a false "not run"."""
    own = (b"Attempt-Id: r-1", b"Server-Stamp: s", b"Content-Length: 4")
    status_line, *others = lines
    assert await call_platform(b"\r\n".join((status_line, *own, *others))) == 502


async def test_a_success_with_an_empty_stamp_is_not_forwarded():
    """Guard against a success that no engine has vouched for."""
    lines = (OK, b"Attempt-Id: r-1", b"Server-Stamp: ", b"Content-Length: 4")
    assert await call_platform(b"\r\n".join(lines)) == 502


async def call_platform(head):
    """Return the status for a caller if an engine of the platform sends a head."""
    raw = head + b"\r\n\r\ndone"
    engine = StandInEndpoint("e-1", raw_answers.sending(raw))
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(engine, document=document, adapter=PlatformHeadersAdapter) as (
        running,
        session,
    ):
        told = {"Host": "club.example", "Attempt-Id": "r-1", "Api-Key": "club-key"}
        async with session.post(running.url + PATH, headers=told) as answer:
            await answer.read()
            return answer.status


class UnwritableHeadAdapter(PlainAdapter):
    """Pass a header on that no response can have."""

    def read_answer(self, status, headers):
        read = super().read_answer(status, headers)
        return replace(read, headers=[*read.headers, ("X-Odd", "a\nb")])


@pytest.mark.parametrize("kind", [RequestKind.NON_IDEMPOTENT, RequestKind.STREAM])
async def test_a_caller_gets_an_error_if_the_head_can_not_be_written(kind):
    """Guard against a closed connection in place of an answer."""
    endpoint = StandInEndpoint("e-1", sound_answer(kind))
    async with site(
        endpoint, document=document_of(kind), adapter=UnwritableHeadAdapter
    ) as (running, session):
        status, headers, body = await call(running, session)
    assert status in (500, 502)
    assert "Signed" not in headers
    assert b"sound" not in body


QUOTED = b"odd" * 200
QUOTING = {
    "status line": QUOTED + b"\r\n\r\n",
    "field": head(OK, b"X " + QUOTED + b": 1"),
    "chunk": head(framing=b"Transfer-Encoding: chunked") + QUOTED + b"\r\n",
    "cut": head(framing=b"Content-Length: 9999") + QUOTED,
}


@pytest.mark.parametrize("kind", [RequestKind.NON_IDEMPOTENT, RequestKind.STREAM])
@parametrize(QUOTING)
async def test_errors_quote_nothing_of_a_broken_answer(raw, kind, caplog):
    """Guard against an endpoint's bytes in errors, and against logs without a cause."""
    caplog.set_level(logging.INFO)
    endpoint = StandInEndpoint("e-1", raw_answers.sending(raw))
    async with site(endpoint, document=document_of(kind)) as (running, session):
        status, headers, body = await call(running, session)
    assert status == 502
    assert b"odd" not in body + str(headers).encode()
    (failed,) = find_failures(caplog)
    assert failed.endpoint == "e-1"
    assert 0 < len(failed.reason) < 300


ENDLESS = {
    "line": (OK + b"\r\n", b"x" * 1024),
    "value": (OK + b"\r\nX-Odd: ", b"x" * 1024),
    "fields": (OK + b"\r\n", b"X-Odd: 1\r\n" * 100),
    "reason": (b"HTTP/1.1 200 ", b"x" * 1024),
    "blank lines": (b"", b"\r\n" * 512),
    "interim answers": (b"", b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" * 30),
    "NUL": (b"", b"\0" * 1024),
    "body": (head(framing=b""), b"x" * 64 * 1024),
    "chunks": (
        head(framing=b"Transfer-Encoding: chunked"),
        engines.chunk(b"x" * 64 * 1024),
    ),
    "chunk extension": (
        head(framing=b"Transfer-Encoding: chunked") + b"4;",
        b"x" * 1024,
    ),
    "trailers": (
        head(framing=b"Transfer-Encoding: chunked") + b"0\r\n",
        b"X-Odd: 1\r\n" * 100,
    ),
}
MEGABYTE = 1024 * 1024
MEMORY_MEGABYTES = 100.0
# Of a gateway whose settings say nothing of memory.
DEFAULT_MEMORY_MEGABYTES = 1024.0


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("parts", ENDLESS.values(), ids=list(ENDLESS))
async def test_bytes_without_end_are_given_up(parts, kind):
    """Guard against an endpoint that fills the memory of a gateway or keeps callers."""
    settings = {"memory_megabytes": MEMORY_MEGABYTES}
    taken = await call_endless(parts, kind, **settings)
    assert taken < 0.4 * MEMORY_MEGABYTES + 64


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("part", ["body", "chunks"])
async def test_bodies_without_end_are_given_up_by_default(part, kind):
    """Guard against a gateway that fills the machine as no setting bounds it."""
    taken = await call_endless(ENDLESS[part], kind)
    assert taken < 0.4 * DEFAULT_MEMORY_MEGABYTES + 64


async def call_endless(parts, kind, **settings):
    """Return the most megabytes that an endless answer took while a caller waited."""
    answer = EndlessAnswer(*parts)
    endpoint = StandInEndpoint("e-1", answer)
    loop = asyncio.get_running_loop()
    async with site(endpoint, document=document_of(kind), **settings) as (
        running,
        session,
    ):
        async with measured_memory() as memory:
            began = loop.time()
            status, _, _ = await call(running, session)
            seconds = loop.time() - began
        async with asyncio.timeout(1.0):
            await answer.ended.wait()
        assert running.gateway.memory.total == 0
    assert status in (502, 504)
    assert seconds < PATIENCE_SECONDS + 1.0
    return memory.megabytes


@contextlib.asynccontextmanager
async def measured_memory():
    """Yield an object whose megabytes are the most that the block took so far."""
    process = psutil.Process()
    before = process.memory_info().rss
    measured = types.SimpleNamespace(megabytes=0.0)

    async def measure():
        while True:
            taken = (process.memory_info().rss - before) / MEGABYTE
            measured.megabytes = max(measured.megabytes, taken)
            await asyncio.sleep(0.01)

    task = asyncio.create_task(measure())
    try:
        yield measured
    finally:
        task.cancel()


COUNTED = {
    "status": (
        [INVALID_STATUSES["000"]],
        "malformed answer: status 000 is not within 100 to 599",
    ),
    "field": ([INVALID_LINES["folded"]], "malformed answer: line 5 is no field"),
    "chunk": ([CODED, b"3\r\ndone\r\n"], "broke off: MalformedAnswer("),
}


@pytest.mark.parametrize("kind", [RequestKind.NON_IDEMPOTENT, RequestKind.STREAM])
@pytest.mark.parametrize("rule", COUNTED)
async def test_malformed_answers_are_logged_and_counted_by_rule(rule, kind, caplog):
    """Guard against an engine in trouble that no log or metric names."""
    caplog.set_level(logging.INFO)
    parts, reason = COUNTED[rule]
    endpoint = StandInEndpoint("e-1", raw_answers.sending(*parts))
    async with site(endpoint, document=document_of(kind)) as (running, session):
        await call(running, session)
        text, _ = running.gateway.metrics.catalogue.expose()
        history = running.gateway.directory.histories["e-1"]
    assert f'malformed_answers_total{{rule="{rule}"}} 1.0'.encode() in text
    (failed,) = find_failures(caplog)
    assert failed.endpoint == "e-1"
    assert reason in failed.reason
    assert history.failures == (rule != "chunk")


def find_failures(caplog):
    """Return the log records of answers that were lost."""
    messages = ("sending failed", "stream broken")
    return [each for each in caplog.records if each.getMessage() in messages]


MUTATED = (
    head(OK, b"X-Odd: 1") + b"done",
    head(framing=b"Transfer-Encoding: chunked") + b"2\r\ndo\r\n2;a\r\nne\r\n0\r\n\r\n",
    head(framing=b"") + b"done",
)
CHANGES = b"\0\x01\r\n \t:;,0159AZaz\x7f\x80\xff"


def mutate(raw, source):
    """Return the bytes with some of them set, removed, inserted or cut off."""
    changed = bytearray(raw)
    for _ in range(source.randint(1, 3)):
        index = source.randrange(len(changed))
        match source.choice(("set", "remove", "insert", "cut")):
            case "set":
                changed[index] = source.choice(CHANGES)
            case "remove":
                del changed[index]
            case "insert":
                changed.insert(index, source.choice(CHANGES))
            case "cut" if source.random() < 0.1:
                del changed[max(index, 1) :]
    return bytes(changed)


@pytest.mark.parametrize("seed", range(6))
async def test_mutated_answers_give_no_status_and_no_bytes_that_were_not_sent(
    seed, caplog
):
    """Guard against broken answers that no list of cases has."""
    caplog.set_level(logging.ERROR)
    source = random.Random(seed)
    endpoint = StandInEndpoint("e-1", engines.never_answer)
    document = document_of(RequestKind.NON_IDEMPOTENT)
    async with site(endpoint, document=document) as (running, session):
        for _ in range(60):
            raw = mutate(source.choice(MUTATED), source)
            endpoint.answer = raw_answers.sending(raw)
            running.gateway.directory.histories.clear()
            status, headers, body = await call(running, session)
            if "Signed" in headers:
                assert raw.startswith(b"HTTP/1.")
                assert status == int(raw[9:12])
                assert body.replace(b"done", b"") in raw
            else:
                assert status == 502 or status == int(raw[9:12]) >= 300
    assert caplog.records == []


async def test_nothing_that_an_endpoint_sends_is_an_unhandled_exception(caplog):
    """Guard against a closed connection and a traceback in place of an answer."""
    caplog.set_level(logging.ERROR)
    for raw in (
        INVALID_STATUSES | INVALID_LINES | INVALID_FRAMING | INVALID_CHUNKS | EXTRA
    ).values():
        await answers_of(RequestKind.NON_IDEMPOTENT, raw + b"done")
    assert caplog.records == []
