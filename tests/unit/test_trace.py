"""Test request traces, as operators see them."""

import json

from support.callers import AUTHORISED, Script, build_entry, send, serving

from fescuedrum.conf.document import KeyHash, hash_key
from fescuedrum.exceptions import OutcomeUnknown, Overloaded
from fescuedrum.platform.interfaces import Instance
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum.wire.gen.members.ttypes import Heartbeat, LoadReport
from fescuedrum_entry.connection.link import Link
from fescuedrum_entry.operators.accounts import Account, Role
from fescuedrum_entry.operators.requests import describe
from fescuedrum_entry.request.trace import Step, TraceBuffer

OPERATOR = "Authorization: Bearer ada.secret"
PATH = "/services/bookings/x"


def build_entry_with_operator(**settings):
    salted = KeyHash("salt", hash_key("salt", "ada.secret"))
    return build_entry(operators=[Account("ada", Role.VIEWER, [salted])], **settings)


class Attempts(Script):
    """Make one refused and one answered attempt over unconnected links."""

    def __init__(self, entry):
        super().__init__()
        self.entry = entry

    async def run(self):
        request_id = self.calls[-1].request_id
        for name, body in (
            ("agent-1", frames.Refusal(1, 1, "full")),
            ("agent-2", frames.End(1, 2, "answered", 2)),
        ):
            instance = Instance(name, "agent", "zone-2", "127.0.0.1", 1)
            link = Link(self.entry, instance)
            link.last_heartbeat = Heartbeat(load=LoadReport(3, 0, 8, True))
            exchange = link.send_request(
                frames.Request(request_id=request_id, attempt=1)
            )
            link.deliver(type(body)(1, 1, *list_rest(body)))
            await exchange.receive()
            exchange.close(finished=True)
        await super().run()


def list_rest(body):
    return [getattr(body, name) for name in body.__slots__[2:]]


async def test_a_trace_shows_the_attempts_and_the_load_of_the_chosen_endpoint(
    monkeypatch,
):
    entry = build_entry_with_operator()
    async with serving(monkeypatch, Attempts(entry), entry) as port:
        _, head, _ = await send(port, "POST", PATH, AUTHORISED)
        request_id = head.split("Fescuedrum-Request-Id: ")[1].split("\r\n")[0]
        path = f"/operators/requests/{request_id}"
        assert (await send(port, "GET", path, AUTHORISED))[0] == 401
        status, _, body = await send(port, "GET", path, OPERATOR)
        _, _, metrics = await send(port, "GET", "/metrics", OPERATOR)
        _, _, listed = await send(port, "GET", "/operators/requests", OPERATOR)
    data = json.loads(body)
    assert status == 200
    assert (data["organisation"], data["outcome"], data["attempts"]) == (
        "club",
        "answered",
        2,
    )
    steps = [event["step"] for event in data["events"]]
    assert steps == ["parsed", "sent", "refused", "sent", "ended"]
    chosen = data["events"][1]["details"]
    assert (chosen["agent"], chosen["running"], chosen["limit"]) == ("agent-1", 3, 8)
    text = "\n".join(describe(data))
    assert "reason full" in text
    assert "answered (ok) after 2 attempts" in text
    assert b'attempts_total{result="refused"} 1.0' in metrics
    assert b'outcome="answered",service="bookings"} 1.0' in metrics
    assert [each["request_id"] for each in json.loads(listed)["requests"]] == [
        request_id
    ]


async def test_metric_labels_do_not_grow_with_unknown_services_and_keys(monkeypatch):
    """Guard against a time series for each unknown name that a scanner requests."""
    entry = build_entry_with_operator()
    async with serving(monkeypatch, entry=entry) as port:
        for index in range(20):
            await send(port, "GET", f"/services/none-{index}/", AUTHORISED)
            await send(port, "GET", PATH, f"Authorization: Bearer x{index}.y")
        _, _, metrics = await send(port, "GET", "/metrics", OPERATOR)
    lines = [
        line
        for line in metrics.decode().splitlines()
        if line.startswith("fescuedrum_requests_total")
    ]
    assert len(lines) == 2
    assert sum(float(line.split()[-1]) for line in lines) == 40


def fill(traces, count, error=None, began=0.0):
    for index in range(count):
        trace = traces.begin(f"{error}-{index}", began)
        trace.organisation = "club"
        if error:
            trace.fail(began + 1, error)
        else:
            trace.end(began + 1, "answered")
        traces.finish(trace)


def test_successful_requests_do_not_overwrite_the_trace_of_a_failed_one():
    """Guard against losing the trace of a failed request before anyone looks it up.

    The entry answers thousands of other requests in the meantime.
    """
    traces = TraceBuffer(10, slow_seconds=5.0)
    fill(traces, 1, OutcomeUnknown())
    (failed,) = traces.recent(10)
    fill(traces, 1000)
    assert traces.find(failed.request_id) is failed
    assert len(traces.ordinary) == 10
    fill(traces, 1000, Overloaded())
    assert len(traces.notable) == 10
    assert not traces.running


def test_an_endlessly_retried_request_keeps_a_bounded_trace():
    trace = TraceBuffer(10, 5.0).begin("r", 0.0)
    for _ in range(10_000):
        trace.add_step(Step.SENT, 1.0)
    assert trace.attempts == 10_000
    assert len(trace.events) <= 100
