"""Run a request whose answer is a stream of events."""

import asyncio
import logging

import aiohttp
from aiohttp import web

from fescuedrum.answers.exceptions import MalformedAnswer
from fescuedrum.events import requests as events
from fescuedrum.events.event import log_event
from fescuedrum.exceptions import AnswerOverdue
from fescuedrum_gateway.request import plain
from fescuedrum_gateway.request.attempts import Attempts
from fescuedrum_gateway.request.call import (
    Answered,
    Lost,
    NotRun,
    StreamBroken,
    StreamEnded,
    describe_failure,
)
from fescuedrum_gateway.request.events import (
    EventSplitter,
    EventTooLongError,
    is_after,
)

logger = logging.getLogger(__name__)

# An endpoint that sends this many events has got over the beginning of an answer.
PROOF_EVENTS = 2
# A write that takes longer waits for a caller that reads slowly. The time until the
# next event is then not the length of a pass.
BLOCKED_SECONDS = 0.005


class StreamRun:
    """Forward events as they arrive; resume at another endpoint after a failure.

    The response to the caller begins with the first complete event. Until then a failed
    attempt can be retried, or be reported by an error status.
    """

    __slots__ = (
        "attempts",
        "call",
        "event_count",
        "gateway",
        "http_request",
        "last_event_at",
        "last_event_id",
        "loop",
        "response",
        "was_blocked",
    )

    def __init__(self, call, gateway, http_request):
        self.call = call
        self.gateway = gateway
        self.http_request = http_request
        self.attempts = Attempts(call, gateway)
        self.response = None
        # Id of the last event that was sent to the caller.
        self.last_event_id = ""
        self.loop = asyncio.get_running_loop()
        # When the present endpoint's last event arrived; None before its first one.
        self.last_event_at = None
        # Events that came from the present endpoint.
        self.event_count = 0
        # Whether the caller read the last event so late that the next had to wait.
        self.was_blocked = False

    async def run(self):
        """Return Answered; StreamEnded or StreamBroken once events were sent."""
        try:
            async with self.attempts.evidence.timeout:
                return self.resolve(
                    await self.attempts.send_with_retries(
                        self.send_once, self.is_retryable
                    )
                )
        except TimeoutError:
            if self.response is None:
                self.attempts.evidence.raise_if_taken_back()
            elif reason := self.attempts.evidence.describe_taking_back():
                return StreamBroken(reason)
            self.attempts.record_deadline_passed()
            if self.response is None:
                raise AnswerOverdue("No event came before the deadline.") from None
            return StreamBroken("the caller's deadline passed")
        finally:
            self.attempts.end()

    def is_retryable(self, result):
        """Return whether sending the call again could give a better result."""
        match result:
            case StreamEnded():
                return False
            case StreamBroken():
                return self.call.route.kind.is_repeatable
            case _:
                return plain.is_retryable(result, self.call.route.kind)

    def resolve(self, result):
        """Return the final result for the caller.

        Raise a FescuedrumError if no response has begun and there is no answer.
        """
        if isinstance(result, StreamEnded | StreamBroken):
            return result
        if self.response is not None:
            return StreamBroken(
                f"could not resume at another endpoint: {describe_result(result)}"
            )
        return plain.answer_or_raise(result)

    async def send_once(self):
        """Send the call once and forward its events; return the result."""
        opened = await self.attempts.open(self.last_event_id)
        if isinstance(opened, NotRun | Lost):
            return opened
        if not opened.head.succeeded:
            return await opened.read()
        try:
            return await self.relay(opened)
        finally:
            opened.close()

    async def relay(self, opened):
        """Forward one endpoint's events until its stream ends; return the result.

        A stream that breaks off before its first event gives Lost, as nothing was sent
        to the caller yet, and StreamBroken later. One without events gives Answered if
        it shows where it ends.
        """
        splitter = EventSplitter()
        self.last_event_at = None
        self.event_count = 0
        unread = self.follow(opened)
        try:
            async for chunk in opened.chunks():
                for event in splitter.feed(chunk):
                    self.event_count += 1
                    if self.event_count == PROOF_EVENTS:
                        self.attempts.evidence.begun()
                    await self.forward_event(event, opened.head)
                unread.taken += len(chunk)
        except (TimeoutError, aiohttp.ClientError, EventTooLongError, OSError) as error:
            if self.has_caller_left():
                raise
            return self.handle_break("stream broke off", error)
        finally:
            unread.follow(None)
        if splitter.remainder:
            return self.handle_break("stream ended within an event")
        if self.event_count == 0 and opened.ends_with_connection:
            return self.handle_break("stream without a length ended before an event")
        is_sure = not opened.ends_with_connection or self.event_count >= PROOF_EVENTS
        if self.event_count and is_sure:
            self.attempts.evidence.answered()
        if self.response is None:
            return Answered(opened.head, b"")
        return StreamEnded()

    def follow(self, opened):
        """Return the UnreadBytes that count what an endpoint sends from now on."""
        return self.call.held.follow_stream(
            self.http_request.transport,
            self.call.head.request_id,
            opened.response.content,
        )

    def handle_break(self, reason, error=None):
        """Log that a stream broke off; return Lost or StreamBroken."""
        broken = events.StreamBroken(
            request=self.call.head.request_id,
            reason=describe_failure(reason, error),
            last_event=self.last_event_id,
            endpoint=self.attempts.endpoint.name,
            events=self.event_count,
            parts=self.attempts.evidence.parts,
            fingerprint=self.call.fingerprint,
        )
        log_event(logger, broken)
        self.attempts.evidence.broke()
        if isinstance(error, MalformedAnswer):
            self.attempts.count_malformed(error.rule)
        return Lost(reason) if self.response is None else StreamBroken(reason)

    def has_caller_left(self):
        """Return whether the caller's connection is closed."""
        transport = self.http_request.transport
        return transport is None or transport.is_closing()

    async def forward_event(self, event, head):
        """Send an event to the caller unless it already has it."""
        if (
            self.last_event_id
            and event.id
            and not is_after(event.id, self.last_event_id)
        ):
            return
        if self.response is None:
            await self.start_response(head)
            self.attempts.record_first_event()
        self.record_pace()
        self.call.held.wrote(len(event.raw))
        began = self.loop.time()
        await self.response.write(event.raw)
        self.was_blocked = self.loop.time() - began > BLOCKED_SECONDS
        self.last_event_id = event.id or self.last_event_id

    def record_pace(self):
        """Record the time since the last event as the duration of a pass."""
        now, last = self.loop.time(), self.last_event_at
        self.last_event_at = now
        if last is None:
            self.attempts.record_pass(None)
        elif not self.was_blocked:
            self.attempts.record_pass(now - last)
        self.gateway.returns.record_answer(self.call.service)

    async def start_response(self, head):
        """Send the head of the response to the caller."""
        self.response = web.StreamResponse(status=head.status, headers=head.headers)
        self.response.enable_chunked_encoding()
        if self.http_request.protocol.ends_after_response:
            self.response.force_close()
        await self.response.prepare(self.http_request)


def describe_result(result):
    """Return the result of an attempt for the log."""
    match result:
        case Answered(head):
            return f"status {head.status}"
        case Lost():
            return result.description
        case NotRun(reason):
            return reason
