"""Answer callers over HTTP."""

import asyncio
import logging

from aiohttp import web

from fescuedrum.events.event import log_event
from fescuedrum.events.requests import (
    RequestHandlerFailed,
    RequestNotAnswered,
    RequestNotRun,
)
from fescuedrum.exceptions import FescuedrumError, Unavailable
from fescuedrum.logs import request_context
from fescuedrum.outcomes import Outcome
from fescuedrum.serving import REQUEST_ID, log_taken_while_stopping
from fescuedrum_entry.request.call import Repetition
from fescuedrum_entry.request.dispatch import Dispatcher
from fescuedrum_entry.request.errors import (
    error_response,
    new_request_id,
    stopping_error,
)
from fescuedrum_entry.request.parse import authenticate, check_head, parse_call
from fescuedrum_entry.request.reply import Reply

CODE_LEFT = "caller-left"

logger = logging.getLogger(__name__)


def add_routes(application, entry):
    """Add the callers' interface to the entry's application."""
    handler = CallerHandler(entry)
    router = application.router
    router.add_post("/v1/chat/completions", handler.handle)
    router.add_post("/v1/completions", handler.handle)
    router.add_get("/v1/models", handler.list_models)
    router.add_route("*", "/services/{service}", handler.handle)
    router.add_route("*", "/services/{service}/{rest:.*}", handler.handle)


class CallerHandler:
    """Serve the callers' routes of one entry."""

    __slots__ = ("entry",)

    def __init__(self, entry):
        self.entry = entry

    async def handle(self, http_request):
        """Serve one request to its outcome."""
        loop = asyncio.get_running_loop()
        request_id = new_request_id()
        http_request[REQUEST_ID] = request_id
        request_context.set({"request": request_id})
        trace = self.entry.traces.begin(request_id, loop.time())
        try:
            return await self.answer(http_request, trace)
        finally:
            if not trace.detached:
                self.close_trace(trace)

    def close_trace(self, trace):
        if trace.seconds is None:
            # Its caller left before it came to an end.
            trace.end(loop_time(), Outcome.UNKNOWN, CODE_LEFT)
        self.entry.traces.finish(trace)
        self.entry.metrics.ended(trace)
        self.entry.fairness.ended(trace)

    async def answer(self, http_request, trace):
        entry = self.entry
        loop = asyncio.get_running_loop()
        try:
            call = await parse_call(
                http_request,
                self.configuration(),
                entry.settings,
                trace.began,
                trace.request_id,
            )
            trace.take_call(call, entry.configuration.version, loop.time())
            self.check_stop(http_request, call)
            return await self.serve(http_request, call, trace)
        except FescuedrumError as error:
            trace.fail(loop.time(), error)
            return error_response(error, trace.request_id)

    def check_stop(self, http_request, call):
        """Refuse a request that may outlast this process, once that stops.

        The failure: a call comes late in a stop, on a kept connection or while all of
        a zone stop, and ends as unknown when the process does. A call that is taken
        ends by its deadline, and that is before.
        """
        plan, now = self.entry.stop_plan, loop_time()
        if plan is None:
            return
        if not plan.accepts(now, call.deadline):
            raise stopping_error()
        plan.record_accepted(now)
        # Before the notice is over all are taken, by the hundred each second.
        if plan.is_noticed(now):
            log_taken_while_stopping(
                plan, call.request_id, call.deadline, http_request.protocol
            )

    def configuration(self):
        if self.entry.configuration.document is None:
            raise Unavailable("No configuration is in force yet.", retry_after=1)
        return self.entry.configuration

    async def list_models(self, http_request):
        """List the models that the configuration names."""
        try:
            configuration = self.configuration()
            check_head(http_request)
            authenticate(http_request, configuration)
        except FescuedrumError as error:
            return error_response(error, new_request_id())
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": service.name}
            for model, service in sorted(configuration.services_by_model.items())
        ]
        return web.json_response({"object": "list", "data": models})

    async def serve(self, http_request, call, trace):
        """Run a call; only an idempotent one ends when its caller leaves."""
        request_context.set(
            {
                "request": call.request_id,
                "organisation": call.organisation,
                "version": self.entry.configuration.version,
            }
        )
        reply = Reply(http_request, call)
        if call.repetition is Repetition.IDEMPOTENT:
            return await self.run(call, reply, trace)
        # A caller who leaves has this task cancelled. A booking that is under way
        # must come to its end all the same, or its repeat would find half of it.
        trace.detached = True
        work = asyncio.create_task(self.run(call, reply, trace))
        work.add_done_callback(lambda _: self.close_trace(trace))
        return await asyncio.shield(work)

    async def run(self, call, reply, trace):
        self.entry.running += 1
        try:
            with self.entry.quota.admit(call):
                await Dispatcher(self.entry, call, reply).run()
            trace.end(loop_time(), reply.outcome)
        except Exception as error:
            if reply.started and isinstance(error, ConnectionError):
                trace.end(loop_time(), Outcome.UNKNOWN, CODE_LEFT)
                return reply.response
            await self.fail(reply, trace, known_error(error))
        finally:
            self.entry.running -= 1
        return reply.response

    async def fail(self, reply, trace, error):
        """Tell the caller of an error in the way that is still open."""
        trace.fail(loop_time(), error)
        # Refusals come by the thousand when the service is full, and a line for each
        # would cost as much as the refusal; metrics and traces tell of them.
        refused = error.outcome is Outcome.NOT_RUN
        event = RequestNotRun if refused else RequestNotAnswered
        log_event(logger, event(error.code))
        if not reply.started:
            raise error
        await reply.break_off(error)


def known_error(error):
    """Return an error that a caller may see; log one that is a fault of this code."""
    if isinstance(error, FescuedrumError):
        return error
    log_event(logger, RequestHandlerFailed(), error=error)
    return FescuedrumError()


def loop_time():
    return asyncio.get_running_loop().time()
