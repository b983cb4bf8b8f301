"""Check that one odd row of another writer harms neither the other rows nor callers."""

import asyncio
import logging
from dataclasses import replace

import aiohttp
import pytest
from support import engines, odd_rows
from support.dialect import MemoryRowStore, PlainAdapter
from support.engines import StandInEndpoint
from support.gateways import call, running_gateway
from support.odd_rows import ODD_KEYS, ODD_ROWS
from support.routing import build_engine_service, build_routing_document

from fescuedrum.wire.datagrams import encode
from fescuedrum.wire.gen.gateways.ttypes import Beacon
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
        metrics, _ = running.gateway.metrics.catalogue.expose()
    sound.server.close()
    assert set(directory.presences.by_name) == {"sound", "later"}
    assert statuses == [200] * 4
    assert caplog.records == []
    assert b"fescuedrum_gateway_endpoint_rows_left_out 1.0" in metrics


ODD_HOSTS = {
    "empty": b"",
    "no text": b"\xff\xfe",
    "NUL": b"a\0b",
    "name": b"a b",
    "port": b"10.0.0.9:80",
    "deleted": None,
}


class StoreWithDeletedRow(MemoryRowStore):
    """Return the row of a deleted key as other rows."""

    async def read_table(self, table):
        read = await super().read_table(table)
        rows = list(self.tables.get(table, {}).values())
        return replace(read, rows=rows)


@pytest.mark.parametrize("value", ODD_HOSTS.values(), ids=list(ODD_HOSTS))
async def test_an_odd_row_among_those_of_gateways_is_left_out(value, caplog):
    """Guard against a gateway that hears no other one any more."""
    caplog.set_level(logging.ERROR)
    store = StoreWithDeletedRow()
    store.put("operators", "document", build_routing_document())
    store.put("endpoints", "e-1", None)
    store.delete("endpoints", "e-1")
    await store.put_row("gateways", "odd", value)
    await store.put_row("gateways", "sound", b"127.0.0.9")
    async with running_gateway(store, ready=False) as running:
        await running.until(lambda gateway: "127.0.0.9" in gateway.peers.hosts)
        await asyncio.sleep(0.1)
        peers = running.gateway.peers
        assert not peers.transport.is_closing()
        assert set(peers.hosts) == {"127.0.0.9"}
    assert caplog.records == []


async def test_a_beacon_with_odd_addresses_adds_no_gateway(caplog):
    """Guard against a datagram socket that ends at an address of a beacon."""
    caplog.set_level(logging.ERROR)
    store = MemoryRowStore()
    async with running_gateway(store, ready=False) as running:
        peers = running.gateway.peers
        await running.until(lambda _: peers.transport is not None)
        odd = Beacon(host="a\0b", known_hosts=["", "a\0b", "127.0.0.9"], sequence=1)
        peers.datagram_received(encode(odd), ("127.0.0.8", 1))
        await asyncio.sleep(0.1)
        assert not peers.transport.is_closing()
        assert set(peers.hosts) == {"127.0.0.9"}
    assert caplog.records == []
