"""Send competing requests of organisations of different size."""

import asyncio
import socket
from dataclasses import dataclass, field

import aiohttp

from soak import wire
from soak.callers import Caller, Ending, Record
from soak.conditions import RequestKind
from soak.demand import ORGANISATIONS, SLOW_PREFIX, USUAL, SoakOrganisation

SIZES = [1 / (number + 1) for number in range(len(ORGANISATIONS))]
SLOW_SHARE = 0.03
READ_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 16 * 1024
# Between two reads of a slow caller; with the longest pause, it has not read its whole
# answer at its deadline, and then reads for some seconds what buffers hold.
SLOW_READ_SECONDS = (0.02, 0.1)
SLOW_EXTRA_SECONDS = 10.0


@dataclass(slots=True)
class DemandRecord(Record):
    """Hold one sending of a request; a request is sent again after a refusal."""

    route: str = ""
    organisation: SoakOrganisation | None = None
    deadline: float = 0.0
    # Seconds between reads; 0 for a caller that reads at once.
    read_seconds: float = 0.0
    # Whether it belongs to an injected excess of demand.
    is_excess: bool = False
    # All sendings of the request; is_final says that no other one follows.
    sendings: list[Record] = field(default_factory=list)
    is_final: bool = False
    # Names of the groups that had free places when it was sent.
    free_groups: list[str] = field(default_factory=list)
    # How many places each group had free then.
    free_places: dict[str, int] = field(default_factory=dict)
    first_at: float = 0.0
    longest_pause: float = 0.0
    # Seconds after which a refused request may be sent again; None for never.
    retry_after: float | None = None


class DemandCaller(Caller):
    """Send the requests of all organisations until cancelled."""

    async def run(self):
        connector = aiohttp.TCPConnector(limit=0, socket_factory=open_socket)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            asyncio.TaskGroup() as group,
        ):
            while True:
                demands = tuple(self.site.demands)
                rates = [each.per_second for each in demands]
                await asyncio.sleep(self.random.expovariate(sum(rates)))
                (demand,) = self.random.choices(demands, rates)
                group.create_task(self.request(session, demand))

    async def request(self, session, demand):
        """Send a request, and again after a refusal if there is time."""
        self.sent += 1
        (drawn,) = self.random.choices(ORGANISATIONS, SIZES)
        is_slow = demand is USUAL and self.random.random() < SLOW_SHARE
        name = f"{SLOW_PREFIX if is_slow else ''}{self.sent}"
        request = {
            "kind": RequestKind.STREAM,
            "route": self.random.choice(demand.kinds),
            "organisation": demand.organisation or drawn,
            "deadline": self.loop.time() + self.conditions.patience_seconds,
            "read_seconds": is_slow and self.random.uniform(*SLOW_READ_SECONDS),
            "is_excess": demand is not USUAL,
            "sendings": [],
        }
        for number in range(1 + demand.repeats):
            gateway = self.random.choice(self.site.gateways)
            record = DemandRecord(
                f"{name}.{number}",
                gateway=gateway.name,
                began=self.loop.time(),
                free_groups=[
                    each.name
                    for each in self.site.rank_groups
                    if each.has_free_places()
                ],
                free_places={
                    each.name: each.count_free_places()
                    for each in self.site.rank_groups
                },
                **request,
            )
            record.sendings.append(record)
            self.records.append(record)
            await self.send(session, gateway.url, record)
            pause = demand.repeat_seconds or record.retry_after
            has_time = pause is not None and self.loop.time() + pause < record.deadline
            if record.ending is not Ending.NOT_RUN or not has_time:
                break
            await asyncio.sleep(pause)
        record.is_final = True

    def timeout(self, record):
        extra = SLOW_EXTRA_SECONDS if record.read_seconds else 1.0
        return record.deadline - record.began + extra

    def headers(self, record):
        return super().headers(record) | {
            wire.KEY: record.organisation.key,
            wire.PATIENCE: str(int((record.deadline - record.began) * 1000)),
        }

    def path(self, record):
        return f"{record.kind}/{record.route}/x"

    async def read_body(self, answer, record):
        """Return the body, and record when its events arrived."""
        if wire.REST in answer.headers:
            record.retry_after = float(answer.headers[wire.REST])
        chunks, last_at = [], 0.0
        while chunk := await answer.content.read(READ_BYTES):
            now = self.loop.time()
            record.first_at = record.first_at or now
            record.longest_pause = max(record.longest_pause, now - (last_at or now))
            last_at = now
            chunks.append(chunk)
            if record.read_seconds:
                await asyncio.sleep(record.read_seconds)
        return b"".join(chunks)


def open_socket(address):
    """Return a socket with a small buffer, so that unread data stays at the sender."""
    opened = socket.socket(*address[:3])
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return opened
