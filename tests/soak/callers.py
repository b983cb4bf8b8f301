"""Send requests as callers do and record how they ended."""

import asyncio
import contextlib
import enum
from dataclasses import dataclass

import aiohttp

from soak import wire
from soak.balancer import PersistentConnection
from soak.conditions import RequestKind
from soak.endpoints import whole_body

# A caller without the balancer reuses few connections to each gateway until they close.
CONNECTIONS_PER_GATEWAY = 4
# Persistent connections of a KeepingCaller; all but one are idle.
CONNECTIONS_PER_CALLER = 4


class Ending(enum.StrEnum):
    """List the ways in which a request can end for its caller."""

    ANSWERED = "answered"
    # The status guarantees that no endpoint has run the request or will run it.
    NOT_RUN = "not-run"
    FAILED = "failed"
    DENIED = "denied"
    CUT = "cut"
    WRONG = "wrong"
    UNSENT = "unsent"


@dataclass(slots=True)
class Record:
    """Hold what a caller knows about one request; times are loop time in seconds."""

    request_id: str
    kind: RequestKind
    gateway: str
    began: float
    ended: float = 0.0
    ending: Ending = Ending.CUT
    detail: str = ""


NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
DENIED_STATUSES = frozenset((400, 401, 403, 404, 413))


class Caller:
    """Send one request after the other until cancelled."""

    def __init__(self, number, site, records, random):
        self.number = number
        self.site = site
        self.conditions = site.conditions
        self.records = records
        self.random = random
        self.sent = 0
        self.loop = asyncio.get_running_loop()

    async def run(self):
        """Send requests to random gateways until cancelled."""
        connector = aiohttp.TCPConnector(limit_per_host=CONNECTIONS_PER_GATEWAY)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                gateway = self.random.choice(self.site.gateways)
                record = self.draw_request(gateway.name)
                await self.send(session, gateway.url, record)
                await self.think()

    async def think(self):
        """Wait for a random time before the next request."""
        await asyncio.sleep(self.conditions.think_seconds * self.random.random())

    def draw_request(self, gateway):
        """Return the record of a new request of random kind."""
        self.sent += 1
        record = Record(
            request_id=f"c{self.number}-{self.sent}",
            kind=self.random.choice(self.conditions.requests),
            gateway=gateway,
            began=self.loop.time(),
        )
        self.records.append(record)
        return record

    async def send(self, session, url, record):
        """Send a request and record how it ended."""
        try:
            async with asyncio.timeout(self.timeout(record)):
                await self.read_answer(session, url, record)
        except aiohttp.ClientConnectorError as error:
            record.ending, record.detail = Ending.UNSENT, repr(error)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            record.ending, record.detail = Ending.CUT, repr(error)
        record.ended = self.loop.time()

    def timeout(self, record):
        return self.conditions.patience_seconds + 1

    async def read_answer(self, session, url, record):
        """Send a request, read the response and record what its status says."""
        headers = self.headers(record)
        url = f"{url}/{self.path(record)}"
        # An automatic retry of the client library would look like a gateway's fault.
        async with session.post(url, data=self.body(record), headers=headers) as answer:
            body = await self.read_body(answer, record)
            record.detail = f"status {answer.status}"
            if answer.headers.get(wire.REQUEST_ID, record.request_id) != (
                record.request_id
            ):
                record.ending = Ending.WRONG
            elif answer.status == 200:
                self.compare(body, record)
            else:
                record.ending = ending_of_status(answer.status)

    def headers(self, record):
        """Return the headers of a request."""
        return {
            "Host": "soak.example",
            wire.REQUEST_ID: record.request_id,
            wire.KEY: "club-key",
            wire.PATIENCE: str(int(self.conditions.patience_seconds * 1000)),
        }

    def path(self, record):
        return f"{record.kind}/x"

    def body(self, record):
        return b"{}"

    async def read_body(self, answer, record):
        return await answer.read()

    def compare(self, body, record):
        """Record whether a body is the expected one, and the size of a wrong one."""
        right = self.expected(record)
        record.ending = Ending.ANSWERED if body == right else Ending.WRONG
        if body != right:
            record.detail += f", {len(body)} bytes for {len(right)}"

    def expected(self, record):
        """Return the expected body of the response to a request."""
        if record.kind is not RequestKind.STREAM:
            return whole_body(record.request_id)
        return self.site.streams.body(record.request_id)


class KeepingCaller(Caller):
    """Connect through the balancer and reuse connections until a gateway closes them.

    An idle connection still leads to the gateway to which it was opened, also when
    the balancer has long stopped sending new connections there.
    """

    def __init__(self, number, site, records, random, balancer):
        super().__init__(number, site, records, random)
        self.balancer = balancer

    async def run(self):
        """Send requests over random persistent connections until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            connections = [
                PersistentConnection(self.balancer, self.random)
                for _ in range(CONNECTIONS_PER_CALLER)
            ]
            sessions = {
                connection: await stack.enter_async_context(connection.open_session())
                for connection in connections
            }
            while True:
                connection = self.random.choice(connections)
                record = self.draw_request(connection.gateway)
                await self.send(sessions[connection], connection.url, record)
                record.gateway = connection.gateway
                await self.think()


def ending_of_status(status):
    """Return the ending that a status other than 200 means."""
    if status in NOT_RUN_STATUSES:
        return Ending.NOT_RUN
    return Ending.DENIED if status in DENIED_STATUSES else Ending.FAILED
