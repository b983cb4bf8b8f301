"""Check that a long answer to a slow reader does not fill the agent."""

import asyncio

from fescuedrum_agent.request.answer import AHEAD_BYTES, KEPT_BYTES, Answer


class Reader:
    def __init__(self):
        self.offset = 0


async def fill(answer, size, piece=64 * 1024):
    for _ in range(size // piece):
        answer.append(b"x" * piece)
        await answer.room()


async def test_the_endpoint_waits_for_a_slow_reader_of_a_long_answer():
    """A caller on a bad line reads a long report slowly.

    The agent took it from the endpoint at full speed and held all of it; a few such
    callers filled its memory, and every other request at that endpoint died with it.
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


async def test_a_reader_that_leaves_sets_the_endpoint_free():
    answer, reader = Answer(), Reader()
    answer.attach(reader)
    filling = asyncio.create_task(fill(answer, 5 * KEPT_BYTES))
    await asyncio.sleep(0.01)
    assert not filling.done()
    answer.detach(reader)
    await filling
    assert len(answer.body) <= KEPT_BYTES


async def test_a_short_answer_is_kept_whole_for_who_asks_again():
    answer, reader = Answer(), Reader()
    answer.attach(reader)
    await fill(answer, KEPT_BYTES)
    reader.offset = answer.end
    answer.detach(reader)
    assert answer.base == 0
    assert answer.read(0, KEPT_BYTES) == b"x" * KEPT_BYTES
