"""Serve the callers' HTTP interface."""

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

CODE_CALLER_LEFT = "caller-left"

logger = logging.getLogger(__name__)


def add_routes(application, entry):
    """Add the callers' routes to the entry's application."""
    handler = CallerHandler(entry)
    router = application.router
    router.add_post("/v1/chat/completions", handler.handle)
    router.add_post("/v1/completions", handler.handle)
    router.add_get("/v1/models", handler.list_models)
    router.add_route("*", "/services/{service}", handler.handle)
    router.add_route("*", "/services/{service}/{rest:.*}", handler.handle)


class CallerHandler:
    """Handle the requests to one entry's callers' routes."""

    __slots__ = ("entry",)

    def __init__(self, entry):
        self.entry = entry

    async def handle(self, http_request):
        """Return the response to one request and trace the request."""
        loop = asyncio.get_running_loop()
        request_id = new_request_id()
        http_request[REQUEST_ID] = request_id
        request_context.set({"request": request_id})
        trace = self.entry.traces.begin(request_id, loop.time())
        try:
            return await self.parse_and_serve(http_request, trace)
        finally:
            if not trace.detached:
                self.finish_trace(trace)

    def finish_trace(self, trace):
        """Close a request's trace and count the request by it."""
        if trace.seconds is None:
            # The caller left before the request had ended.
            trace.end(loop_time(), Outcome.UNKNOWN, CODE_CALLER_LEFT)
        self.entry.traces.finish(trace)
        self.entry.metrics.record_request(trace)
        self.entry.fairness.record_request(trace)

    async def parse_and_serve(self, http_request, trace):
        """Return the response to a request, or to the error that it ended with."""
        entry = self.entry
        loop = asyncio.get_running_loop()
        try:
            call = await parse_call(
                http_request,
                self.active_configuration(),
                entry.settings,
                trace.began,
                trace.request_id,
            )
            trace.record_call(call, entry.configuration.version, loop.time())
            self.check_stopping(http_request, call)
            return await self.serve(http_request, call, trace)
        except FescuedrumError as error:
            trace.fail(loop.time(), error)
            return error_response(error, trace.request_id)

    def check_stopping(self, http_request, call):
        """Raise ProcessStopping for a call that may outlast a stopping process.

        A call that arrives late in a stop, over a kept-alive connection or while all
        entries of a zone are stopping, would end with an unknown outcome when the
        process exits. The deadline of an accepted call lies before that.
        """
        plan, now = self.entry.stop_plan, loop_time()
        if plan is None:
            return
        if not plan.accepts(now, call.deadline):
            raise stopping_error()
        plan.record_accepted(now)
        # During the notice every call is accepted, hundreds per second: none is logged.
        if plan.is_noticed(now):
            log_taken_while_stopping(
                plan, call.request_id, call.deadline, http_request.protocol
            )

    def active_configuration(self):
        """Return the entry's configuration; raise Unavailable before the first."""
        if self.entry.configuration.document is None:
            raise Unavailable("No configuration is in force yet.", retry_after=1)
        return self.entry.configuration

    async def list_models(self, http_request):
        """Return the response that lists the configured models."""
        try:
            configuration = self.active_configuration()
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
        """Run a call; only an idempotent one is cancelled when its caller leaves."""
        request_context.set(
            {
                "request": call.request_id,
                "organisation": call.organisation,
                "version": self.entry.configuration.version,
            }
        )
        reply = Reply(http_request, call)
        if call.repetition is Repetition.IDEMPOTENT:
            return await self.run_call(call, reply, trace)
        # aiohttp cancels this task when the caller leaves. A call that isn't idempotent
        # must still run to its end; otherwise its repeat would find it half done.
        trace.detached = True
        task = asyncio.create_task(self.run_call(call, reply, trace))
        task.add_done_callback(lambda _: self.finish_trace(trace))
        return await asyncio.shield(task)

    async def run_call(self, call, reply, trace):
        """Run a call within its organisation's limits and return its response."""
        self.entry.running += 1
        try:
            with self.entry.quota.admit(call):
                await Dispatcher(self.entry, call, reply).run()
            trace.end(loop_time(), reply.outcome)
        except Exception as error:
            if reply.started and isinstance(error, ConnectionError):
                trace.end(loop_time(), Outcome.UNKNOWN, CODE_CALLER_LEFT)
                return reply.response
            await self.report_failure(reply, trace, to_caller_error(error))
        finally:
            self.entry.running -= 1
        return reply.response

    async def report_failure(self, reply, trace, error):
        """Log an error and raise it, or abort the reply if it has started."""
        trace.fail(loop_time(), error)
        # A full service refuses thousands of requests, and a log line for each would
        # cost as much as the refusal; metrics and traces record them instead.
        refused = error.outcome is Outcome.NOT_RUN
        event = RequestNotRun if refused else RequestNotAnswered
        log_event(logger, event(error.code))
        if not reply.started:
            raise error
        await reply.abort_stream(error)


def to_caller_error(error):
    """Return an error that the caller may see; log an unexpected one."""
    if isinstance(error, FescuedrumError):
        return error
    log_event(logger, RequestHandlerFailed(), error=error)
    return FescuedrumError()


def loop_time():
    """Return the running event loop's time, in seconds."""
    return asyncio.get_running_loop().time()
