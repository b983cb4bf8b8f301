"""Check that all who read answers reject the ones that are broken."""

import asyncio
import json

import aiohttp
from support.engines import read_request
from support.raw_answers import head

from fescuedrum.answer_connection import AnswerConnector


def answer_of(data, status=b"200 OK", *fields):
    """Return the bytes of an answer with JSON data, or with a JSON text."""
    body = (data if isinstance(data, str) else json.dumps(data)).encode()
    length = b"Content-Length: %d" % len(body)
    return head(b"HTTP/1.1 " + status, *fields, framing=length) + body


class TalkativePeer:
    """Send a second answer, which nobody has asked for, some time after the first."""

    def __init__(self):
        self.connections = 0

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.connections += 1
        try:
            while True:
                await read_request(reader, writer)
                writer.write(answer_of({"number": self.connections}))
                await asyncio.sleep(0.05)
                writer.write(answer_of({"number": "late"}))
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


async def test_a_late_second_answer_is_not_that_of_the_next_request():
    """Guard against the answer to an earlier request on a kept connection."""
    peer = TalkativePeer()
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    numbers = []
    async with aiohttp.ClientSession(connector=AnswerConnector()) as session:
        for _ in range(4):
            async with session.get(url) as answer:
                numbers.append((await answer.json(content_type=None))["number"])
            await asyncio.sleep(0.15)
    server.close()
    assert numbers == [1, 2, 3, 4]
