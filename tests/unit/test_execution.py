"""Check that the agent hands a request to its endpoint as it came."""

import aiohttp
from aiohttp import web
from support.builders import build_request

from fescuedrum.outcomes import Outcome
from fescuedrum.wire.gen.frames.ttypes import Header
from fescuedrum_agent.request.answer import Answer
from fescuedrum_agent.request.execution import Execution


async def test_the_endpoint_sees_path_and_headers_as_the_caller_sent_them():
    seen = []

    async def handle(request):
        seen.append(request)
        headers = {"Connection": "X-Hop", "X-Hop": "1", "X-Kept": "2"}
        return web.Response(body=b"\x1f\x8b", headers=headers)

    application = web.Application()
    application.router.add_route("*", "/{rest:.*}", handle)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    path = "/a%2Fb/%7Ec//d?x=%20&x=+"
    request = build_request(path=path, headers=[Header("X-One", "1")], body=b"")
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        answer = Answer()
        base = f"http://127.0.0.1:{runner.addresses[0][1]}"
        await Execution(session, base, request, answer).run()
    await runner.cleanup()
    (got,) = seen
    assert got.raw_path == path
    assert set(got.headers) == {"Host", "X-One", "Content-Length"}
    names = {header.name for header in answer.headers}
    assert answer.outcome is Outcome.ANSWERED
    assert "X-Kept" in names
    assert not {"X-Hop", "Connection"} & names
