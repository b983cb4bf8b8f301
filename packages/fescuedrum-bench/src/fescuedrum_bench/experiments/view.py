"""Measure what a request costs an entry that knows few or very many endpoints."""

import time
from types import SimpleNamespace

from fescuedrum.platform.interfaces import Instance
from fescuedrum.wire import codec
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum.wire.gen.members.ttypes import Heartbeat, LoadReport
from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_entry.conf import EntrySettings
from fescuedrum_entry.connection.link import Link
from fescuedrum_entry.process.entry import Entry
from fescuedrum_entry.request.selection import Selection

STORY = (
    "One entry in this process knows 10, 100 or 1,100 endpoints in three zones. For "
    "each request it chooses an endpoint, encodes the request for it, and counts its "
    "end; sockets and HTTP, which cost the same whatever the number, are left out, so "
    "that a slope would show. The baseline is the cost with 10 endpoints."
)
ENDPOINTS = (10, 100, 1_100)
REQUESTS = 4_000
ROUNDS = 5
ZONES = 3
LIMIT = 16
BODY = b"x" * 512


class Wire:
    """Encode what is sent, as a connection would, and keep none of it."""

    __slots__ = ()
    congested = False
    unsent_bytes = 0

    def send(self, **body):
        codec.encode(**body)


async def run(scale, seed):
    """Measure the cost of a request at each number of endpoints."""
    count = max(100, int(REQUESTS * scale))
    costs = {number: measure(number, count, seed) for number in ENDPOINTS}
    least = costs[ENDPOINTS[0]]
    figures = [
        Figure(
            f"cost of a request at {number} endpoints", cost * 1e6, "us", least * 1e6
        )
        for number, cost in costs.items()
    ]
    figures.append(
        Figure(
            "the cost at 1,100 endpoints as a multiple of that at 10",
            costs[ENDPOINTS[-1]] / least,
            at_most=1.5,
        )
    )
    series = {"request": [(number, cost * 1e6) for number, cost in costs.items()]}
    return Experiment("view", STORY, figures, series, ("endpoints", "us a request"))


def measure(number, count, seed):
    """Return the processor seconds of a request; the least of some rounds."""
    entry = build_entry(number, seed)
    rounds = []
    for _ in range(ROUNDS):
        begin = time.process_time()
        for index in range(count):
            send(entry, index)
        rounds.append((time.process_time() - begin) / count)
    # Other processes can only add to a round.
    return min(rounds)


def build_entry(number, seed):
    settings = EntrySettings("entry", "zone-0", "127.0.0.1", 1, "http://127.0.0.1:1")
    entry = Entry(settings, seed)
    for index in range(number):
        zone = f"zone-{index % ZONES}"
        instance = Instance(
            f"agent-{index}", "agent", zone, "127.0.0.1", 1, service="advice"
        )
        link = entry.links[instance.name] = Link(entry, instance)
        link.connection = Wire()
        load = LoadReport(running=index % LIMIT, limit=LIMIT, warm=True)
        link.last_heartbeat = Heartbeat(load=load)
        entry.router.heard(link)
    return entry


def send(entry, index):
    """Choose an endpoint for a request, send it and take its end."""
    call = SimpleNamespace(service="advice", model="m", prefix=f"prompt {index % 50}")
    link = Selection(entry, call).choose()
    request = frames.Request(request_id=str(index), attempt=1, body=BODY)
    exchange = link.open(request)
    link.deliver(frames.End(number=exchange.number, attempt=1, outcome="answered"))
    exchange.close(finished=True)
