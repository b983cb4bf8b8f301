"""Run a site of gateway processes, and restart all of them at once."""

import asyncio
import contextlib
import random
import signal

import aiohttp
from soak.callers import Caller, Record
from soak.conditions import GROUPS, RequestKind
from soak.run import SoakPlan
from soak.site import Site

from fescuedrum_bench.logfiles import read_events

GATEWAYS = 2
REQUESTS_OF_EACH_KIND = 24
SEED = 1


@contextlib.asynccontextmanager
async def running_site(directory, prepare):
    """Start a plain service and a group of ranks, each in three zones; yield the site.

    prepare(site's store) is called before the first process starts.
    """
    plan = SoakPlan(SEED, 0.0, directory, GROUPS, GATEWAYS)
    site = Site(random.Random(SEED), plan)
    prepare(site.store)
    try:
        await site.open()
        await wait_until_ready(site)
        yield site
    finally:
        await site.close()


async def wait_until_ready(site):
    """Wait until all gateways are ready."""
    async with aiohttp.ClientSession() as session:
        for gateway in site.gateways:
            await gateway.wait_until_ready(session)


async def restart_all(site):
    """Kill all gateways, then start them again and wait until they are ready."""
    await asyncio.gather(*(each.end(signal.SIGKILL) for each in site.gateways))
    for gateway in site.gateways:
        gateway.start()
    await wait_until_ready(site)


async def send_each_kind(site, prefix):
    """Send requests of each kind to all gateways; return their records."""
    caller = Caller(0, site, [], random.Random(SEED))
    records = []
    async with aiohttp.ClientSession() as session:
        for kind in RequestKind:
            batch = []
            for number in range(REQUESTS_OF_EACH_KIND):
                gateway = site.gateways[number % len(site.gateways)]
                name = f"{prefix}-{kind}-{number}"
                record = Record(name, kind, gateway.name, site.loop.time())
                batch.append(caller.send(session, gateway.url, record))
                records.append(record)
            await asyncio.gather(*batch)
    return records


def logged(site, message):
    """Return the events with a message in the logs of all gateways."""
    return [
        event for gateway in site.gateways for event in read_events(gateway, message)
    ]
