"""Answer callers over HTTP."""

import asyncio
import logging

from aiohttp import web

from fescuedrum.exceptions import FescuedrumError, Unavailable
from fescuedrum.logs import request_context
from fescuedrum.outcomes import OUTCOME_HEADER, REQUEST_ID_HEADER
from fescuedrum_entry.request.dispatch import Dispatcher
from fescuedrum_entry.request.parse import parse_call
from fescuedrum_entry.request.reply import Reply

logger = logging.getLogger(__name__)


class CallerHandler:
    """Serve the callers' routes of one entry."""

    __slots__ = ("entry",)

    def __init__(self, entry):
        self.entry = entry

    async def handle(self, http_request):
        """Serve one request to its outcome."""
        now = asyncio.get_running_loop().time()
        call = None
        try:
            if self.entry.configuration.document is None:
                raise Unavailable("No configuration is in force yet.", retry_after=1)
            call = await parse_call(
                http_request, self.entry.configuration, self.entry.settings, now
            )
            return await self.serve(http_request, call)
        except FescuedrumError as error:
            return error_response(error, call)

    async def serve(self, http_request, call):
        request_context.set(
            {"request": call.request_id, "organisation": call.organisation}
        )
        reply = Reply(http_request, call)
        self.entry.running += 1
        try:
            await Dispatcher(self.entry, call, reply).run()
        except FescuedrumError as error:
            logger.info("request not answered", extra={"code": error.code})
            if not reply.started:
                raise
            reply.abort()
        finally:
            self.entry.running -= 1
        return reply.response


def error_response(error, call):
    headers = {OUTCOME_HEADER: error.outcome.value}
    if call is not None:
        headers[REQUEST_ID_HEADER] = call.request_id
    if error.retry_after is not None:
        headers["Retry-After"] = str(error.retry_after)
    body = {
        "code": error.code,
        "outcome": error.outcome.value,
        "message": str(error),
        "request": call.request_id if call else None,
    }
    return web.json_response({"error": body}, status=error.status, headers=headers)
