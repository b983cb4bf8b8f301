"""Carry a call to an endpoint and say truthfully what became of it."""

import asyncio
from dataclasses import dataclass

from fescuedrum.exceptions import (
    AnswerTooLate,
    FescuedrumError,
    OutcomeUnknown,
    Overloaded,
)
from fescuedrum.outcomes import Outcome
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum_entry.connection.link import Lost
from fescuedrum_entry.request.call import Repetition
from fescuedrum_entry.request.keyed import KeyedRun
from fescuedrum_entry.request.requests import build_request
from fescuedrum_entry.request.selection import Selection

MAXIMUM_REPEATS = 3
RETRY_SECONDS = 0.02


@dataclass(slots=True, frozen=True)
class NotRun:
    """Say that an attempt provably did not run."""

    reason: str
    # When the agent said to come back; None when it said nothing of it.
    retry_after_ms: int | None = None


@dataclass(slots=True, frozen=True)
class Uncertain:
    """Say that an attempt may have run."""

    reason: str


@dataclass(slots=True, frozen=True)
class Done:
    """Say that the whole answer went to the reply."""


class Dispatcher:
    """Own one call from its admission to its outcome."""

    __slots__ = (
        "attempt",
        "call",
        "entry",
        "loop",
        "may_have_run",
        "reply",
        "selection",
    )

    def __init__(self, entry, call, reply):
        self.entry = entry
        self.call = call
        self.reply = reply
        self.attempt = 0
        self.may_have_run = False
        self.selection = Selection(entry, call)
        self.loop = asyncio.get_running_loop()

    async def run(self):
        """Fill the reply with a whole answer or raise a FescuedrumError."""
        if self.call.repetition is not Repetition.IDEMPOTENT:
            run = KeyedRun(self.entry, self.call, self.reply, self.selection)
            return await run.run()
        try:
            return await self.run_idempotent()
        except FescuedrumError as error:
            # A later attempt that was refused says nothing of an earlier one.
            if self.may_have_run and error.outcome is Outcome.NOT_RUN:
                raise AnswerTooLate(error.detail) from error
            raise

    async def run_idempotent(self):
        repeats = 0
        while True:
            link = await self.selection.next_link()
            result = await self.send(link)
            self.selection.mark_tried(link)
            self.may_have_run |= isinstance(result, Uncertain)
            match result:
                case Done():
                    return
                case NotRun(reason, retry_after_ms):
                    self.selection.refused(link, reason, retry_after_ms)
                    await self.pause(Overloaded(f"No endpoint took it: {reason}."))
                case Uncertain() if self.may_repeat():
                    repeats += 1
                case Uncertain(reason):
                    raise OutcomeUnknown(reason)
            if repeats >= MAXIMUM_REPEATS:
                raise OutcomeUnknown(result.reason)

    async def pause(self, error):
        """Wait before the next attempt; raise the error when the deadline is near."""
        if self.loop.time() + RETRY_SECONDS >= self.call.deadline:
            raise error
        await asyncio.sleep(RETRY_SECONDS)

    def may_repeat(self):
        return not self.reply.started

    async def send(self, link):
        """Make one attempt; relay its answer to the reply."""
        self.attempt += 1
        request = build_request(self.call, self.attempt, self.loop.time())
        exchange = link.open(request)
        finished = False
        try:
            async with asyncio.timeout_at(self.call.deadline):
                result = await self.relay(exchange)
            finished = not isinstance(result, Uncertain)
            return result
        except TimeoutError as error:
            raise AnswerTooLate("The deadline passed.") from error
        finally:
            exchange.close(finished=finished)

    async def relay(self, exchange):
        length = 0
        while True:
            match await exchange.receive():
                case frames.Refusal() as refusal:
                    return NotRun(refusal.reason, refusal.retry_after_ms)
                case Lost():
                    return Uncertain("The connection to the agent ended.")
                case frames.ResponseHead() as head:
                    await self.reply.start(head.status, head.headers)
                case frames.Chunk() as chunk:
                    if chunk.offset != length:
                        return Uncertain("A part of the answer is missing.")
                    length += len(chunk.data)
                    await self.reply.write(chunk.data)
                    exchange.taken(len(chunk.data))
                case frames.End() as end:
                    return await self.settle(end, length)

    async def settle(self, end, length):
        if end.outcome == Outcome.NOT_RUN:
            return NotRun(end.reason, end.retry_after_ms)
        if end.outcome == Outcome.FAILED and self.may_repeat():
            return Uncertain(end.reason)
        if end.outcome == Outcome.UNKNOWN or end.length != length:
            return Uncertain(end.reason or "The answer was cut.")
        await self.reply.finish(Outcome(end.outcome))
        return Done()
