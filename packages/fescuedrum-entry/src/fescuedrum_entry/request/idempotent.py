"""Run idempotent calls, with hedges and with retries at other endpoints."""

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

MAXIMUM_RETRIES = 3
RETRY_SECONDS = 0.02


@dataclass(slots=True, frozen=True)
class NotRun:
    """Report that an attempt certainly did not run."""

    reason: str
    # Retry delay given by the agent, or None if it gave none.
    retry_after_ms: int | None = None


@dataclass(slots=True, frozen=True)
class Uncertain:
    """Report that an attempt may have run."""

    reason: str


@dataclass(slots=True, frozen=True)
class Failed:
    """Report that the endpoint failed; its answer is in the reply."""


@dataclass(slots=True, frozen=True)
class Done:
    """Report that the whole answer was written to the reply."""


class IdempotentRun:
    """Run one idempotent call from choosing its first endpoint to its outcome."""

    __slots__ = (
        "answer_relay",
        "attempt",
        "call",
        "entry",
        "loop",
        "may_have_run",
        "reply",
        "retries",
        "retries_taken",
        "selection",
    )

    def __init__(self, entry, call, reply, selection):
        self.entry = entry
        self.call = call
        self.reply = reply
        self.selection = selection
        self.answer_relay = AnswerRelay(reply)
        self.retries = entry.get_retry_budgets(call.service)
        self.attempt = 0
        self.retries_taken = 0
        self.may_have_run = False
        self.loop = asyncio.get_running_loop()

    async def run(self):
        """Write the whole answer into the reply or raise a FescuedrumError."""
        self.retries.request(self.loop.time())
        try:
            async with asyncio.timeout_at(self.call.deadline):
                await self.try_until_done()
        except TimeoutError as error:
            raise AnswerTooLate("The deadline passed.") from error
        except AnswerMismatch as error:
            detail = "The answer was interrupted, and a retry gave another."
            raise OutcomeUnknown(detail) from error
        except FescuedrumError as error:
            # A refused attempt doesn't show that an earlier one didn't run.
            if self.may_have_run and error.outcome is Outcome.NOT_RUN:
                raise AnswerTooLate(error.detail) from error
            raise

    async def try_until_done(self):
        """Make attempts until one gives a final result or no retry is allowed."""
        while True:
            link = await self.selection.next_link()
            result = await self.send(link)
            self.selection.mark_tried(link)
            self.may_have_run |= isinstance(result, Uncertain | Failed)
            match result:
                case Done():
                    return
                case NotRun(reason, retry_after_ms):
                    self.selection.handle_refusal(link, reason, retry_after_ms)
                    await self.pause(
                        Overloaded(f"No endpoint accepted the request: {reason}.")
                    )
                case Failed() if not self.take_retry():
                    await self.answer_relay.finish(Outcome.FAILED)
                    return
                case Uncertain(reason) if not self.take_retry():
                    raise OutcomeUnknown(reason)

    async def pause(self, error):
        """Wait before the next attempt, or raise the error if the deadline is near."""
        if self.loop.time() + RETRY_SECONDS >= self.call.deadline:
            raise error
        await asyncio.sleep(RETRY_SECONDS)

    def take_retry(self):
        """Take a retry from the budget; return whether one is allowed and in time."""
        now = self.loop.time()
        if (
            self.retries_taken >= MAXIMUM_RETRIES
            or now + RETRY_SECONDS >= self.call.deadline
        ):
            return False
        self.retries_taken += 1
        return self.retries.retries.spend(now)

    async def send(self, link):
        """Make one attempt, with a hedge if its head is late, and relay its answer.

        Return NotRun, Uncertain, Failed or Done.
        """
        started = self.loop.time()
        hedged_attempt = HedgedAttempt(self, link)
        try:
            exchange, first = await hedged_attempt.first_frame()
            if isinstance(first, frames.ResponseHead):
                self.retries.hedge_delay.observe(self.loop.time() - started)
            result = await self.relay(exchange, first)
            if not isinstance(result, Uncertain):
                hedged_attempt.mark_ended(exchange)
            return result
        finally:
            hedged_attempt.close()

    def send_attempt(self, link):
        """Send the call over a link as a new attempt and return its exchange."""
        self.attempt += 1
        return link.send_request(
            build_request(self.call, self.attempt, self.loop.time())
        )

    async def relay(self, exchange, frame):
        """Relay an exchange's frames to the reply and return the attempt's result."""
        length = 0
        while True:
            match frame:
                case frames.Refusal():
                    return NotRun(frame.reason, frame.retry_after_ms)
                case Lost():
                    return Uncertain("The connection to the agent ended.")
                case frames.ResponseHead():
                    await self.answer_relay.start(frame.status, frame.headers or [])
                case frames.Chunk():
                    if frame.offset != length:
                        return Uncertain("A part of the answer is missing.")
                    length += len(frame.data)
                    await self.answer_relay.write(frame.data)
                    exchange.grant_credit(len(frame.data))
                case frames.End():
                    return await self.classify_end(frame, length)
            frame = await exchange.receive()

    async def classify_end(self, end, length):
        """Return the result of an attempt from its End frame."""
        if end.outcome == Outcome.NOT_RUN:
            return NotRun(end.reason, end.retry_after_ms)
        if end.outcome == Outcome.UNKNOWN or end.length != length:
            return Uncertain(end.reason or "The answer was incomplete.")
        if end.outcome == Outcome.FAILED and not self.reply.started:
            return Failed()
        await self.answer_relay.finish(Outcome(end.outcome))
        return Done()


class HedgedAttempt:
    """Race one attempt against its hedge for the first response head."""

    __slots__ = ("ended", "exchanges", "run")

    def __init__(self, run, link):
        self.run = run
        self.exchanges = [run.send_attempt(link)]
        self.ended = set()

    async def first_frame(self):
        """Return the exchange whose head came first, and the frame.

        Without a head, return the exchange that ended last, and its frame.
        """
        waits = {asyncio.create_task(self.exchanges[0].receive()): self.exchanges[0]}
        try:
            delay = self.run.retries.hedge_delay.delay()
            done, _ = await asyncio.wait(waits, timeout=delay)
            if not done and (hedge := self.send_hedge()):
                waits[asyncio.create_task(hedge.receive())] = hedge
            return await self.wait_for_head(waits)
        finally:
            for task in waits:
                task.cancel()

    async def wait_for_head(self, waits):
        """Return the first exchange with a head, or the last one to end."""
        while True:
            done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                exchange = waits.pop(task)
                useful = isinstance(task.result(), frames.ResponseHead)
                if useful or not waits:
                    return exchange, task.result()
                # The other attempt is still running, so this frame doesn't decide yet.
                self.mark_ended(exchange)
                if isinstance(task.result(), Lost):
                    self.run.may_have_run = True

    def send_hedge(self):
        """Send the call to another endpoint and return the exchange, or None.

        There is no hedge without another endpoint or a free place in the budget.
        """
        run = self.run
        first = self.exchanges[0].link
        run.selection.mark_tried(first)
        link = run.selection.choose()
        if link is None or link is first:
            return None
        if not run.retries.hedges.spend(run.loop.time()):
            return None
        run.selection.mark_tried(link)
        self.exchanges.append(run.send_attempt(link))
        return self.exchanges[-1]

    def mark_ended(self, exchange):
        """Record that an exchange has ended and needs no cancellation."""
        self.ended.add(exchange)

    def close(self):
        """Close all exchanges and cancel those that have not ended."""
        for exchange in self.exchanges:
            exchange.close(finished=exchange in self.ended)
