"""Check how a process ends."""

import asyncio

from support.clock import run_paused

from fescuedrum.process import cancel, stop_on_failure


def test_a_process_stops_when_a_lasting_task_fails_and_not_when_one_is_cancelled():
    """An entry looks healthy for hours and sends work to members long gone.

    The task that follows the instance list ended on an error that nobody foresaw.
    """

    async def fail():
        await asyncio.sleep(1)
        raise ZeroDivisionError

    async def story():
        stop = asyncio.Event()
        lasting = asyncio.create_task(asyncio.sleep(100))
        stop_on_failure([lasting], stop)
        await cancel([lasting])
        await asyncio.sleep(0)
        assert not stop.is_set()
        stop_on_failure([asyncio.create_task(fail())], stop)
        async with asyncio.timeout(5):
            await stop.wait()

    run_paused(story())
