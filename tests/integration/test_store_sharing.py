"""Check that few gateways call the store and all follow it."""

import asyncio
import contextlib

from support.dialect import MemoryRowStore
from support.gateways import free_ports, running_gateway
from support.routing import build_routing_document

from fescuedrum.decisions.following import READERS

GATEWAYS = READERS + 4
# Beacons of so many gateways come every 0.4 s, and one may be lost.
SETTLED_SECONDS = 3.0
IN_FORCE_SECONDS = 2.0


class CountingStore(MemoryRowStore):
    """Count the calls that wait for changes at the moment."""

    def __init__(self):
        super().__init__()
        self.waiting = 0

    async def wait_for_changes(self, table, after, wait_seconds):
        self.waiting += 1
        try:
            return await super().wait_for_changes(table, after, wait_seconds)
        finally:
            self.waiting -= 1


@contextlib.asynccontextmanager
async def running_gateways(store, count):
    """Run gateways on addresses of their own; all know the first as their seed."""
    ports = free_ports(3)
    hosts = [f"127.0.0.{number + 2}" for number in range(count)]
    async with contextlib.AsyncExitStack() as stack:
        running = [
            await stack.enter_async_context(
                running_gateway(store, host=host, ports=ports, seeds=[f"{hosts[0]}:1"])
            )
            for host in hosts
        ]
        yield running


async def wait_for_version(running, version):
    for each in running:
        await each.until(
            lambda gateway: gateway.configuration.version == version,
            seconds=IN_FORCE_SECONDS,
        )


async def wait_for_readers(store):
    """Wait until two tables of each reader, and no more, wait for changes."""
    async with asyncio.timeout(SETTLED_SECONDS):
        while store.waiting != 2 * READERS:
            # What rests now still waits for its last call: a change ends it.
            store.put("endpoints", "nobody", None)
            store.put("operators", "nothing", None)
            await asyncio.sleep(0.2)


async def test_few_gateways_call_the_store_and_all_follow_it():
    """The store answers 429, and nobody learns of a change any more.

    Tens of gateways each waited for every change, so that a release of engines cost
    more calls than the store's rates allow.
    """
    store = CountingStore()
    store.put("operators", "document", build_routing_document(version=1))
    async with running_gateways(store, GATEWAYS) as running:
        await wait_for_readers(store)
        store.put("operators", "document", build_routing_document(version=2))
        await wait_for_version(running, 2)
        readers = [
            each
            for each in running
            if any(follower.answers for follower in each.gateway.followers)
        ]
        assert len(readers) == READERS
        for each in readers[:3]:
            await each.end()
        left = [each for each in running if each not in readers[:3]]
        await wait_for_readers(store)
        store.put("operators", "document", build_routing_document(version=3))
        await wait_for_version(left, 3)
