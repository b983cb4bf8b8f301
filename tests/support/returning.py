"""Run calls through a gateway whose service refuses all requests in an outage."""

import asyncio
from dataclasses import dataclass, field

from fescuedrum.conf.routing import RoutingTable
from fescuedrum.decisions.returning.returns import RETRY_RANK_PENALTY
from fescuedrum_gateway.adapter import AnswerHead, CallHead
from fescuedrum_gateway.process.gateway import Gateway
from fescuedrum_gateway.request import attempts
from fescuedrum_gateway.request.call import Answered, Call, Lost, NotRun
from fescuedrum_gateway.request.plain import PlainRun
from support.dialect import MemoryRowStore, PlainAdapter
from support.gateways import build_settings
from support.routing import (
    build_endpoint,
    build_engine_service,
    build_route,
    build_routing_document,
)

SERVICE = "advice"
ANSWER_SECONDS = 0.01


def contested_document(**changes):
    """Return a document with two routes of one service that differ in priority."""
    values = {"timeout": 8.0} | changes
    routes = (
        build_route(priority=0, **values),
        build_route("digests", prefix="/digests/", priority=2, **values),
    )
    return build_routing_document(routes=routes, services=(build_engine_service(),))


@dataclass(slots=True)
class TakenAnswer:
    """Stand in for the opened answer of an endpoint."""

    head: AnswerHead
    ends_with_connection: bool = False

    async def read(self):
        return Answered(self.head, b"done")


@dataclass(slots=True)
class OutageSite:
    """Hold a gateway and endpoints that refuse until a time; record what is sent."""

    gateway: Gateway
    down_until: float = 0.0
    # Results of the first attempts while the service is down; later ones are refused.
    faults: list = field(default_factory=list)
    # Time and request id of each attempt.
    sent: list[tuple[float, str]] = field(default_factory=list)

    async def send(self, session, adapter, call, endpoint, send):
        loop = asyncio.get_running_loop()
        self.sent.append((loop.time(), call.head.request_id))
        await asyncio.sleep(ANSWER_SECONDS)
        if loop.time() < self.down_until:
            refusal = NotRun("refused with 503", Answered(head(503), b""))
            return self.faults.pop(0) if self.faults else refusal
        return TakenAnswer(head(200))

    def build_call(self, name="r", *, patience=5.0, route=0, is_caller_retry=True):
        """Return a call that arrives now, by default one of a returned caller."""
        now = asyncio.get_running_loop().time()
        found = self.gateway.configuration.table.document.routes[route]
        call_head = CallHead(name, "", patience, 0, 0, 0, "", [])
        penalty = RETRY_RANK_PENALTY if is_caller_retry else 0
        priority = found.priority + penalty
        held = self.gateway.memory.hold_request()
        held.keep_body(b"{}")
        end = now + patience
        return Call(
            *(call_head, found, SERVICE, "club", priority, is_caller_retry, "POST"),
            *(found.prefix, "request:1", held, 0, now, end),
        )

    def start(self, *args, **changes):
        """Return a task that runs a call."""
        call = self.build_call(*args, **changes)
        return asyncio.create_task(PlainRun(call, self.gateway).run())

    async def run(self, *args, **changes):
        """Run a call; return (answer or error, seconds)."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        (result,) = await asyncio.gather(
            self.start(*args, **changes), return_exceptions=True
        )
        return result, loop.time() - began

    def refuse_all(self):
        """Note that two endpoints have just refused requests."""
        for name in ("e-0", "e-1"):
            self.gateway.directory.groups.refused(build_endpoint(name))

    def count(self, result):
        """Return how many waits ended with a result."""
        waits = self.gateway.metrics.returns.waits
        return waits.labels(SERVICE, result)._value.get()


def head(status):
    return AnswerHead(status, "r", status == 503, True, False, [])


LOST = Lost("connection was reset")


def build_site(monkeypatch, *, document=None, endpoints=3, seconds=0.0, **changes):
    """Return an OutageSite that has just gone down for so many seconds."""
    settings = build_settings("gateway-1", "127.0.0.1", (1, 2, 3), **changes)
    gateway = Gateway(settings, PlainAdapter(MemoryRowStore()), incarnation=1)
    table = RoutingTable(document or contested_document())
    now = asyncio.get_running_loop().time()
    gateway.configuration.update_if_newer(table, now)
    for number in range(endpoints):
        gateway.directory.presences.listed(build_endpoint(f"e-{number}"))
    site = OutageSite(gateway, now + seconds)
    monkeypatch.setattr(attempts, "send_call", site.send)
    if seconds:
        site.refuse_all()
    return site
