"""Check how long the platform adapter waits for an engine's answer to an order."""

import asyncio
import json

import aiohttp
from aiohttp import web

from fescuedrum.groups.engines import HoldPass, OrderResult, PrepareMap
from fescuedrum_platform.engines import PlatformEngines

RANKS = 63
LAYERS = 8
EXPERTS = 252
# Time that a map for all ranks takes on a link of 20 Mbit/s.
SLOW_SECONDS = 0.3
NARROW_MEGABITS = 20.0
WIDE_MEGABITS = 200.0


def build_map():
    experts = [list(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)]
    return [experts] * LAYERS


async def send_to_slow_engine(order, delay, link_megabits):
    """Send an order to an engine that answers late; return (result, received body)."""
    bodies = []

    async def answer(request):
        bodies.append(await request.json())
        await asyncio.sleep(delay)
        return web.Response(status=202)

    application = web.Application()
    application.router.add_post("/order", answer)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    async with aiohttp.ClientSession() as session:
        engines = PlatformEngines(session, link_megabits)
        address = ("127.0.0.1", runner.addresses[0][1])
        result = await engines.send_order(address, 1, order)
    await runner.cleanup()
    return result, bodies[0]


async def test_timeout_is_longer_for_large_maps():
    """Guard against a large group whose map is never changed, so all streams are late.

    The leading gateway has a slow link, on which the map for all ranks takes a third of
    a second. Each order timed out after a tenth of a second, was sent again, and was
    refused because the rank had accepted it the first time.
    """
    order = PrepareMap(4, build_map())
    result, body = await send_to_slow_engine(order, SLOW_SECONDS, NARROW_MEGABITS)
    assert result is OrderResult.ACCEPTED
    assert body == {"op": "prepare", "version": 4, "mapping": order.held, "epoch": 1}
    assert len(json.dumps(body)) > 10_000


async def test_timeout_is_short_for_small_orders():
    result, _ = await send_to_slow_engine(HoldPass(9), SLOW_SECONDS, NARROW_MEGABITS)
    assert result is OrderResult.UNANSWERED


async def test_timeout_is_short_for_maps_on_a_fast_link():
    """Guard against streams that are late for over two seconds after each shift.

    One order in ten gets no answer. A map takes hundredths of a second on this link,
    but each round of orders waited for half a second, as on the slowest link.
    """
    order = PrepareMap(4, build_map())
    result, _ = await send_to_slow_engine(order, SLOW_SECONDS, WIDE_MEGABITS)
    assert result is OrderResult.UNANSWERED


def test_map_for_all_ranks_is_encoded_once(monkeypatch):
    """Guard against a delay of a third of a second for map changes of a large group.

    The same map was encoded again for each of 129 ranks.
    """
    encoded = []

    def record_encoding(order, epoch):
        encoded.append((order, epoch))
        return b"%d" % len(encoded)

    monkeypatch.setattr("fescuedrum_platform.engines.encode_body", record_encoding)
    engines = PlatformEngines(None, WIDE_MEGABITS)
    order = PrepareMap(4, build_map())
    assert {engines.encode_once(order, 1) for _ in range(RANKS)} == {b"1"}
    # Another epoch or order is encoded separately.
    assert engines.encode_once(order, 2) == b"2"
    assert engines.encode_once(HoldPass(9), 2) == b"3"
    assert len(encoded) == 3
