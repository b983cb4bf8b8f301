"""Check when the relay sends the bytes of an answer, on the paused clock."""

import asyncio

import pytest
from support.builders import build_request
from support.clock import run_paused

from fescuedrum.outcomes import Outcome
from fescuedrum_agent.connection.relay import MERGE_SECONDS, Relay
from fescuedrum_agent.request.answer import Answer

EVENT = b"data: token\n\n"
# The paused clock adds up floating point steps.
ROUNDING = 1e-6


class Session:
    """Record what is sent and when."""

    def __init__(self):
        self.connection = self
        self.sent = []

    async def wait_until_writable(self):
        return

    def send(self, kind, number, attempt, **fields):
        self.sent.append((asyncio.get_running_loop().time(), kind, fields))


async def relay_stream(step, count, piece=EVENT):
    """Relay pieces made at an interval; return (times of production, sent chunks)."""
    session, answer, times = Session(), Answer(), []
    request = build_request(window=1024 * 1024)
    task = asyncio.create_task(Relay(session, request, answer).run())
    loop = asyncio.get_running_loop()
    answer.start(200, [])
    for _ in range(count):
        await asyncio.sleep(step)
        answer.append(piece)
        times.append(loop.time())
    answer.finish(Outcome.ANSWERED)
    await task
    return times, [line for line in session.sent if line[1] == "chunk"]


def delays(times, chunks, size):
    """Return how long each produced piece was held."""
    held = []
    for index, produced in enumerate(times):
        end = (index + 1) * size
        left = next(
            at
            for at, _, fields in chunks
            if fields["offset"] + len(fields["data"]) >= end
        )
        held.append(left - produced)
    return held


def test_tokens_of_a_quick_stream_share_chunks_and_none_is_held_long():
    times, chunks = run_paused(relay_stream(0.0005, 200))
    assert len(chunks) <= 200 / 8
    held = delays(times, chunks, len(EVENT))
    assert held[0] == pytest.approx(0, abs=ROUNDING)
    assert max(held) <= MERGE_SECONDS + ROUNDING


def test_tokens_at_the_usual_rate_are_not_held():
    times, chunks = run_paused(relay_stream(0.03, 20))
    assert len(chunks) == 20
    assert max(delays(times, chunks, len(EVENT))) <= ROUNDING


def test_a_bulk_body_is_not_delayed():
    piece = b"x" * 8192
    times, chunks = run_paused(relay_stream(0.0001, 100, piece))
    assert max(delays(times, chunks, len(piece))) <= ROUNDING
