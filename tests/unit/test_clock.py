"""Check the simulated clock that other tests use."""

import asyncio
import time

from support.clock import run_paused


async def sleep_an_hour():
    loop = asyncio.get_running_loop()
    begin = loop.time()
    await asyncio.sleep(3600)
    return loop.time() - begin


def test_simulated_hour_takes_no_real_time():
    begin = time.monotonic()
    assert run_paused(sleep_an_hour()) >= 3600
    assert time.monotonic() - begin < 60
