"""Send requests as callers do and note what they got."""

import asyncio
import enum
from dataclasses import dataclass

import aiohttp

from soak import wire
from soak.endpoints import EVENTS, event, whole_body

PATIENCE_SECONDS = 4.0
THINK_SECONDS = 0.05
# Callers share few kept connections with each gateway, and use them until they close.
CONNECTIONS = 4


class Kind(enum.StrEnum):
    """Name the kinds of request by their path."""

    ONCE = "once"
    AGAIN = "again"
    STREAM = "stream"


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

    def __init__(self, number, gateways, records, random):
        self.number = number
        self.gateways = gateways
        self.records = records
        self.random = random
        self.sent = 0
        self.loop = asyncio.get_running_loop()

    async def run(self):
        connector = aiohttp.TCPConnector(limit_per_host=CONNECTIONS)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                await self.send(session)
                await asyncio.sleep(THINK_SECONDS * self.random.random())

    async def send(self, session):
        self.sent += 1
        gateway = self.random.choice(self.gateways)
        record = Record(
            request_id=f"c{self.number}-{self.sent}",
            kind=self.random.choice(list(Kind)),
            gateway=gateway.name,
            began=self.loop.time(),
        )
        self.records.append(record)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS + 1):
                await self.read_answer(session, gateway, record)
        except aiohttp.ClientConnectorError as error:
            record.ending, record.detail = Ending.UNSENT, repr(error)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            record.ending, record.detail = Ending.CUT, repr(error)
        record.ended = self.loop.time()

    async def read_answer(self, session, gateway, record):
        headers = {
            "Host": "soak.example",
            wire.REQUEST_ID: record.request_id,
            wire.KEY: "club-key",
            wire.PATIENCE: str(int(PATIENCE_SECONDS * 1000)),
        }
        url = f"{gateway.url}/{record.kind}/x"
        # A library that sends a request again by itself would blame the gateway.
        async with session.post(url, data=b"{}", headers=headers) as answer:
            body = await answer.read()
            record.detail = f"status {answer.status}"
            if answer.headers.get(wire.REQUEST_ID, record.request_id) != (
                record.request_id
            ):
                record.ending = Ending.WRONG
            elif answer.status == 200:
                right = body == expected(record)
                record.ending = Ending.ANSWERED if right else Ending.WRONG
            else:
                record.ending = ending_of(answer.status)


def ending_of(status):
    if status in NOT_RUN_STATUSES:
        return Ending.NOT_RUN
    return Ending.DENIED if status in DENIED_STATUSES else Ending.FAILED


def expected(record):
    """Return the whole right answer to a request."""
    if record.kind is not Kind.STREAM:
        return whole_body(record.request_id)
    numbers = range(1, EVENTS + 1)
    return b"".join(event(record.request_id, number) for number in numbers)
