"""Carry an idempotent call to an endpoint, and to another when that helps."""

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
from fescuedrum_entry.request.passage import AnswerMismatch, AnswerRelay
from fescuedrum_entry.request.requests import build_request

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
class Failed:
    """Say that the endpoint failed; its answer is in the reply."""


@dataclass(slots=True, frozen=True)
class Done:
    """Say that the whole answer went to the reply."""


class IdempotentRun:
    """Own one such call from its first choice of an endpoint to its outcome."""

    __slots__ = (
        "attempt",
        "call",
        "entry",
        "loop",
        "may_have_run",
        "passage",
        "repeats",
        "reply",
        "retries",
        "selection",
    )

    def __init__(self, entry, call, reply, selection):
        self.entry = entry
        self.call = call
        self.reply = reply
        self.selection = selection
        self.passage = AnswerRelay(reply)
        self.retries = entry.retries_of(call.service)
        self.attempt = 0
        self.repeats = 0
        self.may_have_run = False
        self.loop = asyncio.get_running_loop()

    async def run(self):
        """Fill the reply with a whole answer or raise a FescuedrumError."""
        self.retries.request(self.loop.time())
        try:
            async with asyncio.timeout_at(self.call.deadline):
                await self.try_until_done()
        except TimeoutError as error:
            raise AnswerTooLate("The deadline passed.") from error
        except AnswerMismatch as error:
            detail = "The answer broke off, and a repeat gave another one."
            raise OutcomeUnknown(detail) from error
        except FescuedrumError as error:
            # A later attempt that was refused says nothing of an earlier one.
            if self.may_have_run and error.outcome is Outcome.NOT_RUN:
                raise AnswerTooLate(error.detail) from error
            raise

    async def try_until_done(self):
        while True:
            link = await self.selection.next_link()
            result = await self.send(link)
            self.selection.mark_tried(link)
            self.may_have_run |= isinstance(result, Uncertain | Failed)
            match result:
                case Done():
                    return
                case NotRun(reason, retry_after_ms):
                    self.selection.refused(link, reason, retry_after_ms)
                    await self.pause(Overloaded(f"No endpoint took it: {reason}."))
                case Failed() if not self.is_repeatable():
                    await self.passage.finish(Outcome.FAILED)
                    return
                case Uncertain(reason) if not self.is_repeatable():
                    raise OutcomeUnknown(reason)

    async def pause(self, error):
        """Wait before the next attempt; raise the error when the deadline is near."""
        if self.loop.time() + RETRY_SECONDS >= self.call.deadline:
            raise error
        await asyncio.sleep(RETRY_SECONDS)

    def is_repeatable(self):
        """Take a repeat from the budget, if one more can still be in time."""
        now = self.loop.time()
        if self.repeats >= MAXIMUM_REPEATS or now + RETRY_SECONDS >= self.call.deadline:
            return False
        self.repeats += 1
        return self.retries.retries.spend(now)

    async def send(self, link):
        """Make one attempt, hedged when its head is late; relay its answer."""
        began = self.loop.time()
        race = Race(self, link)
        try:
            exchange, first = await race.first_frame()
            if isinstance(first, frames.ResponseHead):
                self.retries.hedge_delay.observe(self.loop.time() - began)
            result = await self.relay(exchange, first)
            if not isinstance(result, Uncertain):
                race.finished(exchange)
            return result
        finally:
            race.close()

    def open(self, link):
        self.attempt += 1
        return link.open(build_request(self.call, self.attempt, self.loop.time()))

    async def relay(self, exchange, frame):
        length = 0
        while True:
            match frame:
                case frames.Refusal():
                    return NotRun(frame.reason, frame.retry_after_ms)
                case Lost():
                    return Uncertain("The connection to the agent ended.")
                case frames.ResponseHead():
                    await self.passage.start(frame.status, frame.headers or [])
                case frames.Chunk():
                    if frame.offset != length:
                        return Uncertain("A part of the answer is missing.")
                    length += len(frame.data)
                    await self.passage.write(frame.data)
                    exchange.taken(len(frame.data))
                case frames.End():
                    return await self.settle(frame, length)
            frame = await exchange.receive()

    async def settle(self, end, length):
        if end.outcome == Outcome.NOT_RUN:
            return NotRun(end.reason, end.retry_after_ms)
        if end.outcome == Outcome.UNKNOWN or end.length != length:
            return Uncertain(end.reason or "The answer was cut.")
        if end.outcome == Outcome.FAILED and not self.reply.started:
            return Failed()
        await self.passage.finish(Outcome(end.outcome))
        return Done()


class Race:
    """Wait for the first head among one attempt and its hedge."""

    __slots__ = ("exchanges", "over", "run")

    def __init__(self, run, link):
        self.run = run
        self.exchanges = [run.open(link)]
        self.over = set()

    async def first_frame(self):
        """Return the exchange that answered first, and its frame."""
        waits = {asyncio.create_task(self.exchanges[0].receive()): self.exchanges[0]}
        try:
            delay = self.run.retries.hedge_delay.delay()
            done, _ = await asyncio.wait(waits, timeout=delay)
            if not done and (hedge := self.hedge()):
                waits[asyncio.create_task(hedge.receive())] = hedge
            return await self.winner(waits)
        finally:
            for task in waits:
                task.cancel()

    async def winner(self, waits):
        while True:
            done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                exchange = waits.pop(task)
                useful = isinstance(task.result(), frames.ResponseHead)
                if useful or not waits:
                    return exchange, task.result()
                # The other one is still at work; what this one said decides nothing.
                self.finished(exchange)
                if isinstance(task.result(), Lost):
                    self.run.may_have_run = True

    def hedge(self):
        """Send a second copy elsewhere, if the budget allows it."""
        run = self.run
        first = self.exchanges[0].link
        run.selection.mark_tried(first)
        link = run.selection.choose()
        if link is None or link is first:
            return None
        if not run.retries.hedges.spend(run.loop.time()):
            return None
        run.selection.mark_tried(link)
        self.exchanges.append(run.open(link))
        return self.exchanges[-1]

    def finished(self, exchange):
        """Note that an exchange needs no cancelling."""
        self.over.add(exchange)

    def close(self):
        """Cancel what still runs: the loser, or all when the caller has left."""
        for exchange in self.exchanges:
            exchange.close(finished=exchange in self.over)
