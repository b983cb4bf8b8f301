"""Proxy requests to one endpoint, as the baseline for the cost of a proxy."""

import aiohttp
from aiohttp import web

from fescuedrum_bench.standins.runner import serve

FORWARDED_HEADERS = ("Content-Type",)


class BareProxy:
    """Proxy with aiohttp on both sides, without routing, limits or outcomes."""

    __slots__ = ("session", "upstream")

    def __init__(self, upstream):
        self.upstream = upstream
        self.session = None

    def build_application(self):
        """Return the application that proxies every path."""
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.proxy)
        application.cleanup_ctx.append(self.keep_session)
        return application

    async def keep_session(self, _):
        """Open the client session and close it when the application ends."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self.session:
            yield

    async def proxy(self, request):
        """Send a request to the endpoint and return its answer."""
        body = await request.read()
        headers = {
            name: request.headers[name]
            for name in FORWARDED_HEADERS
            if name in request.headers
        }
        async with self.session.request(
            request.method, self.upstream + request.path_qs, data=body, headers=headers
        ) as answer:
            if answer.content_type == "text/event-stream":
                return await self.stream(request, answer)
            return web.Response(
                status=answer.status,
                body=await answer.read(),
                content_type=answer.content_type,
            )

    async def stream(self, request, answer):
        """Forward the chunks of an event stream as they arrive."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        async for data in answer.content.iter_any():
            await response.write(data)
        await response.write_eof()
        return response


async def run(arguments):
    """Serve the proxy until SIGTERM."""
    await serve(BareProxy(arguments.upstream).build_application(), arguments)
