"""Carry a call to an endpoint and say truthfully what became of it."""

import asyncio
import uuid
from dataclasses import dataclass

from fescuedrum.exceptions import (
    DeadlinePassed,
    OutcomeUnknown,
    Overloaded,
)
from fescuedrum.outcomes import Outcome
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum_entry.connection.link import Lost
from fescuedrum_entry.request import claims
from fescuedrum_entry.request.call import Repetition
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

    __slots__ = ("attempt", "call", "entry", "loop", "reply", "selection", "token")

    def __init__(self, entry, call, reply):
        self.entry = entry
        self.call = call
        self.reply = reply
        self.attempt = 0
        self.token = uuid.uuid4().hex
        self.selection = Selection(entry, call)
        self.loop = asyncio.get_running_loop()

    async def run(self):
        """Fill the reply with a whole answer or raise a FescuedrumError."""
        if self.call.repetition is Repetition.KEYED:
            return await self.run_keyed()
        repeats = 0
        while True:
            link = await self.selection.next_link()
            result = await self.send(link)
            self.selection.mark_tried(link)
            match result:
                case Done():
                    return None
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
        idempotent = self.call.repetition is Repetition.IDEMPOTENT
        return idempotent and not self.reply.started

    async def run_keyed(self):
        link = await self.selection.next_link()
        name = link.instance.name
        table = self.entry.platform
        claim = await claims.claim(table, self.call, name, self.token, self.loop)
        if not claim.mine:
            link = self.entry.links.get(claim.agent)
        await self.run_claimed(link, claim)

    async def run_claimed(self, link, claim):
        """Run a claimed key at the agent that its claim names, or read its answer.

        Only that agent may run it, so its refusal is no reason to go elsewhere.
        """
        while True:
            if link is None or not link.usable:
                result = Uncertain(f"Agent {claim.agent} can't be asked.")
            else:
                result = await self.send(
                    link, token=claim.token, attach_only=not claim.mine
                )
            match result:
                case Done():
                    return
                case NotRun(reason):
                    await self.pause(
                        OutcomeUnknown(f"It waits at its agent: {reason}.")
                    )
                case Uncertain(reason):
                    raise OutcomeUnknown(reason)

    async def send(self, link, *, token=None, attach_only=False):
        """Make one attempt; relay its answer to the reply."""
        self.attempt += 1
        exchange = link.open(self.build_request(token or self.token, attach_only))
        finished = False
        try:
            async with asyncio.timeout_at(self.call.deadline):
                result = await self.relay(exchange)
            finished = not isinstance(result, Uncertain)
            return result
        except TimeoutError as error:
            if self.call.repetition is Repetition.IDEMPOTENT:
                raise DeadlinePassed("The deadline passed.") from error
            return Uncertain("The deadline passed while the request was running.")
        finally:
            exchange.close(finished=finished)

    def build_request(self, token, attach_only):
        call = self.call
        budget = max(1, int((call.deadline - self.loop.time()) * 1000))
        return frames.Request(
            attempt=self.attempt,
            request_id=call.request_id,
            organisation=call.organisation,
            service_name=call.service,
            method=call.method,
            path=call.path,
            headers=[frames.Header(name, value) for name, value in call.headers],
            body=call.body,
            budget_ms=budget,
            idempotent=call.repetition is Repetition.IDEMPOTENT,
            key=f"{call.organisation}/{call.key}" if call.key else None,
            token=token,
            priority=call.priority,
            cost=call.cost,
            attach_only=attach_only,
        )

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
