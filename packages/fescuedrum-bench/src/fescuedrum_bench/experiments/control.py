"""Measure the cost of control for an entry by the number of members."""

import asyncio

from fescuedrum_bench.capacity.links import AgentHost
from fescuedrum_bench.capacity.measures import cpu_seconds
from fescuedrum_bench.capacity.roles import SEGMENT_OVERHEAD_BYTES
from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.site import Site, SiteShape

STORY = (
    "One entry process with 10, 30, 100 and 300 agents of its zone, which share this "
    "process, and no requests. Bytes are those of the frames that the entry sends, and "
    "for each heartbeat 104 bytes of headers and acknowledgement. The baseline is what "
    "a fixed interval of 0.5 s would send."
)
MEMBER_COUNTS = (10, 30, 100, 300)
OBSERVED_SECONDS = 12.0
BUDGET_BYTES = 17_000
BUDGET_CORE = 0.029
FIXED_BEATS_PER_SECOND = 2.0


async def run(scale, seed):
    """Observe an idle entry at each number of members."""
    shape = SiteShape(zones=1, entries=1, engines=0, services=0)
    sent, cores = [], []
    async with Site(shape, ["club"]) as site:
        host = AgentHost(site)
        for count in MEMBER_COUNTS:
            await host.grow(count)
            await host.wait_linked()
            # The interval adapts to the number of members within two heartbeats.
            await asyncio.sleep(OBSERVED_SECONDS / 2)
            rate, beats, core = await observe(site, host, OBSERVED_SECONDS * scale)
            sent.append((count, rate, rate / beats * count * FIXED_BEATS_PER_SECOND))
            cores.append((count, core))
        await host.stop()
    return Experiment(
        "control",
        STORY,
        [
            *(
                Figure(
                    f"bytes a second sent with {count} members",
                    rate,
                    "B/s",
                    baseline=fixed,
                    at_most=BUDGET_BYTES,
                )
                for count, rate, fixed in sent
            ),
            *(
                Figure(
                    f"share of a core with {count} members", core, at_most=BUDGET_CORE
                )
                for count, core in cores
            ),
        ],
        series={"bytes a second": [(count, rate) for count, rate, _ in sent]},
        axes=("members", "bytes a second"),
    )


async def observe(site, host, seconds):
    """Return the entry's sent bytes and heartbeats per second and its core share."""
    entry = site.entries[0]
    spent, received, beats = cpu_seconds(entry), *count_received(host)
    await asyncio.sleep(seconds)
    received_after, beats_after = count_received(host)
    frames, number = received_after - received, beats_after - beats
    total = frames + number * SEGMENT_OVERHEAD_BYTES
    core = (cpu_seconds(entry) - spent) / seconds
    return total / seconds, number / seconds, core


def count_received(host):
    """Return the bytes and heartbeats that all agents have received."""
    sessions = [session for agent in host.agents for session in agent.sessions]
    received = sum(session.connection.received_bytes for session in sessions)
    return received, sum(session.heartbeats_received for session in sessions)
