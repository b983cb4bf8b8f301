"""Check that all who read answers reject the ones that are broken."""

import argparse
import asyncio
import json

import aiohttp
import pytest
from support import raw_answers
from support.builders import build_request
from support.engines import StandInEndpoint, read_request
from support.gateways import build_settings, free_ports
from support.odd_rows import HUGE, nested
from support.raw_answers import EarlyAnswer, EndlessAnswer, head

from fescuedrum.answers.connection import AnswerConnector
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.groups.engines import DisarmMap, OrderResult
from fescuedrum.once import open_session
from fescuedrum.outcomes import Outcome
from fescuedrum.platform.client import PlatformClient
from fescuedrum_agent.request.answer import Answer
from fescuedrum_agent.request.execution import Execution
from fescuedrum_entry.operators.client import ApiError, OperatorClient
from fescuedrum_gateway.process.followers import TableFollower
from fescuedrum_gateway.version.replica import Replica
from fescuedrum_platform.engines import PlatformEngines
from fescuedrum_platform.store import PlatformStore

REPORT = {
    "group": {"name": "g", "epoch": 2, "rank": 3, "state": "open"},
    "size": 12,
    "step": 9,
    "mapping": 4,
}
COUNTS = {"step": 9, "epoch": 2, "counts": [1, 2]}
MAP = {"epoch": 2, "mapping": {"version": 4, "experts": [[0, 1], [2]]}}
PAGE = {"rows": [], "schema_version": 7, "has_more": False}
CHANGES = {"rows": [], "version": 7, "whole": True}
SOUND = REPORT | COUNTS | PAGE | CHANGES


def answer_of(data, status=b"200 OK", *fields):
    """Return the bytes of an answer with JSON data, or with a JSON text."""
    body = (data if isinstance(data, str) else json.dumps(data)).encode()
    length = b"Content-Length: %d" % len(body)
    return head(b"HTTP/1.1 " + status, *fields, framing=length) + body


BROKEN = {
    "status 000": answer_of(SOUND, b"000 Odd"),
    "status 600": answer_of(SOUND, b"600 Odd"),
    "upgrade": answer_of(SOUND, b"101 Odd"),
    "failure": answer_of(SOUND, b"503 No"),
    "blank in a name": answer_of(SOUND, b"200 OK", b"X Odd: 1"),
    "control byte": answer_of(SOUND, b"200 OK", b"X-Odd: \x01"),
    "other coding": head(framing=b"Transfer-Encoding: gzip")
    + json.dumps(SOUND).encode(),
    "cut": answer_of(SOUND)[:-1],
    "no JSON": answer_of("{"),
    "deep JSON": answer_of(nested(100_000)),
    "no object": answer_of("7"),
    "number of 5,000 digits": answer_of("9" * 5000),
}
ODD_VERSION = {"rows": [], "schema_version": None, "version": None, "whole": True}
ODD_ROW = {"rows": [{"key": ["a"], "value": "", "schema_version": 1, "version": 1}]}
ODD_ROWS = {
    "infinite version": json.dumps(ODD_VERSION).replace("null", "Infinity"),
    "version that is no number": json.dumps(ODD_VERSION | {"schema_version": "7"}),
    "key that is no text": SOUND | ODD_ROW,
    "value that is no text": SOUND
    | {"rows": [{**ODD_ROW["rows"][0], "key": "a"}]}
    | {"rows": [{"key": "a", "value": 3, "schema_version": 1, "version": 1}]},
    "row that is no object": SOUND | {"rows": [3]},
}
BROKEN_PAGES = BROKEN | {name: answer_of(data) for name, data in ODD_ROWS.items()}
ODD_REPORTS = {
    "huge size": REPORT | {"size": 10**9},
    "rank beyond the size": REPORT | {"group": {**REPORT["group"], "rank": 12}},
    "negative rank": REPORT | {"group": {**REPORT["group"], "rank": -1}},
    "huge step": json.dumps(REPORT).replace('"step": 9', f'"step": {HUGE}'),
    "no group": REPORT | {"group": []},
}


class BrokenPeer:
    """Serve one answer to all requests on a loopback port."""

    def __init__(self, raw):
        self.endpoint = StandInEndpoint("peer", raw_answers.sending(raw))

    async def __aenter__(self):
        await self.endpoint.start()
        return self.endpoint.port

    async def __aexit__(self, *_):
        self.endpoint.server.close()


def parametrize(answers):
    """Return a decorator that runs a test with each of the answers, by name."""
    return pytest.mark.parametrize("raw", answers.values(), ids=list(answers))


@parametrize(BROKEN | {name: answer_of(each) for name, each in ODD_REPORTS.items()})
async def test_a_broken_report_of_an_engine_is_not_used(raw):
    """Guard against a group that is led by what no rank has said."""
    async with (
        BrokenPeer(raw) as port,
        aiohttp.ClientSession(connector=AnswerConnector()) as session,
    ):
        engines = PlatformEngines(session, 1000.0)
        assert await engines.read_report(("127.0.0.1", port)) is None


@pytest.mark.parametrize(
    "counts", [[1, -1], [1, 2.5], [True], [[1]], [10**30], {"a": 1}, None]
)
async def test_broken_counts_and_maps_of_an_engine_are_not_used(counts):
    """Guard against a task that ends at what an engine counts or holds."""
    data = {"counts": counts, "mapping": {"version": 4, "experts": [counts]}}
    async with (
        BrokenPeer(answer_of(SOUND | data)) as port,
        aiohttp.ClientSession(connector=AnswerConnector()) as session,
    ):
        engines = PlatformEngines(session, 1000.0)
        assert await engines.read_counts(("127.0.0.1", port)) is None
        assert await engines.read_map(("127.0.0.1", port)) is None


@pytest.mark.parametrize("status", [b"000 Odd", b"099 Odd", b"600 Odd", b"302 Found"])
async def test_a_broken_answer_to_an_order_is_no_answer(status):
    """Guard against an order that is taken for carried out, or sent elsewhere."""
    other = StandInEndpoint("other", raw_answers.sending(answer_of({})))
    await other.start()
    location = b"Location: http://127.0.0.1:%d/order" % other.port
    async with (
        BrokenPeer(answer_of({}, status, location)) as port,
        aiohttp.ClientSession(connector=AnswerConnector()) as session,
    ):
        engines = PlatformEngines(session, 1000.0)
        result = await engines.send_order(("127.0.0.1", port), 1, DisarmMap(1))
    other.server.close()
    assert result is OrderResult.UNANSWERED
    assert other.seen == []


@parametrize(BROKEN_PAGES)
async def test_a_broken_answer_of_the_store_is_an_outage(raw):
    """Guard against a task that ends, or a table that is taken for empty."""
    async with (
        BrokenPeer(raw) as port,
        aiohttp.ClientSession(connector=AnswerConnector()) as session,
    ):
        store = PlatformStore(f"http://127.0.0.1:{port}", session)
        with pytest.raises(StoreUnavailable):
            await store.read_table("t")
        with pytest.raises(StoreUnavailable):
            await store.wait_for_changes("t", 1, 0.0)


@parametrize(BROKEN)
async def test_a_broken_answer_of_the_platform_is_an_outage(raw):
    """Guard against entries and agents that act on what the platform did not say."""
    async with (
        BrokenPeer(raw) as port,
        aiohttp.ClientSession(connector=AnswerConnector()) as session,
    ):
        client = PlatformClient(f"http://127.0.0.1:{port}", session)
        with pytest.raises(StoreUnavailable):
            await client.read_table("t")


@parametrize(BROKEN_PAGES)
async def test_broken_changes_of_another_gateway_are_not_applied(raw):
    """Guard against a copy of a table that stops following."""
    async with (
        BrokenPeer(raw) as port,
        aiohttp.ClientSession(connector=AnswerConnector()) as session,
    ):
        callers, ready, _ = free_ports(3)
        settings = build_settings("g", "127.0.0.1", (callers, ready, port))
        peer = argparse.Namespace(host="127.0.0.1")
        follower = TableFollower("t", Replica("t"), None, None, session, settings, None)
        assert not await follower.pull_from(peer)
        assert not follower.replica.loaded


async def test_answers_without_end_are_given_up_at_a_size():
    """Guard against a process that is filled by one answer within its time."""
    parts = (head(framing=b"Transfer-Encoding: chunked"), b"10000\r\n" + b" " * 65536)
    answer = EndlessAnswer(parts[0], parts[1] + b"\r\n")
    endpoint = await StandInEndpoint("peer", answer).start()
    async with aiohttp.ClientSession(connector=AnswerConnector()) as session:
        engines = PlatformEngines(session, 1000.0)
        engines.timeout = aiohttp.ClientTimeout(total=20.0)
        assert await engines.read_report(("127.0.0.1", endpoint.port)) is None
        await asyncio.wait_for(answer.ended.wait(), 1.0)
        client = PlatformClient(
            f"http://127.0.0.1:{endpoint.port}", session, timeout=20.0
        )
        with pytest.raises(StoreUnavailable, match="more than"):
            await client.read_table("t")
    endpoint.server.close()


@parametrize({name: raw for name, raw in BROKEN.items() if "JSON" not in name})
async def test_an_agent_passes_on_no_broken_answer(raw):
    """Guard against a success with a status or a body that is not the endpoint's."""
    answer = Answer()
    async with (
        BrokenPeer(raw) as port,
        open_session(keep_connections=True) as session,
    ):
        request = build_request()
        await Execution(session, f"http://127.0.0.1:{port}", request, answer).run()
    if answer.status is None or raw == BROKEN["cut"]:
        assert answer.outcome is Outcome.UNKNOWN
    else:
        assert answer.status in (200, 503)
        assert raw in (BROKEN["failure"], *sound_for_agents())
    assert "Odd" not in answer.reason


def sound_for_agents():
    """Return the answers whose bodies only a reader of JSON rejects."""
    return [BROKEN[name] for name in ("no object", "number of 5,000 digits")]


@pytest.mark.parametrize("body", [b"x" * (4 * 1024 * 1024), b"{}"])
async def test_an_agent_takes_no_part_of_an_answer_for_the_whole(body):
    """Guard against half an answer when the connection is reset during the upload."""
    endpoint = EarlyAnswer(head(framing=b"") + b"half", resets=True)
    await endpoint.start()
    answer = Answer()
    async with open_session(keep_connections=True) as session:
        base = f"http://127.0.0.1:{endpoint.port}"
        await Execution(session, base, build_request(body=body), answer).run()
    assert answer.outcome is Outcome.UNKNOWN


@parametrize(BROKEN | {"odd error": answer_of({"error": 7}, b"409 No")})
async def test_the_command_line_reports_a_broken_answer(raw):
    """Guard against a traceback, or a success that no entry has confirmed."""
    if raw == BROKEN["failure"]:
        raw = answer_of({"error": {"code": "x"}}, b"503 No")
    async with BrokenPeer(raw) as port:
        arguments = argparse.Namespace(
            entry=f"http://127.0.0.1:{port}", token_file=None
        )
        with pytest.raises(ApiError):
            await OperatorClient(arguments).call("GET", "status")


class TalkativePeer:
    """Send a second answer, which nobody has asked for, some time after the first."""

    def __init__(self):
        self.connections = 0

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.connections += 1
        try:
            while True:
                await read_request(reader, writer)
                writer.write(answer_of({"number": self.connections}))
                await asyncio.sleep(0.05)
                writer.write(answer_of({"number": "late"}))
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


async def test_a_late_second_answer_is_not_that_of_the_next_request():
    """Guard against the answer to an earlier request on a kept connection."""
    peer = TalkativePeer()
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    numbers = []
    async with aiohttp.ClientSession(connector=AnswerConnector()) as session:
        for _ in range(4):
            async with session.get(url) as answer:
                numbers.append((await answer.json(content_type=None))["number"])
            await asyncio.sleep(0.15)
    server.close()
    assert numbers == [1, 2, 3, 4]
