"""Check how the adapter translates the platform's rows, headers, answers and orders."""

import base64
import json

import pytest
from multidict import CIMultiDict

from fescuedrum.conf.routing import RequestKind
from fescuedrum.decisions.placing.presence import EndpointState
from fescuedrum.decisions.placing.ratelimits import Limited, NotUnderstood, Unlimited
from fescuedrum.exceptions import (
    BadRequest,
    HistoryLost,
    RowNotUnderstood,
    StoreUnavailable,
)
from fescuedrum.groups.engines import ArmMap, HoldPass, PrepareMap, ReleasePass
from fescuedrum.platform.interfaces import VersionedRow
from fescuedrum_gateway.adapter import ForwardHead, ZoneOut
from fescuedrum_platform import documents, engines, headers, listing
from fescuedrum_platform.store import PlatformStore

ROUTE = {
    "name": "r-1",
    "host": "Club.example",
    "prefix": "/a/",
    "type": "stream",
    "timeout_ms": 8000,
    "slo_ms": 402,
    "priority": 1,
    "split": [{"service": "one", "weight": 90}, {"service": "two", "weight": 10}],
    "max_attempts": 2,
    "public": False,
    "resumable": True,
}
ENGINE = {
    "slots": 6,
    "kv_capacity": 247000,
    "step_ms": 5.2,
    "per_seq_ms": 1.5,
    "sets": 4,
    "experts": 72,
    "placements": 8,
    "spare": 3,
    "expert_mb": 2200.0,
    "link_mbps": 180000.0,
}
SERVICE = {"name": "one", "max_conns": 408, "cold_per_s": 36.0, "engine": ENGINE}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [SERVICE],
    "limits": {"max_body_bytes": 1000},
    "tenants": [{"name": "club", "api_keys": ["k1", "k2"], "priority": 1}],
}
ENTRY = {
    "service": "one",
    "address": "10.0.0.9:8080",
    "zone": "zone-1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 1500,
    "seq": 4,
}


def row(key, value):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return VersionedRow(key, raw, 1)


def test_configuration_is_decoded_to_a_routing_document():
    document = documents.read_operators_row(row("config", CONFIG))
    assert document.version == 7
    (route,) = document.routes
    assert route.host == "club.example"
    assert route.kind is RequestKind.RESUMABLE_STREAM
    assert route.timeout == 8.0
    assert [share.service for share in route.shares] == ["one", "two"]
    (service,) = document.services
    assert service.engine.step_seconds == pytest.approx(0.0052)
    assert service.engine.per_request_seconds == pytest.approx(0.0015)
    assert service.engine.experts.copy_seconds == pytest.approx(0.0978, abs=1e-4)
    assert document.organisations[0].keys == ("k1", "k2")
    assert document.limits.maximum_body_bytes == 1000


@pytest.mark.parametrize(
    ("kind", "resumable", "expected"),
    [
        ("idempotent", False, RequestKind.IDEMPOTENT),
        ("non_idempotent", False, RequestKind.NON_IDEMPOTENT),
        ("stream", False, RequestKind.STREAM),
    ],
)
def test_route_type_is_decoded_to_a_request_kind(kind, resumable, expected):
    changed = ROUTE | {"type": kind, "resumable": resumable}
    document = documents.read_operators_row(
        row("config", CONFIG | {"routes": [changed]})
    )
    assert document.routes[0].kind is expected


def test_zone_row_is_decoded_and_unknown_row_is_ignored():
    assert documents.read_operators_row(row("evacuate/zone-1", {})) == ZoneOut("zone-1")
    assert documents.read_operators_row(row("else", {})) is None


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("type", "odd"),
        ("timeout_ms", None),
        ("timeout_ms", 10**400),
        ("prefix", 3),
        ("split", []),
    ],
)
def test_error_for_a_malformed_configuration_names_the_field(field, value):
    changed = CONFIG | {"routes": [ROUTE | {field: value}]}
    with pytest.raises(RowNotUnderstood, match=field):
        documents.read_operators_row(row("config", changed))


def test_a_rate_of_zero_is_malformed():
    changed = CONFIG | {"services": [SERVICE | {"engine": ENGINE | {"link_mbps": 0}}]}
    with pytest.raises(RowNotUnderstood, match="link_mbps"):
        documents.read_operators_row(row("config", changed))


def test_row_is_decoded_to_a_listed_endpoint():
    endpoint = listing.read_endpoint(row("i-1", ENTRY | {"born": 17}))
    assert endpoint.name == "i-1"
    assert (endpoint.host, endpoint.port) == ("10.0.0.9", 8080)
    assert endpoint.state is EndpointState.READY
    assert endpoint.cold_seconds == 1.5
    assert endpoint.started_at == 17


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b"[" * 100000,
        ENTRY | {"address": "10.0.0.9"},
        ENTRY | {"address": "10.0.0.9:99999"},
        ENTRY | {"slots": "6"},
        ENTRY | {"slots": True},
        ENTRY | {"state": "dreaming"},
        {key: ENTRY[key] for key in ENTRY if key != "zone"},
    ],
)
def test_malformed_endpoint_row_is_rejected(value):
    with pytest.raises(RowNotUnderstood):
        listing.read_endpoint(row("i-1", value))


def test_caller_cannot_set_headers_that_are_reserved_for_gateways():
    """A caller that sends the gateways' headers is served as another organisation."""
    received = CIMultiDict(
        {
            "Attempt-Id": "a",
            "Api-Key": "k1",
            "Tenant": "other",
            "Expect-Instance": "i-9",
            "Request-Urgency": "0",
            "Deadline-Ms": "8050",
            "Token-Count": "1460,80",
            "Connection": "X-Hop",
            "X-Hop": "1",
            "X-Mine": "kept",
        }
    )
    head = headers.read_call(received)
    assert head.seconds_left == 8.05
    assert head.prompt_tokens == 1460
    send = ForwardHead("i-1", 7.5, "club", 12, "")
    sent = headers.write_call(head, send)
    assert len({name.lower() for name, _ in sent}) == len(sent)
    assert dict(sent) == {
        "Attempt-Id": "a",
        "Token-Count": "1460,80",
        "X-Mine": "kept",
        "Deadline-Ms": "7500",
        "Expect-Instance": "i-1",
        "Request-Urgency": "9",
        "Tenant": "club",
    }


@pytest.mark.parametrize(
    ("text", "own_part"),
    [("", ""), ("e4402b7d:250", "e4402b7d"), ("5c1e07a2:800, e440 :2", "e440")],
)
def test_the_last_part_of_a_prompt_is_the_requests_own(text, own_part):
    received = CIMultiDict({"Attempt-Id": "r-1", "Prefix-Hash": text})
    assert headers.read_call(received).own_part == own_part


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("", ()),
        ("e4402b7d:250", ()),
        ("5c1e07a2:800, 91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (":800,5c1e07a2,e4402b7d:250", ("5c1e07a2",)),
        (f"{'f' * 65}:1,5c1e07a2:1,e4402b7d:250", ("5c1e07a2",)),
        ("5c\udce17a2:1,91bd3f06:1,e4402b7d:250", ("91bd3f06",)),
        (",".join(f"{number}:1" for number in range(60)), tuple(map(str, range(32)))),
    ],
)
def test_parts_of_a_prompt_are_decoded_without_the_requests_own(text, parts):
    received = CIMultiDict({"Attempt-Id": "r-1", "Prefix-Hash": text})
    call_head = headers.read_call(received)
    assert call_head.prompt_parts == parts
    assert ("Prefix-Hash", text) in call_head.headers


@pytest.mark.parametrize(
    ("counts", "hint", "expected"),
    [
        ("1460,80", "60", 60),
        ("1460,80", "300", 80),
        ("1460", "300", 300),
        ("1460,80", "", 0),
        ("1460,80", "many", 0),
        ("", "60", 60),
    ],
)
def test_the_expected_length_is_the_estimate_up_to_the_maximum(counts, hint, expected):
    received = {"Attempt-Id": "a", "Token-Count": counts, "Length-Hint": hint}
    head = headers.read_call(CIMultiDict(received))
    assert head.expected_tokens == expected
    assert head.maximum_tokens == (80 if counts.endswith(",80") else 0)


@pytest.mark.parametrize("received", [{}, {"Attempt-Id": "a", "Deadline-Ms": "soon"}])
def test_malformed_request_headers_are_a_bad_request(received):
    with pytest.raises(BadRequest):
        headers.read_call(CIMultiDict(received))


def test_answer_headers_are_decoded():
    received = {"Attempt-Id": "a", "Server-Stamp": "s", "Server-Load": "1,0,6"}
    answer = headers.read_answer(200, CIMultiDict(received))
    assert answer.signed
    assert not answer.not_run
    assert dict(answer.headers) == {"Attempt-Id": "a", "Server-Stamp": "s"}
    assert headers.read_answer(503, CIMultiDict({"Not-Executed": "1"})).not_run
    assert headers.read_answer(421, CIMultiDict()).not_run
    assert not headers.read_answer(503, CIMultiDict()).not_run
    assert headers.read_answer(200, CIMultiDict({"Content-Encoding": "br"})).encoded


def test_an_empty_stamp_signs_nothing():
    """Guard against a success that no engine has vouched for."""
    for stamp in ("", " "):
        received = CIMultiDict({"Attempt-Id": "a", "Server-Stamp": stamp})
        assert not headers.read_answer(200, received).signed


def test_an_encoding_after_identity_counts():
    """Guard against an encoded body that passes for the endpoint's own bytes."""
    received = [("Content-Encoding", "identity"), ("Content-Encoding", "gzip")]
    assert headers.read_answer(200, CIMultiDict(received)).encoded


@pytest.mark.parametrize(
    ("status", "added", "fault"),
    [
        (200, [], ""),
        (200, [("Attempt-Id", "a"), ("Server-Stamp", "s")], ""),
        (200, [("Attempt-Id", "b")], "Attempt-Id has 2 values"),
        (503, [("Attempt-Id", "b"), ("Not-Executed", "1")], "Attempt-Id has 2 values"),
        (200, [("Server-Stamp", "t")], "Server-Stamp has 2 values"),
        (200, [("Not-Executed", "1")], "status 200 with Not-Executed"),
        (503, [("Not-Executed", "1")], ""),
    ],
)
def test_headers_that_contradict_each_other_are_a_fault(status, added, fault):
    """Guard against an answer to another request, and a false "not run"."""
    received = [("Attempt-Id", "a"), ("Server-Stamp", "s"), *added]
    assert headers.read_answer(status, CIMultiDict(received)).fault == fault


@pytest.mark.parametrize(
    ("text", "rate"),
    [
        ("2.5", Limited(2.5)),
        ("0", Limited(0.0)),
        ("-1", NotUnderstood("-1")),
        ("inf", NotUnderstood("inf")),
        ("nan", NotUnderstood("nan")),
        ("few", NotUnderstood("few")),
        ("", NotUnderstood("")),
    ],
)
def test_rate_limit_header_is_decoded_and_not_passed_on(text, rate):
    answer = headers.read_answer(200, CIMultiDict({"Server-Limit": text}))
    assert answer.rate == rate
    assert answer.headers == []
    assert headers.read_answer(200, CIMultiDict()).rate == Unlimited()


@pytest.mark.parametrize(
    ("status", "text", "rest"),
    [
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (503, "0", None),
        (503, "-1", None),
        (503, "inf", None),
        (503, "Thu, 01 Jan 2026 00:00:00 GMT", None),
        (429, "3", None),
        (200, "3", None),
    ],
)
def test_rest_is_decoded_from_a_refusal(status, text, rest):
    answer = headers.read_answer(status, CIMultiDict({"Retry-After": text}))
    assert answer.rest_seconds == rest


@pytest.mark.parametrize(("text", "leaving"), [("1", True), ("0", False), ("", False)])
def test_a_leave_is_decoded_from_any_answer_and_not_passed_on(text, leaving):
    received = CIMultiDict({"Server-Leaving": text})
    for status in (200, 500, 503):
        assert headers.read_answer(status, received).is_leaving == leaving
        assert headers.read_answer(status, received).headers == []
    assert not headers.read_answer(200, CIMultiDict()).is_leaving


REPORT = {
    "group": {"name": "g", "epoch": 2, "rank": 3, "state": "open"},
    "size": 12,
    "step": 50,
    "mapping": 0,
    "prepared": None,
    "enabled": None,
    "held": None,
}


def test_report_of_a_rank_is_decoded():
    report = engines.decode_report(REPORT | {"held": 90, "prepared": 5})
    assert (report.group, report.epoch, report.rank) == ("g", 2, 3)
    assert report.is_open
    assert report.held_step == 90
    assert report.prepared_version == 5
    assert report.armed_version is None
    armed = engines.decode_report(REPORT | {"enabled": {"version": 5, "step": 9}})
    assert armed.armed_version == 5


def test_orders_are_encoded_under_the_platforms_names():
    assert engines.encode_order(PrepareMap(4, [[[0, 2], [1]]])) == {
        "op": "prepare",
        "version": 4,
        "mapping": [[[0, 2], [1]]],
    }
    assert engines.encode_order(ArmMap(4, 9)) == {"op": "arm", "version": 4, "step": 9}
    assert engines.encode_order(HoldPass(9)) == {"op": "retention", "step": 9}
    assert engines.encode_order(ReleasePass(9)) == {"op": "go", "step": 9}


class FakeCaller:
    """Return prepared pages in turn in place of HTTP calls."""

    def __init__(self, *pages):
        self.pages = [*pages]
        self.params = []

    async def call_json(self, method, path, params):
        self.params.append(params)
        return self.pages.pop(0)

    async def call(self, method, path, **arguments):
        self.params.append(arguments)
        return self.pages.pop(0)


def page(*keys, version, more=False):
    rows = [
        {
            "key": key,
            "value": base64.b64encode(b"x").decode(),
            "schema_version": version,
        }
        for key in keys
    ]
    return {"rows": rows, "has_more": more, "schema_version": version}


def build_store(*pages):
    store = PlatformStore("http://x", None)
    store.caller = FakeCaller(*pages)
    return store


async def test_table_of_several_pages_is_read_completely():
    store = build_store(page("a", "b", version=5, more=True), page("c", version=6))
    changes = await store.read_table("t")
    assert [each.key for each in changes.rows] == ["a", "b", "c"]
    assert changes.version == 5
    assert changes.whole
    assert store.caller.params[1]["from"] == "b\0"


async def test_a_table_with_the_longest_key_at_the_end_of_a_page_is_read():
    """Guard against a bound that is longer than the store allows for a key."""
    longest = "\u00e9" * 100
    first = page("a", longest, version=5, more=True)
    store = build_store(first, page(longest, "\u00ea", version=5))
    changes = await store.read_table("t")
    assert [each.key for each in changes.rows] == ["a", longest, "\u00ea"]
    assert store.caller.params[1]["from"] == longest


async def test_a_page_of_one_unreadable_row_harms_no_other_page():
    """Guard against a table of which nothing is read because of its last page."""
    last = page("c", version=5)
    last["rows"][0]["value"] = 7
    store = build_store(page("a", "b", version=5, more=True), last)
    changes = await store.read_table("t")
    assert [each.key for each in changes.rows] == ["a", "b", "c"]


async def test_changes_count_the_rows_that_are_left_out():
    """Guard against a call to the store for each change that concerns others."""
    body = page("a", "b", "c", version=9)
    body["rows"][0]["part"] = "other"
    body["rows"][1]["schema_version"] = "9"
    store = build_store((200, json.dumps(body).encode()))
    changes = await store.wait_for_changes("t", 5, 20.0)
    assert [each.key for each in changes.rows] == ["c"]
    assert changes.left_out == 2


async def test_deleted_rows_and_lost_history_are_reported():
    gone = {"rows": [{"key": "a", "schema_version": 9, "deleted": True}]}
    body = json.dumps(gone | {"schema_version": 9}).encode()
    store = build_store((200, body), (410, b""))
    changes = await store.wait_for_changes("t", 5, 20.0)
    assert changes.rows == [VersionedRow("a", None, 9)]
    with pytest.raises(HistoryLost):
        await store.wait_for_changes("t", 5, 20.0)


@pytest.mark.parametrize(
    "answer",
    [
        [],
        {},
        {"rows": [3], "schema_version": 1},
        {"rows": [], "schema_version": True},
        {"rows": [], "schema_version": 2**63},
    ],
)
async def test_malformed_answer_raises_store_unavailable(answer):
    with pytest.raises(StoreUnavailable):
        await build_store(answer).read_table("t")
