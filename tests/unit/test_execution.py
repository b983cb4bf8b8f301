"""Check that the agent sends a request to its endpoint unchanged and only once."""

import asyncio

import pytest
from aiohttp import web
from support.builders import build_request

from fescuedrum.once import open_session
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
    async with open_session(keep_connections=True) as session:
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


class ClosingEndpoint:
    """Accept each request, answer /answered and close the connection on others."""

    def __init__(self):
        self.executions = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.executions.append(head.split(b" ", 2)[1].decode())
                if self.executions[-1] != "/answered":
                    break
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except asyncio.IncompleteReadError:
            pass
        writer.close()


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "PATCH", "GET"])
@pytest.mark.parametrize("warm", [False, True])
async def test_the_http_client_never_sends_a_request_twice(method, warm):
    """Guard against a deposit by PUT that is recorded twice though sent once.

    The service records it and its process ends before it answers. The HTTP client
    regards PUT as idempotent and would send it again to the next process by itself.
    """
    endpoint = ClosingEndpoint()
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    base = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with open_session(keep_connections=True) as session:
        if warm:
            first = build_request(method="POST", path="/answered", body=b"")
            await Execution(session, base, first, Answer()).run()
        answer = Answer()
        request = build_request(method=method, path="/deposit", body=b"")
        await Execution(session, base, request, answer).run()
    server.close()
    assert answer.outcome is Outcome.UNKNOWN
    assert endpoint.executions.count("/deposit") == 1


@pytest.mark.parametrize(("kept", "connections"), [(True, 1), (False, 3)])
async def test_non_repeatable_requests_get_their_own_connections(kept, connections):
    """Guard against a booking that ends as unknown although its service is healthy.

    The service closes a connection that was idle for a minute just as the next booking
    is sent on it, so that the agent can't know whether the booking ran.
    """
    endpoint = ClosingEndpoint()
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    base = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with open_session(keep_connections=kept) as session:
        for _ in range(3):
            answer = Answer()
            request = build_request(method="POST", path="/answered", body=b"")
            await Execution(session, base, request, answer).run()
            assert answer.outcome is Outcome.ANSWERED
    server.close()
    assert endpoint.connections == connections
