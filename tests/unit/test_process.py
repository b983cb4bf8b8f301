"""Check that a process stops when one of its tasks fails."""

import asyncio

from support.clock import run_paused

from fescuedrum.process import cancel, stop_on_failure


def test_a_process_stops_when_a_task_fails_and_not_when_one_is_cancelled():
    """Guard against an entry that looks healthy and sends work to removed members.

    It comes about when the task that follows the instance list ends with an unexpected
    error.
    """

    async def fail():
        await asyncio.sleep(1)
        raise ZeroDivisionError

    async def run():
        stop = asyncio.Event()
        running = asyncio.create_task(asyncio.sleep(100))
        stop_on_failure([running], stop)
        await cancel([running])
        await asyncio.sleep(0)
        assert not stop.is_set()
        stop_on_failure([asyncio.create_task(fail())], stop)
        async with asyncio.timeout(5):
            await stop.wait()

    run_paused(run())
