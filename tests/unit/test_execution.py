"""Check that the agent hands a request to its endpoint as it came."""

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


class Forgetful:
    """Run each request, answer those to /answered and close on all others."""

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
async def test_a_request_is_never_sent_twice_by_the_client_itself(method, warm):
    """A club's deposit is recorded twice though it was sent once, by PUT.

    The service records it and its process dies before it answers. The HTTP client
    takes PUT for repeatable and sends it again to the next process by itself.
    """
    endpoint = Forgetful()
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
async def test_what_may_not_be_repeated_gets_a_connection_of_its_own(kept, connections):
    """A booking ends unknown although its service is well.

    The service closes a connection that has been idle for a minute just as the next
    booking leaves on it; whether it ran can't be told.
    """
    endpoint = Forgetful()
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
