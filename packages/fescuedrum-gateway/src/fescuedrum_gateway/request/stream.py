"""Carry out a request whose answer is a stream of events."""

import asyncio
import logging

import aiohttp
from aiohttp import web

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
)
from fescuedrum_gateway.request.events import (
    EventSplitter,
    EventTooLongError,
    is_after,
)

logger = logging.getLogger(__name__)


class StreamRun:
    """Pass events on as they come, and go on at another endpoint when one breaks off.

    The caller's answer begins with the first whole event: until then a failed sending
    can still be repeated, or be told by its status.
    """

    __slots__ = (
        "attempts",
        "call",
        "event_at",
        "gateway",
        "http_request",
        "last_id",
        "loop",
        "response",
    )

    def __init__(self, call, gateway, http_request):
        self.call = call
        self.gateway = gateway
        self.http_request = http_request
        self.attempts = Attempts(call, gateway)
        self.response = None
        # Id of the last event that went to the caller.
        self.last_id = ""
        self.loop = asyncio.get_running_loop()
        # When the present endpoint's last event came; None before its first.
        self.event_at = None

    async def run(self):
        """Return Answered, or StreamEnded or StreamBroken once events have left."""
        try:
            async with asyncio.timeout_at(self.call.ends_at):
                return self.settle(
                    await self.attempts.send_until_settled(self.send_once, self.is_open)
                )
        except TimeoutError:
            if self.response is None:
                raise AnswerOverdue("No event came in the caller's time.") from None
            return StreamBroken("the caller's time was over")
        finally:
            self.attempts.release()

    def is_open(self, result):
        """Tell whether going on at another endpoint could help."""
        match result:
            case StreamEnded():
                return False
            case StreamBroken():
                return self.call.route.kind.is_repeatable
            case _:
                return plain.is_open(result, self.call.route.kind)

    def settle(self, result):
        """Return what becomes of the caller's answer; raise if it has not begun."""
        if isinstance(result, StreamEnded | StreamBroken):
            return result
        if self.response is not None:
            return StreamBroken(f"could not go on elsewhere: {result}")
        return plain.settle(result)

    async def send_once(self):
        opened = await self.attempts.open(self.last_id)
        if isinstance(opened, NotRun | Lost):
            return opened
        if not opened.head.succeeded:
            return await opened.read()
        try:
            return await self.relay(opened)
        finally:
            opened.close()

    async def relay(self, opened):
        """Pass one endpoint's events on to its end: StreamEnded, StreamBroken or Lost.

        A stream that breaks off before its first event has told the caller nothing yet.
        """
        splitter = EventSplitter()
        self.event_at = None
        try:
            async for chunk in opened.chunks():
                for event in splitter.feed(chunk):
                    await self.pass_on(event, opened.head)
        except (TimeoutError, aiohttp.ClientError, EventTooLongError, OSError) as error:
            if self.caller_left():
                raise
            return self.broken(f"stream broke off: {error!r}")
        if splitter.rest:
            return self.broken("stream ended within an event")
        if self.response is None:
            return Answered(opened.head, b"")
        return StreamEnded()

    def broken(self, reason):
        request_id = self.call.head.request_id
        log_event(logger, events.StreamBroken(request_id, reason, self.last_id))
        return Lost(reason) if self.response is None else StreamBroken(reason)

    def caller_left(self):
        transport = self.http_request.transport
        return transport is None or transport.is_closing()

    async def pass_on(self, event, head):
        if self.last_id and event.id and not is_after(event.id, self.last_id):
            return
        if self.response is None:
            await self.begin(head)
            self.attempts.first_event()
        self.note_pace()
        await self.response.write(event.raw)
        self.last_id = event.id or self.last_id

    def note_pace(self):
        """Take the time since the last event as the length of a pass."""
        now = self.loop.time()
        if self.event_at is not None:
            self.gateway.pass_timers[self.call.service].observe(
                now - self.event_at, now
            )
        self.event_at = now

    async def begin(self, head):
        self.response = web.StreamResponse(status=head.status, headers=head.headers)
        self.response.enable_chunked_encoding()
        if self.http_request.protocol.ends_after_response:
            self.response.force_close()
        await self.response.prepare(self.http_request)
