"""Check that one odd row of another writer harms neither the other rows nor callers."""

import asyncio
import logging

import aiohttp
import pytest
from support import engines, odd_rows
from support.dialect import MemoryRowStore, PlainAdapter
from support.engines import StandInEndpoint
from support.gateways import call, running_gateway
from support.odd_rows import ODD_KEYS, ODD_ROWS
from support.routing import build_engine_service, build_routing_document

from fescuedrum_platform import listing

ROWS = {name: ("i-1", raw) for name, raw in ODD_ROWS.items()}
ROWS |= {name: (key, None) for name, key in ODD_KEYS.items()}


class PlatformRowsAdapter(PlainAdapter):
    """Decode the list of endpoints as the users' platform writes it."""

    read_endpoint = staticmethod(listing.read_endpoint)


async def put(store, key, raw):
    """Write a row of the list of endpoints."""
    await store.put_row("endpoints", key, raw)
    store.wake()


@pytest.mark.parametrize("is_first", [True, False])
@pytest.mark.parametrize(("key", "raw"), ROWS.values(), ids=list(ROWS))
async def test_an_odd_row_among_those_of_endpoints_is_left_out(
    key, raw, is_first, caplog
):
    """Guard against a task that ends, sound rows that are lost, and failed requests."""
    caplog.set_level(logging.ERROR)
    sound = await StandInEndpoint("sound", engines.whole()).start()
    address = f"127.0.0.1:{sound.port}"
    odd = odd_rows.raw(address=address) if raw is None else raw
    document = build_routing_document(services=(build_engine_service(),))
    store = MemoryRowStore()
    store.put("operators", "document", document)
    if is_first:
        await put(store, key, odd)
    await put(store, "sound", odd_rows.raw(address=address))
    async with (
        running_gateway(store, adapter=PlatformRowsAdapter) as running,
        aiohttp.ClientSession() as session,
    ):
        if not is_first:
            await put(store, key, odd)
        await put(store, "later", odd_rows.raw(address=address))
        directory = running.gateway.directory
        await running.until(lambda _: "later" in directory.presences.by_name)
        directory.histories["sound"].own.requests = 2
        directory.histories["later"].own.requests = 2
        statuses = [(await call(running, session))[0] for _ in range(4)]
        await asyncio.sleep(0)
    sound.server.close()
    assert set(directory.presences.by_name) == {"sound", "later"}
    assert statuses == [200] * 4
    assert caplog.records == []
