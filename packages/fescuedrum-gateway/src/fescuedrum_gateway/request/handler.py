"""Answer callers over HTTP."""

import asyncio
import logging

from aiohttp import web

from fescuedrum.decisions.returns import retry_delay
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import (
    ANSWERED,
    CUT,
    CallerLeft,
    RequestEnded,
    RequestHandlerFailed,
    RequestRefused,
)
from fescuedrum.exceptions import BadRequest, FescuedrumError, Overloaded
from fescuedrum.serving import REQUEST_ID, log_taken_while_stopping
from fescuedrum_gateway.request.admission import admit
from fescuedrum_gateway.request.call import Answered, StreamBroken, StreamEnded
from fescuedrum_gateway.request.plain import PlainRun
from fescuedrum_gateway.request.stream import StreamRun

logger = logging.getLogger(__name__)

STREAM = web.RequestKey("stream", StreamRun)
# What becomes of a request, beside that it is answered.
FAILED = "failed"
REFUSED = "refused"
LEFT = "left"
ENDED_BY_STOP = "the process stopped"
# A caller that says nothing is taken to wait as long as most programs do.
DEFAULT_PATIENCE_SECONDS = 10.0


class RequestHandler:
    """Serve the callers of one gateway."""

    __slots__ = ("gateway", "loop")

    def __init__(self, gateway):
        self.gateway = gateway
        self.loop = asyncio.get_running_loop()

    async def handle(self, http_request):
        """Serve one request to its outcome."""
        arrived = self.loop.time()
        self.gateway.running += 1
        try:
            return await self.answer(http_request, arrived)
        except (asyncio.CancelledError, ConnectionError):
            # A process that woke writes to a caller who is long gone before it is told
            # of that: the write fails, and no handler is cancelled.
            self.cut_off(http_request, arrived)
            raise
        finally:
            self.gateway.running -= 1

    def cut_off(self, http_request, arrived):
        """Count and log that an answer was broken off, by its caller or by a stop."""
        plan = self.gateway.stop_plan
        if plan is not None and plan.is_over(self.loop.time()):
            seconds = round(self.loop.time() - arrived, 4)
            request_id = http_request.get(REQUEST_ID, "")
            log_event(logger, RequestEnded(request_id, CUT, ENDED_BY_STOP, seconds))
            self.gateway.metrics.ended("", CUT, seconds)
        else:
            self.caller_left(http_request, arrived)

    def caller_left(self, http_request, arrived):
        """Count and log that a caller's connection was gone before its answer was."""
        now = self.loop.time()
        last_event = silent = None
        if (run := http_request.get(STREAM)) and run.event_at is not None:
            last_event, silent = run.last_id, round(now - run.event_at, 4)
        event = CallerLeft(
            request=http_request.get(REQUEST_ID, ""),
            seconds=round(now - arrived, 4),
            last_event=last_event,
            silent_seconds=silent,
        )
        log_event(logger, event)
        self.gateway.metrics.ended("", LEFT, event.seconds)

    async def answer(self, http_request, arrived):
        request_id = ""
        patience = DEFAULT_PATIENCE_SECONDS
        try:
            head = self.gateway.adapter.read_call(http_request.headers)
            request_id = http_request[REQUEST_ID] = head.request_id
            patience = patience if head.patience is None else head.patience
            call = await admit(http_request, head, self.gateway, arrived)
            if plan := self.gateway.stop_plan:
                plan.record_accepted(self.loop.time())
                log_taken_while_stopping(
                    plan, request_id, call.ends_at, http_request.protocol
                )
            self.gateway.retries[call.service].request(arrived)
            return await self.serve(http_request, call)
        except FescuedrumError as error:
            self.say_when_to_return(error, patience - (self.loop.time() - arrived))
            return self.refuse(error, request_id, arrived)
        except ConnectionError:
            raise
        except Exception as error:
            log_event(logger, RequestHandlerFailed(request_id), error=error)
            return self.refuse(FescuedrumError(), request_id, arrived)

    async def serve(self, http_request, call):
        if not call.route.kind.is_stream:
            return self.reply(call, await PlainRun(call, self.gateway).run())
        run = http_request[STREAM] = StreamRun(call, self.gateway, http_request)
        result = await run.run()
        match result:
            case Answered():
                return self.reply(call, result)
            case StreamBroken(reason):
                self.end(call, CUT, reason)
                # Without its last chunk the caller sees that the answer is cut.
                http_request.transport.close()
            case StreamEnded():
                self.end(call, ANSWERED, "stream")
        return run.response

    def reply(self, call, answer):
        result = ANSWERED if answer.head.succeeded else FAILED
        self.end(call, result, f"status {answer.head.status}")
        return web.Response(
            status=answer.head.status, headers=answer.head.headers, body=answer.body
        )

    def end(self, call, result, detail):
        """Count and log the end of a request that was sent."""
        seconds = round(self.loop.time() - call.arrived, 4)
        self.gateway.metrics.ended(call.service, result, seconds)
        log_event(logger, RequestEnded(call.head.request_id, result, detail, seconds))

    def say_when_to_return(self, error, patience):
        """Set the time after which a refused caller should come back."""
        if not isinstance(error, Overloaded) or error.retry_after is not None:
            return
        error.retry_after = retry_delay(max(patience, 0.0), self.gateway.random)

    def refuse(self, error, request_id, arrived):
        event = RequestRefused(
            request=request_id,
            code=error.code,
            detail=error.detail,
            status=error.status,
            retry_after=error.retry_after,
            seconds=round(self.loop.time() - arrived, 4),
        )
        log_event(logger, event)
        self.gateway.metrics.refused(error.code)
        self.gateway.metrics.ended("", REFUSED, event.seconds)
        headers = self.gateway.adapter.refusal_headers(request_id, error.retry_after)
        response = web.Response(status=error.status, text=str(error), headers=headers)
        if error.closes_connection or isinstance(error, BadRequest):
            # The rest of what the caller sends would be read as another request.
            response.force_close()
        return response
