"""Answer callers over HTTP."""

import asyncio
import logging

from aiohttp import web

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
from fescuedrum_gateway.request.admission import HELD, admit
from fescuedrum_gateway.request.call import Answered, StreamBroken, StreamEnded
from fescuedrum_gateway.request.plain import PlainRun
from fescuedrum_gateway.request.stream import StreamRun

logger = logging.getLogger(__name__)

STREAM = web.RequestKey("stream", StreamRun)
# Results of a request other than those of fescuedrum.events.requests.
FAILED = "failed"
REFUSED = "refused"
LEFT = "left"
ENDED_BY_STOP = "the process stopped"
ENDED_FOR_MEMORY = "memory"
# Assumed for a caller that names no deadline; most programs wait about this long.
DEFAULT_DEADLINE_SECONDS = 10.0


class RequestHandler:
    """Handle the requests of one gateway's callers."""

    __slots__ = ("gateway", "loop")

    def __init__(self, gateway):
        self.gateway = gateway
        self.loop = asyncio.get_running_loop()

    async def handle(self, http_request):
        """Return the response to a request; record it if it is interrupted."""
        arrived = self.loop.time()
        self.gateway.running += 1
        try:
            return await self.answer(http_request, arrived)
        except (asyncio.CancelledError, ConnectionError):
            # After a suspend of the machine, a write to a caller that has disconnected
            # fails before the event loop learns of it and cancels the handler.
            self.record_interruption(http_request, arrived)
            raise
        finally:
            self.gateway.running -= 1
            if held := http_request.get(HELD):
                held.release()

    def record_interruption(self, http_request, arrived):
        """Count and log an answer that its caller or a stop has interrupted."""
        plan = self.gateway.stop_plan
        held = http_request.get(HELD)
        if plan is not None and plan.is_over(self.loop.time()):
            self.record_cut(http_request, arrived, ENDED_BY_STOP)
        elif held is not None and held.was_ended:
            self.record_cut(http_request, arrived, ENDED_FOR_MEMORY)
        else:
            self.record_caller_left(http_request, arrived)

    def record_cut(self, http_request, arrived, reason):
        """Count and log an answer that this process has cut."""
        seconds = round(self.loop.time() - arrived, 4)
        request_id = http_request.get(REQUEST_ID, "")
        log_event(logger, RequestEnded(request_id, CUT, reason, seconds))
        self.gateway.metrics.count_request("", CUT, seconds)

    def record_caller_left(self, http_request, arrived):
        """Count and log that a caller disconnected before the end of its answer."""
        now = self.loop.time()
        last_event = silent = None
        if (run := http_request.get(STREAM)) and run.last_event_at is not None:
            last_event, silent = run.last_event_id, round(now - run.last_event_at, 4)
        event = CallerLeft(
            request=http_request.get(REQUEST_ID, ""),
            seconds=round(now - arrived, 4),
            last_event=last_event,
            silent_seconds=silent,
        )
        log_event(logger, event)
        self.gateway.metrics.count_request("", LEFT, event.seconds)

    async def answer(self, http_request, arrived):
        """Admit and serve a request, or refuse it; return the response."""
        request_id, call = "", None
        seconds_left = DEFAULT_DEADLINE_SECONDS
        try:
            head = self.gateway.adapter.read_call(http_request.headers)
            request_id = http_request[REQUEST_ID] = head.request_id
            seconds_left = (
                seconds_left if head.seconds_left is None else head.seconds_left
            )
            call = await admit(http_request, head, self.gateway, arrived)
            if plan := self.gateway.stop_plan:
                plan.record_accepted(self.loop.time())
                log_taken_while_stopping(
                    plan, request_id, call.deadline, http_request.protocol
                )
            self.gateway.retries[call.service].request(arrived)
            self.gateway.returns.record_arrival(call)
            return await self.serve(http_request, call)
        except FescuedrumError as error:
            patience = seconds_left - (self.loop.time() - arrived)
            self.set_retry_after(error, max(patience, 0.0), call)
            return self.refuse(error, request_id, arrived)
        except ConnectionError:
            raise
        except Exception as error:
            log_event(logger, RequestHandlerFailed(request_id), error=error)
            return self.refuse(FescuedrumError(), request_id, arrived)

    async def serve(self, http_request, call):
        """Send an admitted call to endpoints and return the response."""
        if not call.route.kind.is_stream:
            answer = await PlainRun(call, self.gateway).run()
            return self.reply(http_request, call, answer)
        run = http_request[STREAM] = StreamRun(call, self.gateway, http_request)
        result = await run.run()
        match result:
            case Answered():
                return self.reply(http_request, call, result)
            case StreamBroken(reason):
                self.record_end(call, CUT, reason)
                # Closing without the last chunk shows the caller that the answer is
                # incomplete.
                http_request.transport.close()
            case StreamEnded():
                self.record_end(call, ANSWERED, "stream")
        return run.response

    def reply(self, http_request, call, answer):
        """Return the response with an endpoint's complete answer."""
        call.held.send_answer(
            http_request.transport, call.head.request_id, len(answer.body)
        )
        result = ANSWERED if answer.head.succeeded else FAILED
        self.record_end(call, result, f"status {answer.head.status}")
        return web.Response(
            status=answer.head.status, headers=answer.head.headers, body=answer.body
        )

    def record_end(self, call, result, detail):
        """Count and log the end of a request that was sent."""
        seconds = round(self.loop.time() - call.arrived, 4)
        self.gateway.metrics.count_request(call.service, result, seconds)
        log_event(logger, RequestEnded(call.head.request_id, result, detail, seconds))
        if result == ANSWERED:
            self.gateway.returns.record_end(call, seconds)

    def set_retry_after(self, error, patience, call):
        """Set when a caller that is refused for overload should retry."""
        if not isinstance(error, Overloaded) or error.retry_after is not None:
            return
        error.retry_after = self.gateway.returns.delay(call, patience, error)

    def refuse(self, error, request_id, arrived):
        """Count and log a refusal by the gateway itself and return its response."""
        event = RequestRefused(
            request=request_id,
            code=error.code,
            detail=error.detail,
            status=error.status,
            retry_after=error.retry_after,
            seconds=round(self.loop.time() - arrived, 4),
        )
        log_event(logger, event)
        self.gateway.metrics.count_refusal(error.code)
        self.gateway.metrics.count_request("", REFUSED, event.seconds)
        headers = self.gateway.adapter.refusal_headers(request_id, error.retry_after)
        response = web.Response(status=error.status, text=str(error), headers=headers)
        if error.closes_connection or isinstance(error, BadRequest):
            # What the caller still sends of this request would be read as the next one.
            response.force_close()
        return response
