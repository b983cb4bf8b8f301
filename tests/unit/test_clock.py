"""Check the paused clock that other tests rely on."""

import asyncio
import time

from support.clock import run_paused


async def sleep_an_hour():
    loop = asyncio.get_running_loop()
    begin = loop.time()
    await asyncio.sleep(3600)
    return loop.time() - begin


def test_an_hour_passes_at_once():
    begin = time.monotonic()
    assert run_paused(sleep_an_hour()) >= 3600
    assert time.monotonic() - begin < 60
