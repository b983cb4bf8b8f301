"""Check that a long answer to a slow reader does not fill the agent's memory."""

import asyncio

from fescuedrum_agent.request.answer import AHEAD_BYTES, KEPT_BYTES, Answer


class Reader:
    def __init__(self):
        self.offset = 0


async def fill(answer, size, piece=64 * 1024):
    for _ in range(size // piece):
        answer.append(b"x" * piece)
        await answer.wait_for_readers()


async def test_the_endpoint_waits_for_a_slow_reader_of_a_long_answer():
    """Guard against an agent whose memory is filled by answers to slow callers.

    An agent that reads long answers from the endpoint at full speed holds all of their
    bytes. When its memory is full, all requests at that endpoint fail.
    """
    answer, reader = Answer(), Reader()
    answer.attach(reader)
    filling = asyncio.create_task(fill(answer, 20 * KEPT_BYTES))
    largest = 0
    while not filling.done():
        await asyncio.sleep(0)
        largest = max(largest, len(answer.body))
        reader.offset = min(answer.end, reader.offset + 50_000)
        answer.advance()
    assert largest <= KEPT_BYTES + 2 * AHEAD_BYTES
    assert answer.end == 20 * KEPT_BYTES


async def test_the_endpoint_does_not_wait_for_a_reader_that_left():
    answer, reader = Answer(), Reader()
    answer.attach(reader)
    filling = asyncio.create_task(fill(answer, 5 * KEPT_BYTES))
    await asyncio.sleep(0.01)
    assert not filling.done()
    answer.detach(reader)
    await filling
    assert len(answer.body) <= KEPT_BYTES


async def test_a_short_answer_is_kept_whole_for_later_readers():
    answer, reader = Answer(), Reader()
    answer.attach(reader)
    await fill(answer, KEPT_BYTES)
    reader.offset = answer.end
    answer.detach(reader)
    assert answer.base == 0
    assert answer.read(0, KEPT_BYTES) == b"x" * KEPT_BYTES
