"""Run calls that may run at most once, as directed by KeyedRequest."""

import asyncio
import uuid

from fescuedrum.claims import steps
from fescuedrum.claims.keyed import KeyedRequest
from fescuedrum.claims.ledger import FenceResult
from fescuedrum.decisions.admitting.admission import RefusalReason
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
AGENT_RETRY_SECONDS = 0.05
FENCE_REPLY_MARGIN_SECONDS = 1.0
# Last part of the time to the deadline, kept for finding out the request's outcome.
CLOSING_SHARE = 0.1
MAXIMUM_CLOSING_SECONDS = 0.5
# Without a frame for this long on a working connection, the agent has lost track of the
# request; asking again costs two frames.
FRAME_TIMEOUT_SECONDS = 10.0


class KeyedRun:
    """Run one at-most-once call from choosing its agent to its outcome."""

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
        # The error that ends the call if the call provably didn't run.
        self.error = None
        # The connection that was open when the row was last read or written.
        self.connection = None
        token = uuid.uuid4().hex
        self.request = KeyedRequest(token, rows.body_hash(call))
        if call.repetition is Repetition.KEYED:
            self.rows = entry.claims
            self.key = rows.claim_key(call.organisation, call.service, call.key)
        else:
            self.rows = rows.UnsharedRow()
            self.key = rows.unkeyed_request_key(token)

    async def run(self):
        """Write the whole answer into the reply or raise a FescuedrumError."""
        step = self.request.start()
        while True:
            match step:
                case steps.Replay(answer):
                    return await self.collector.replay(answer)
                case steps.Record():
                    return await self.finish_answer(step)
                case steps.RefuseBody():
                    raise KeyReused(
                        "The Idempotency-Key was used for a different request."
                    )
                case steps.Tell():
                    raise self.build_error(step)
            event = await self.perform_before_deadline(step)
            self.trace_step(step, event)
            step = self.request.handle(event)
            if self.error is not None and not self.request.closing:
                # Waiting longer would only delay the caller's answer.
                step = self.request.handle(steps.DeadlineNear())

    def trace_step(self, step, event):
        """Add a step and its result to the request's trace."""
        if trace := self.entry.traces.running.get(self.call.request_id):
            names = {"did": type(step).__name__, "result": type(event).__name__}
            trace.add_step(Step.KEYED, self.loop.time(), **names)

    def build_error(self, tell):
        """Return the error that tells the caller why there is no answer."""
        if tell.outcome is Outcome.UNKNOWN:
            keyed = self.call.repetition is Repetition.KEYED
            kind = OutcomeUnknown if keyed else OutcomeUnknownUnkeyed
            return kind(tell.reason)
        if not tell.key_checked:
            return KeyNotChecked(tell.reason, retry_after=1)
        return self.error or DeadlinePassed(tell.reason)

    async def perform_before_deadline(self, step):
        """Perform a step and return its event, also when the time runs out."""
        closing = self.request.closing
        try:
            async with asyncio.timeout_at(self.step_deadline(closing)):
                return await self.perform(step)
        except TimeoutError:
            return steps.StoreSilent() if closing else steps.DeadlineNear()
        except FescuedrumError as error:
            # No agent is available, but the call may have run earlier under its key.
            self.error = error
            return steps.DeadlineNear()

    def step_deadline(self, closing):
        """Return the loop time by which the next step must have ended."""
        deadline = self.call.deadline
        if closing:
            return max(deadline, self.loop.time() + MAXIMUM_CLOSING_SECONDS / 2)
        share = (deadline - self.loop.time()) * CLOSING_SHARE
        return deadline - min(MAXIMUM_CLOSING_SECONDS, max(share, 0.0))

    async def perform(self, step):
        """Perform a step and return the event that it led to."""
        match step:
            case steps.ChooseAgent():
                return await self.choose_agent()
            case steps.ReadRow():
                return await self.read_row()
            case steps.WriteRow():
                return await self.write_row(step)
            case steps.Dispatch():
                return await self.dispatch(step.claim)
            case steps.Ask():
                return await self.ask_agent(step.claim)
            case steps.Follow():
                return await self.follow_execution(step.claim)

    async def choose_agent(self):
        """Choose an agent for the call; wait for one if none is available."""
        link = await self.selection.next_link()
        return steps.Chosen(link.instance.name, link.incarnation)

    async def read_row(self):
        """Read the key's row and return its claim, or that the store is silent."""
        claim = self.request.claim
        if claim is not None:
            self.remember_connection(claim.agent)
        try:
            return steps.RowRead(*await self.rows.read(self.key))
        except StoreUnavailable:
            await asyncio.sleep(STORE_RETRY_SECONDS)
            return steps.StoreSilent()

    async def write_row(self, step):
        """Write a claim to the key's row and return whether it was applied."""
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_BEFORE_CLAIM)
        self.remember_connection(step.claim.agent)
        try:
            applied = await self.rows.write(self.key, step.claim, step.expected_version)
        except StoreUnavailable:
            await asyncio.sleep(STORE_RETRY_SECONDS)
            return steps.StoreSilent()
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_CLAIMED)
        return steps.WriteDone(applied)

    def remember_connection(self, agent):
        """Remember the agent's connection; dispatch may use no other one."""
        link = self.entry.links.get(agent)
        self.connection = link.connection if link is not None else None

    async def dispatch(self, claim):
        """Send the call to the claim's agent, if its connection is unchanged."""
        link = self.entry.links.get(claim.agent)
        current = link is not None and link.connection is not None
        if (
            not current
            or link.connection is not self.connection
            or link.incarnation != claim.incarnation
            or link.last_heartbeat is None
        ):
            return steps.NotSent()
        event = await self.run_exchange(link, claim, attach_only=False)
        if isinstance(event, steps.Refused):
            return self.handle_dispatch_refusal(link, event)
        return event

    def handle_dispatch_refusal(self, link, event):
        """Return the event for a refused dispatch and avoid the agent."""
        if event.reason == RefusalReason.KEY_UNKNOWN:
            return steps.ConnectionLost()
        self.selection.mark_tried(link)
        return event

    async def follow_execution(self, claim):
        """Attach to an execution at the claim's agent and pass on its answer."""
        link = self.entry.links.get(claim.agent)
        if link is None or link.connection is None:
            await asyncio.sleep(AGENT_RETRY_SECONDS)
            return steps.ConnectionLost()
        event = await self.run_exchange(link, claim, attach_only=True)
        if isinstance(event, steps.Refused):
            await asyncio.sleep(AGENT_RETRY_SECONDS)
            return steps.ConnectionLost()
        return event

    async def run_exchange(self, link, claim, *, attach_only):
        """Send the request over a link, pass on its answer and return the event."""
        self.attempt += 1
        request = build_request(self.call, self.attempt, self.loop.time())
        request.key = self.key
        request.token = claim.token
        request.key_attempt = claim.attempt
        request.incarnation = claim.incarnation
        request.attach_only = attach_only
        request.resume_offset = self.collector.length
        exchange = link.send_request(request)
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
        """Pass on an exchange's frames until its end and return the event."""
        while True:
            match await next_frame(exchange):
                case frames.Refusal() as refusal:
                    return self.handle_refusal(exchange.link, refusal)
                case Lost() | None:
                    return steps.ConnectionLost()
                case frames.ResponseHead() as head:
                    await self.collector.start(head)
                case frames.Chunk() as chunk:
                    if chunk.offset != self.collector.length:
                        return steps.ConnectionLost()
                    await self.collector.write(chunk.data)
                    exchange.grant_credit(len(chunk.data))
                case frames.End() as end:
                    return self.handle_end(exchange.link, end)

    def handle_refusal(self, link, refusal):
        """Return the event for a refusal; report one that is about load."""
        if refusal.reason not in (
            RefusalReason.KEY_UNKNOWN,
            RefusalReason.FENCED,
            RefusalReason.OTHER_INCARNATION,
        ):
            self.report_refusal(link, refusal.reason, refusal.retry_after_ms)
        return steps.Refused(refusal.reason)

    def report_refusal(self, link, reason, retry_after_ms):
        """Report a refusal to the selection and keep the error if it raises one.

        Such an error ends the call as not run, as another attempt is of no use.
        """
        try:
            self.selection.handle_refusal(link, reason, retry_after_ms)
        except FescuedrumError as error:
            self.error = error

    def handle_end(self, link, end):
        """Return the event for the end of an execution, with its answer."""
        if end.outcome == Outcome.NOT_RUN:
            self.report_refusal(link, end.reason, end.retry_after_ms)
        elif end.outcome != Outcome.UNKNOWN and end.length != self.collector.length:
            return steps.ConnectionLost()
        answer = self.collector.build_recorded_answer(end.outcome)
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_ANSWERED)
        return steps.Ended(Outcome(end.outcome), answer, end.reason or "")

    async def ask_agent(self, claim):
        """Send a fence to the claim's agent and return its verdict, if it replies.

        Any connection to the agent may be used.
        """
        link = self.entry.links.get(claim.agent)
        if link is None or link.connection is None:
            await asyncio.sleep(AGENT_RETRY_SECONDS)
            return steps.CannotAsk()
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_BEFORE_FENCE)
        patience = self.entry.settings.fence_patience_seconds
        fence = frames.Fence(
            key=self.key,
            key_attempt=claim.attempt,
            incarnation=claim.incarnation,
            patience_ms=int(patience * 1000),
        )
        exchange = link.send_fence(fence)
        try:
            async with asyncio.timeout(patience + FENCE_REPLY_MARGIN_SECONDS):
                reply = await exchange.receive()
        except TimeoutError:
            return steps.CannotAsk()
        finally:
            exchange.close(finished=True)
        if not isinstance(reply, frames.FenceReply):
            await asyncio.sleep(AGENT_RETRY_SECONDS)
            return steps.CannotAsk()
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_FENCED)
        return steps.Answered(FenceResult(reply.verdict))

    async def finish_answer(self, step):
        """Finish the caller's answer, then record it in the key's row."""
        # A large answer isn't in the row; its outcome follows from its status.
        await self.collector.finish(self.outcome_of(step))
        self.entry.spawn(self.record_answer(step))

    def outcome_of(self, step):
        """Return the outcome of a whole answer."""
        if step.claim.answer is not None:
            return step.claim.answer.outcome
        failed = self.collector.head.status >= 500
        return Outcome.FAILED if failed else Outcome.ANSWERED

    async def record_answer(self, step):
        """Write the outcome to the key's row and tell the agent that it is recorded."""
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_REPLIED)
        try:
            applied = await self.rows.write(self.key, step.claim, step.expected_version)
        except StoreUnavailable:
            # The agent keeps the answer, and the next repeat with the key records it.
            return
        self.entry.faults.crash_if_set(ProtocolStep.ENTRY_RECORDED)
        link = self.entry.links.get(step.claim.agent)
        if applied and link is not None:
            keep = step.claim.answer is None and self.rows is self.entry.claims
            link.send(recorded=frames.Recorded(self.key, keep))


async def next_frame(exchange):
    """Return the next frame, or None after FRAME_TIMEOUT_SECONDS without one."""
    try:
        async with asyncio.timeout(FRAME_TIMEOUT_SECONDS):
            return await exchange.receive()
    except TimeoutError:
        return None
