"""Send requests as callers do and note what they got."""

import asyncio
import contextlib
import enum
from dataclasses import dataclass

import aiohttp

from soak import wire
from soak.balancer import Lane
from soak.conditions import Kind
from soak.endpoints import whole_body

# Callers share few kept connections with each gateway, and use them until they close.
CONNECTIONS = 4
# Those who keep connections have so many each; all but one rest.
LANES = 4


class Ending(enum.StrEnum):
    """Say what a caller got."""

    ANSWERED = "answered"
    # The status promises that the request has not run and never will.
    NOT_RUN = "not-run"
    FAILED = "failed"
    DENIED = "denied"
    CUT = "cut"
    WRONG = "wrong"
    UNSENT = "unsent"


@dataclass(slots=True)
class Record:
    """Hold one request as its caller saw it; times are loop time in seconds."""

    request_id: str
    kind: Kind
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
        connector = aiohttp.TCPConnector(limit_per_host=CONNECTIONS)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                gateway = self.random.choice(self.site.gateways)
                record = self.draw_request(gateway.name)
                await self.send(session, gateway.url, record)
                await self.think()

    async def think(self):
        await asyncio.sleep(self.conditions.think * self.random.random())

    def draw_request(self, gateway):
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
        try:
            async with asyncio.timeout(self.conditions.patience + 1):
                await self.read_answer(session, url, record)
        except aiohttp.ClientConnectorError as error:
            record.ending, record.detail = Ending.UNSENT, repr(error)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            record.ending, record.detail = Ending.CUT, repr(error)
        record.ended = self.loop.time()

    async def read_answer(self, session, url, record):
        headers = {
            "Host": "soak.example",
            wire.REQUEST_ID: record.request_id,
            wire.KEY: "club-key",
            wire.PATIENCE: str(int(self.conditions.patience * 1000)),
        }
        url = f"{url}/{record.kind}/x"
        # A library that sends a request again by itself would blame the gateway.
        async with session.post(url, data=b"{}", headers=headers) as answer:
            body = await answer.read()
            record.detail = f"status {answer.status}"
            if answer.headers.get(wire.REQUEST_ID, record.request_id) != (
                record.request_id
            ):
                record.ending = Ending.WRONG
            elif answer.status == 200:
                self.compare(body, record)
            else:
                record.ending = ending_of(answer.status)

    def compare(self, body, record):
        """Judge an answer's bytes, and note how many a wrong one has."""
        right = self.expected(record)
        record.ending = Ending.ANSWERED if body == right else Ending.WRONG
        if body != right:
            record.detail += f", {len(body)} bytes for {len(right)}"

    def expected(self, record):
        """Return the whole right answer to a request."""
        if record.kind is not Kind.STREAM:
            return whole_body(record.request_id)
        return self.site.streams.body(record.request_id)


class KeepingCaller(Caller):
    """Come through the balancer, and use each connection until its gateway closes it.

    A connection that rests for seconds is still where it was opened to, however long
    the balancer has sent nobody there.
    """

    def __init__(self, number, site, records, random, balancer):
        super().__init__(number, site, records, random)
        self.balancer = balancer

    async def run(self):
        async with contextlib.AsyncExitStack() as stack:
            lanes = [Lane(self.balancer, self.random) for _ in range(LANES)]
            sessions = {
                lane: await stack.enter_async_context(lane.open_session())
                for lane in lanes
            }
            while True:
                lane = self.random.choice(lanes)
                record = self.draw_request(lane.gateway)
                await self.send(sessions[lane], lane.url, record)
                record.gateway = lane.gateway
                await self.think()


def ending_of(status):
    if status in NOT_RUN_STATUSES:
        return Ending.NOT_RUN
    return Ending.DENIED if status in DENIED_STATUSES else Ending.FAILED
