"""Answer callers over HTTP."""

import asyncio
import logging

from aiohttp import web

from fescuedrum.exceptions import FescuedrumError, Unavailable
from fescuedrum.logs import request_context
from fescuedrum_entry.request.call import Repetition
from fescuedrum_entry.request.dispatch import Dispatcher
from fescuedrum_entry.request.errors import (
    error_response,
    new_request_id,
    shape_errors,
)
from fescuedrum_entry.request.parse import authenticate, check_head, parse_call
from fescuedrum_entry.request.reply import Reply

logger = logging.getLogger(__name__)


def add_routes(application, entry):
    """Add the callers' interface to the entry's application."""
    handler = CallerHandler(entry)
    router = application.router
    application.middlewares.append(shape_errors)
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
        now = asyncio.get_running_loop().time()
        request_id = new_request_id()
        request_context.set({"request": request_id})
        response = await self.answer(http_request, now, request_id)
        if self.entry.leaving:
            # A kept connection would bring this caller's next request here as well.
            response.force_close()
        return response

    async def answer(self, http_request, now, request_id):
        try:
            call = await parse_call(
                http_request,
                self.configuration(),
                self.entry.settings,
                now,
                request_id,
            )
            return await self.serve(http_request, call)
        except FescuedrumError as error:
            return error_response(error, request_id)

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

    async def serve(self, http_request, call):
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
            return await self.run(call, reply)
        # A caller who leaves has this task cancelled. A booking that is under way
        # must come to its end all the same, or its repeat would find half of it.
        return await asyncio.shield(asyncio.create_task(self.run(call, reply)))

    async def run(self, call, reply):
        self.entry.running += 1
        try:
            await Dispatcher(self.entry, call, reply).run()
        except FescuedrumError as error:
            logger.info("request not answered", extra={"code": error.code})
            if not reply.started:
                raise
            await reply.break_off(error)
        except ConnectionError:
            logger.info("caller left")
            if not reply.started:
                raise
        finally:
            self.entry.running -= 1
        return reply.response
