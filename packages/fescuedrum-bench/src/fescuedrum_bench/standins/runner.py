"""Serve the application of a stand-in until SIGTERM."""

from aiohttp import web

from fescuedrum.process import stop_event


async def healthz(_):
    """Answer that the process is alive."""
    return web.json_response({"alive": True})


async def serve(application, arguments, *, cancel_on_disconnect=False):
    """Listen on the address in the arguments until SIGTERM."""
    stop = stop_event()
    runner = web.AppRunner(
        application, access_log=None, handler_cancellation=cancel_on_disconnect
    )
    await runner.setup()
    await web.TCPSite(runner, arguments.host, arguments.port).start()
    await stop.wait()
    await runner.cleanup()
