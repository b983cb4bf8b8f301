"""Carry out the steps of a request that may run at most once."""

import asyncio
import uuid

from fescuedrum.claims import steps
from fescuedrum.claims.keyed import KeyedRequest
from fescuedrum.claims.ledger import FenceResult
from fescuedrum.decisions.admission import RefusalReason
from fescuedrum.exceptions import (
    DeadlinePassed,
    FescuedrumError,
    KeyNotChecked,
    KeyReused,
    OutcomeUnknown,
    OutcomeUnknownUnkeyed,
    StoreUnavailable,
)
from fescuedrum.faults import ProtocolStep
from fescuedrum.outcomes import Outcome
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum_entry.connection.link import Lost
from fescuedrum_entry.request import rows
from fescuedrum_entry.request.call import Repetition
from fescuedrum_entry.request.collector import Collector
from fescuedrum_entry.request.requests import build_request
from fescuedrum_entry.request.trace import Step

STORE_RETRY_SECONDS = 0.1
ASK_RETRY_SECONDS = 0.05
ASK_SECONDS = 1.0
# The last part of the time is for saying truthfully what became of the request.
CLOSING_SHARE = 0.1
MAXIMUM_CLOSING_SECONDS = 0.5
# No frame for so long, on a connection that works, means that the agent has lost
# sight of the request; asking again costs two frames.
PROGRESS_SECONDS = 10.0


class KeyedRun:
    """Own one such call from its first choice of an agent to its outcome."""

    __slots__ = (
        "attempt",
        "call",
        "collector",
        "connection",
        "entry",
        "error",
        "key",
        "loop",
        "request",
        "rows",
        "selection",
    )

    def __init__(self, entry, call, reply, selection):
        self.entry = entry
        self.call = call
        self.selection = selection
        self.collector = Collector(reply)
        self.loop = asyncio.get_running_loop()
        self.attempt = 0
        # The error that ends the call if it can be shown not to have run.
        self.error = None
        # The connection that was open when the table was last asked.
        self.connection = None
        token = uuid.uuid4().hex
        self.request = KeyedRequest(token, rows.body_hash(call))
        if call.repetition is Repetition.KEYED:
            self.rows = entry.claims
            self.key = rows.claim_key(call.organisation, call.service, call.key)
        else:
            self.rows = rows.PrivateRow()
            self.key = rows.unkeyed_key(token)

    async def run(self):
        """Fill the reply with a whole answer or raise a FescuedrumError."""
        step = self.request.start()
        while True:
            match step:
                case steps.Replay(answer):
                    return await self.collector.replay(answer)
                case steps.Record():
                    return await self.end(step)
                case steps.RefuseBody():
                    raise KeyReused("The Idempotency-Key stands for another request.")
                case steps.Tell():
                    raise self.error_for(step)
            event = await self.perform_in_time(step)
            self.note(step, event)
            step = self.request.handle(event)
            if self.error is not None and not self.request.closing:
                # Waiting on would only keep the caller from its answer.
                step = self.request.handle(steps.DeadlineNear())

    def note(self, step, event):
        """Put a step and what came of it into the request's trace."""
        if trace := self.entry.traces.running.get(self.call.request_id):
            names = {"did": type(step).__name__, "result": type(event).__name__}
            trace.note(Step.KEYED, self.loop.time(), **names)

    def error_for(self, tell):
        if tell.outcome is Outcome.UNKNOWN:
            keyed = self.call.repetition is Repetition.KEYED
            kind = OutcomeUnknown if keyed else OutcomeUnknownUnkeyed
            return kind(tell.reason)
        if not tell.key_checked:
            return KeyNotChecked(tell.reason, retry_after=1)
        return self.error or DeadlinePassed(tell.reason)

    async def perform_in_time(self, step):
        """Carry out a step; the end of the time is an event like others."""
        closing = self.request.closing
        try:
            async with asyncio.timeout_at(self.limit(closing)):
                return await self.perform(step)
        except TimeoutError:
            return steps.StoreSilent() if closing else steps.DeadlineNear()
        except FescuedrumError as error:
            # No agent can take it; whether it ran under its key is still to be shown.
            self.error = error
            return steps.DeadlineNear()

    def limit(self, closing):
        deadline = self.call.deadline
        if closing:
            return max(deadline, self.loop.time() + MAXIMUM_CLOSING_SECONDS / 2)
        share = (deadline - self.loop.time()) * CLOSING_SHARE
        return deadline - min(MAXIMUM_CLOSING_SECONDS, max(share, 0.0))

    async def perform(self, step):
        match step:
            case steps.ChooseAgent():
                return await self.choose()
            case steps.ReadRow():
                return await self.read_row()
            case steps.WriteRow():
                return await self.write_row(step)
            case steps.Dispatch():
                return await self.dispatch(step.claim)
            case steps.Ask():
                return await self.ask(step.claim)
            case steps.Follow():
                return await self.follow(step.claim)

    async def choose(self):
        link = await self.selection.next_link()
        return steps.Chosen(link.instance.name, link.incarnation)

    async def read_row(self):
        claim = self.request.claim
        if claim is not None:
            self.confirm(claim.agent)
        try:
            return steps.RowRead(*await self.rows.read(self.key))
        except StoreUnavailable:
            await asyncio.sleep(STORE_RETRY_SECONDS)
            return steps.StoreSilent()

    async def write_row(self, step):
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_BEFORE_CLAIM)
        self.confirm(step.claim.agent)
        try:
            applied = await self.rows.write(self.key, step.claim, step.expected_version)
        except StoreUnavailable:
            await asyncio.sleep(STORE_RETRY_SECONDS)
            return steps.StoreSilent()
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_CLAIMED)
        return steps.WriteDone(applied)

    def confirm(self, agent):
        """Remember the connection over which alone the claim may now be sent."""
        link = self.entry.links.get(agent)
        self.connection = link.connection if link is not None else None

    async def dispatch(self, claim):
        link = self.entry.links.get(claim.agent)
        current = link is not None and link.connection is not None
        if (
            not current
            or link.connection is not self.connection
            or link.incarnation != claim.incarnation
            or link.last_heartbeat is None
        ):
            return steps.NotSent()
        event = await self.exchange(link, claim, attach_only=False)
        if isinstance(event, steps.Refused):
            return self.refused(link, event)
        return event

    def refused(self, link, event):
        if event.reason == RefusalReason.KEY_UNKNOWN:
            return steps.ConnectionLost()
        self.selection.mark_tried(link)
        return event

    async def follow(self, claim):
        link = self.entry.links.get(claim.agent)
        if link is None or link.connection is None:
            await asyncio.sleep(ASK_RETRY_SECONDS)
            return steps.ConnectionLost()
        event = await self.exchange(link, claim, attach_only=True)
        if isinstance(event, steps.Refused):
            await asyncio.sleep(ASK_RETRY_SECONDS)
            return steps.ConnectionLost()
        return event

    async def exchange(self, link, claim, *, attach_only):
        """Send the request over a link and pass on what comes for it."""
        self.attempt += 1
        request = build_request(self.call, self.attempt, self.loop.time())
        request.key = self.key
        request.token = claim.token
        request.key_attempt = claim.attempt
        request.incarnation = claim.incarnation
        request.attach_only = attach_only
        request.resume_offset = self.collector.length
        exchange = link.open(request)
        if not attach_only:
            self.entry.faults.crash_if_set(ProtocolStep.ENTRY_DISPATCHED)
        finished = False
        try:
            event = await self.receive(exchange)
            finished = not isinstance(event, steps.ConnectionLost)
            return event
        finally:
            exchange.close(finished=finished)

    async def receive(self, exchange):
        while True:
            match await next_frame(exchange):
                case frames.Refusal() as refusal:
                    return self.take_refusal(exchange.link, refusal)
                case Lost() | None:
                    return steps.ConnectionLost()
                case frames.ResponseHead() as head:
                    await self.collector.start(head)
                case frames.Chunk() as chunk:
                    if chunk.offset != self.collector.length:
                        return steps.ConnectionLost()
                    await self.collector.write(chunk.data)
                    exchange.taken(len(chunk.data))
                case frames.End() as end:
                    return self.take_end(exchange.link, end)

    def take_refusal(self, link, refusal):
        if refusal.reason not in (
            RefusalReason.KEY_UNKNOWN,
            RefusalReason.FENCED,
            RefusalReason.OTHER_INCARNATION,
        ):
            self.note_refusal(link, refusal.reason, refusal.retry_after_ms)
        return steps.Refused(refusal.reason)

    def note_refusal(self, link, reason, retry_after_ms):
        """Tell the selection; when another try is no use, the call ends not run."""
        try:
            self.selection.refused(link, reason, retry_after_ms)
        except FescuedrumError as error:
            self.error = error

    def take_end(self, link, end):
        if end.outcome == Outcome.NOT_RUN:
            self.note_refusal(link, end.reason, end.retry_after_ms)
        elif end.outcome != Outcome.UNKNOWN and end.length != self.collector.length:
            return steps.ConnectionLost()
        answer = self.collector.recorded(end.outcome)
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_ANSWERED)
        return steps.Ended(Outcome(end.outcome), answer, end.reason or "")

    async def ask(self, claim):
        """Ask the claim's agent for its verdict, over whichever connection there is."""
        link = self.entry.links.get(claim.agent)
        if link is None or link.connection is None:
            await asyncio.sleep(ASK_RETRY_SECONDS)
            return steps.CannotAsk()
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_BEFORE_FENCE)
        patience = self.entry.settings.fence_patience_seconds
        fence = frames.Fence(
            key=self.key,
            key_attempt=claim.attempt,
            incarnation=claim.incarnation,
            patience_ms=int(patience * 1000),
        )
        exchange = link.ask(fence)
        try:
            async with asyncio.timeout(patience + ASK_SECONDS):
                reply = await exchange.receive()
        except TimeoutError:
            return steps.CannotAsk()
        finally:
            exchange.close(finished=True)
        if not isinstance(reply, frames.FenceReply):
            await asyncio.sleep(ASK_RETRY_SECONDS)
            return steps.CannotAsk()
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_FENCED)
        return steps.Answered(FenceResult(reply.verdict))

    async def end(self, step):
        """Give the caller the end of the answer, then keep it in the key's row."""
        # A large answer has no bytes in the row; its outcome is in the reply's status.
        await self.collector.finish(self.outcome_of(step))
        self.entry.spawn(self.record(step))

    def outcome_of(self, step):
        if step.claim.answer is not None:
            return step.claim.answer.outcome
        failed = self.collector.head.status >= 500
        return Outcome.FAILED if failed else Outcome.ANSWERED

    async def record(self, step):
        """Keep the end in the row and let the agent forget the answer."""
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_REPLIED)
        try:
            applied = await self.rows.write(self.key, step.claim, step.expected_version)
        except StoreUnavailable:
            # The agent keeps the answer; the next repeat of the key records it.
            return
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_RECORDED)
        link = self.entry.links.get(step.claim.agent)
        if applied and link is not None:
            keep = step.claim.answer is None and self.rows is self.entry.claims
            link.send(recorded=frames.Recorded(self.key, keep))


async def next_frame(exchange):
    """Return the next frame; None when nothing has come for too long."""
    try:
        async with asyncio.timeout(PROGRESS_SECONDS):
            return await exchange.receive()
    except TimeoutError:
        return None
