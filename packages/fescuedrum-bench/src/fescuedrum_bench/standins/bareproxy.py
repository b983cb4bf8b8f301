"""Pass requests to one endpoint and do nothing else: the floor to compare with."""

import aiohttp
from aiohttp import web

from fescuedrum_bench.standins.runner import serve

PASSED_HEADERS = ("Content-Type",)


class BareProxy:
    """Proxy with aiohttp on both sides, no routing, limits or outcomes."""

    __slots__ = ("session", "upstream")

    def __init__(self, upstream):
        self.upstream = upstream
        self.session = None

    def build_application(self):
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.proxy)
        application.cleanup_ctx.append(self.keep_session)
        return application

    async def keep_session(self, _):
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self.session:
            yield

    async def proxy(self, request):
        body = await request.read()
        headers = {
            name: request.headers[name]
            for name in PASSED_HEADERS
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
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        async for data in answer.content.iter_any():
            await response.write(data)
        await response.write_eof()
        return response


async def run(arguments):
    """Serve the proxy until SIGTERM."""
    await serve(BareProxy(arguments.upstream).build_application(), arguments)
