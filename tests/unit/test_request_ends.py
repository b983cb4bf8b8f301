"""Check that the end of each request is logged, whatever its cause."""

import asyncio
import logging
from types import SimpleNamespace

import aiohttp
import pytest
from support.clock import run_paused

from fescuedrum.metrics import LOOP_PROBE_SECONDS, STALLED_SECONDS, measure_loop_delay
from fescuedrum.serving import REQUEST_ID
from fescuedrum_gateway.process.metrics import GatewayMetrics
from fescuedrum_gateway.request.handler import RequestHandler


class EndingHandler(RequestHandler):
    """Answer every request by raising an error."""

    async def answer(self, http_request, arrived):
        raise self.gateway.error


def handle(error):
    """Handle a request that raises an error; return the gateway."""
    gateway = SimpleNamespace(
        error=error, running=0, leaving=False, stop_plan=None, metrics=GatewayMetrics()
    )

    async def run():
        with pytest.raises(type(error)):
            await EndingHandler(gateway).handle({REQUEST_ID: "r-1"})

    run_paused(run())
    return gateway


@pytest.mark.parametrize(
    "error",
    [
        asyncio.CancelledError(),
        aiohttp.ClientConnectionResetError("Cannot write to closing transport"),
        ConnectionResetError(),
    ],
    ids=lambda error: type(error).__name__,
)
def test_a_caller_disconnect_is_logged_whatever_error_it_raises(error, caplog):
    """Guard against a stream whose end is not logged.

    It comes about when the caller disconnects while the gateway is stalled: writing the
    next event then fails before aiohttp cancels the request's handler.
    """
    caplog.set_level(logging.INFO)
    gateway = handle(error)
    assert [record.getMessage() for record in caplog.records] == ["caller left"]
    assert caplog.records[0].request == "r-1"
    assert gateway.running == 0


def test_a_stalled_process_is_logged(caplog):
    async def run():
        loop = asyncio.get_running_loop()
        late = []
        histogram = SimpleNamespace(observe=late.append)
        task = asyncio.create_task(measure_loop_delay(histogram))
        await asyncio.sleep(LOOP_PROBE_SECONDS / 2)
        loop.clock.now += LOOP_PROBE_SECONDS + STALLED_SECONDS
        await asyncio.sleep(2 * LOOP_PROBE_SECONDS)
        task.cancel()
        return late

    late = run_paused(run())
    assert max(late) >= STALLED_SECONDS
    assert [record.getMessage() for record in caplog.records] == ["process stalled"]
