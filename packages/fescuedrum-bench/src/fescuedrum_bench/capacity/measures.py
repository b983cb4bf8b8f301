"""Measure the slopes from which the capacity page is computed."""

import asyncio
import random
import time

import psutil

from fescuedrum.conf import document as documents
from fescuedrum.decisions.experts import placement, planner
from fescuedrum.wire import codec
from fescuedrum.wire.gen.frames.ttypes import Chunk
from fescuedrum.wire.gen.members.ttypes import Heartbeat, LoadReport
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.capacity.slopes import fit
from fescuedrum_bench.site import Site, SiteShape

CHUNK_SIZES = (32, 512, 4096, 16384)
CODEC_ROUNDS = 4000
REQUEST_COUNTS = (100, 200, 400, 800)
TOKEN_COUNTS = (2_000, 4_000, 8_000, 16_000)
TOKENS_PER_STREAM = 200
IDLE_CONNECTIONS = (0, 100, 200, 400)
ORGANISATION_COUNTS = (10, 50, 100, 290)
PARSE_ROUNDS = 20
RANK_COUNTS = (8, 32, 64, 128, 256)
EXPERTS = 64
LAYERS = 8
CONCURRENT_CALLS = 16
CONCURRENT_STREAMS = 64
# Pacing would limit one engine that gets far more requests than in production.
UNPACED = {"pace_seconds": 0.0}
# Above the agent's 5 ms for merging, so each token is sent alone, as at 34 ms.
SLOW_STEP_SECONDS = 0.008
SETTLE_SECONDS = 0.5


def cpu_seconds(member):
    """Return the processor time that a member has spent."""
    times = psutil.Process(member.process.pid).cpu_times()
    return times.user + times.system


def memory_bytes(member):
    """Return the resident memory of a member."""
    return psutil.Process(member.process.pid).memory_info().rss


def measure_codec():
    """Return the slopes of the time to encode and decode a chunk by its size."""
    encode_points, decode_points = [], []
    for size in CHUNK_SIZES:
        chunk = Chunk(number=1000, attempt=1, offset=100_000, data=bytes(size))
        payload = codec.encode(chunk=chunk)[codec.LENGTH_BYTES :]
        encode_points.append((size, time_one(lambda c=chunk: codec.encode(chunk=c))))
        decode_points.append((size, time_one(lambda p=payload: codec.decode(p))))
    return [
        fit("frame.encode", encode_points, per="byte", unit="s"),
        fit("frame.decode", decode_points, per="byte", unit="s"),
    ]


def time_one(action):
    """Return the mean processor time of a call."""
    begin = time.process_time()
    for _ in range(CODEC_ROUNDS):
        action()
    return (time.process_time() - begin) / CODEC_ROUNDS


def heartbeat_bytes():
    """Return the size of one heartbeat on the wire."""
    beat = Heartbeat(
        version=100_000,
        leaving=False,
        load=LoadReport(running=12, waiting=3, limit=16, warm=True, step_seconds=0.03),
        sequence=1_000_000,
    )
    return len(codec.encode(heartbeat=beat))


def measure_document():
    """Return the slopes of the document's size and parse time by organisation."""
    sizes, times = [], []
    for count in ORGANISATION_COUNTS:
        body = documents.encode_canonical(build_document(count))
        begin = time.process_time()
        for _ in range(PARSE_ROUNDS):
            documents.parse(body).unwrap()
        times.append((count, (time.process_time() - begin) / PARSE_ROUNDS))
        sizes.append((count, len(body)))
    return [
        fit("document.size", sizes, per="organisation", unit="B"),
        fit("document.take", times, per="organisation", unit="s"),
    ]


def build_document(organisations):
    """Return a document with a number of organisations."""
    salted = documents.KeyHash("salt", documents.hash_key("salt", "key"))
    return documents.Document(
        services=[documents.Service("advice", documents.ServiceKind.ENGINE, ["m"])],
        organisations=[
            documents.Organisation(f"organisation-{index}", [salted, salted])
            for index in range(organisations)
        ],
        zones=[documents.Zone(f"zone-{index}") for index in range(19)],
    )


def measure_planner():
    """Return the slope of the time to plan a whole map by the ranks of the group."""
    chooser = random.Random(1)
    points = []
    for ranks in RANK_COUNTS:
        topology = placement.build_topology(ranks, EXPERTS, LAYERS)
        loads = [
            [chooser.paretovariate(1.2) for _ in range(EXPERTS)] for _ in range(LAYERS)
        ]
        begin = time.process_time()
        planner.build_expert_map(loads, topology)
        points.append((ranks, time.process_time() - begin))
    return fit("experts.place", points, per="rank", unit="s")


async def measure_path():
    """Return the slopes of entry and agent by request and idle connection."""
    shape = SiteShape(
        zones=1,
        entries=1,
        engines=1,
        services=0,
        step_seconds=0.0005,
        warm_limit=64,
        agent_settings=UNPACED,
    )
    async with Site(shape, ["club"]) as site:
        caller = Caller(site.session, site.entries[0].url, "club", site.keys["club"])
        await repeat(caller.complete, 100)
        return [*await measure_requests(site, caller), await measure_idle(site)]


async def measure_streams():
    """Return the slopes of entry and agent by token, without merged tokens."""
    shape = SiteShape(
        zones=1,
        entries=1,
        engines=1,
        services=0,
        step_seconds=SLOW_STEP_SECONDS,
        warm_limit=CONCURRENT_STREAMS,
        agent_settings=UNPACED,
    )
    async with Site(shape, ["club"]) as site:
        caller = Caller(site.session, site.entries[0].url, "club", site.keys["club"])
        await repeat(caller.complete, 100)
        return await measure_tokens(site, caller)


async def repeat(action, count, concurrent=CONCURRENT_CALLS):
    """Make `count` calls, some concurrently; raise RuntimeError if one fails."""
    gate = asyncio.Semaphore(concurrent)

    async def one(index):
        async with gate:
            record = await action(f"prompt {index}")
            if not record.whole:
                raise RuntimeError(f"A measured request was not answered: {record}.")

    await asyncio.gather(*(one(index) for index in range(count)))


async def measure_requests(site, caller):
    """Return the slopes of entry and agent by request."""
    members = {"entry": site.entries[0], "agent": site.agents[0]}
    points = await sweep(
        members, REQUEST_COUNTS, lambda count: repeat(caller.complete, count)
    )
    return [
        fit(f"{role}.request", found, per="request", unit="s")
        for role, found in points.items()
    ]


async def measure_tokens(site, caller):
    """Return the slopes of entry and agent by token."""

    async def stream(prompt):
        return await caller.stream(prompt, TOKENS_PER_STREAM)

    members = {"entry": site.entries[0], "agent": site.agents[0]}
    points = await sweep(
        members,
        TOKEN_COUNTS,
        lambda count: repeat(stream, count // TOKENS_PER_STREAM, CONCURRENT_STREAMS),
    )
    return [
        fit(f"{role}.token", found, per="token", unit="s")
        for role, found in points.items()
    ]


async def sweep(members, counts, action):
    """Return the points (count, processor seconds) of each member by role."""
    points = {role: [] for role in members}
    for count in counts:
        before = {role: cpu_seconds(member) for role, member in members.items()}
        await action(count)
        for role, member in members.items():
            points[role].append((count, cpu_seconds(member) - before[role]))
    return points


async def measure_idle(site):
    """Return the slope of the entry's memory by idle connection of callers."""
    entry = site.entries[0]
    points, writers = [], []
    for count in IDLE_CONNECTIONS:
        while len(writers) < count:
            _, writer = await asyncio.open_connection(entry.host, 7000)
            writers.append(writer)
        await asyncio.sleep(SETTLE_SECONDS)
        points.append((count, memory_bytes(entry)))
    for writer in writers:
        writer.close()
    return fit("entry.idle-connection", points, per="connection", unit="B")
