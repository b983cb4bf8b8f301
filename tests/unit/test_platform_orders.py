"""Check how long the adapter waits for an engine's answer to an order."""

import asyncio
import json

import aiohttp
from aiohttp import web

from fescuedrum.groups.engines import HoldPass, OrderResult, PrepareMap
from fescuedrum_platform.engines import PlatformEngines

RANKS = 63
LAYERS = 8
EXPERTS = 252
# What a map for all ranks takes on a link of 20 Mbit/s.
SLOW_SECONDS = 0.3
NARROW_MEGABITS = 20.0
WIDE_MEGABITS = 200.0


def build_map():
    experts = [list(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)]
    return [experts] * LAYERS


async def send_to_slow_engine(order, delay, link_megabits):
    """Give an order to an engine that answers late; return (result, body it got)."""
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


async def test_a_large_map_is_waited_for():
    """No map is changed all day, and every stream of a large group is late.

    The gateway that leads has a narrow link: the map for all ranks takes a third of a
    second on it. Each order was given up after a tenth, given again, and refused, as
    the rank had taken it the first time.
    """
    order = PrepareMap(4, build_map())
    result, body = await send_to_slow_engine(order, SLOW_SECONDS, NARROW_MEGABITS)
    assert result is OrderResult.ACCEPTED
    assert body == {"op": "prepare", "version": 4, "mapping": order.held, "epoch": 1}
    assert len(json.dumps(body)) > 10_000


async def test_a_short_order_that_gets_no_answer_is_noticed_soon():
    result, _ = await send_to_slow_engine(HoldPass(9), SLOW_SECONDS, NARROW_MEGABITS)
    assert result is OrderResult.UNANSWERED


async def test_on_a_wide_link_a_map_that_gets_no_answer_is_noticed_soon():
    """Streams are late for two seconds and more after each move of demand.

    One order in ten gets no answer. A map takes hundredths of a second on this link,
    and yet each round of orders waited for half a second, as on the narrowest one.
    """
    order = PrepareMap(4, build_map())
    result, _ = await send_to_slow_engine(order, SLOW_SECONDS, WIDE_MEGABITS)
    assert result is OrderResult.UNANSWERED


def test_a_map_for_all_ranks_is_encoded_once(monkeypatch):
    """Maps of a large group follow demand a third of a second later than they could.

    The same map was encoded for each of 129 ranks, one after the other.
    """
    encoded = []

    def note(order, epoch):
        encoded.append((order, epoch))
        return b"%d" % len(encoded)

    monkeypatch.setattr("fescuedrum_platform.engines.encode_body", note)
    engines = PlatformEngines(None, WIDE_MEGABITS)
    order = PrepareMap(4, build_map())
    assert {engines.encode_once(order, 1) for _ in range(RANKS)} == {b"1"}
    # Another epoch, and another order, have bytes of their own.
    assert engines.encode_once(order, 2) == b"2"
    assert engines.encode_once(HoldPass(9), 2) == b"3"
    assert len(encoded) == 3
