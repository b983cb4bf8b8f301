"""Serve callers' connections with bounds on their heads and their idle time."""

import logging

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from fescuedrum.events.event import tell
from fescuedrum.events.requests import MalformedHttp

logger = logging.getLogger(__name__)

BAD_REQUEST_STATUS = 400
# Closing at once would reset the connection and lose the refusal on its way; this
# long the rest of a refused body is read and dropped.
LINGERING_SECONDS = 1.0


class CallerConnection(RequestHandler):
    """Answer malformed HTTP without a traceback in the log, and count answers."""

    __slots__ = ("answered",)

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        # Answers that this connection has carried.
        self.answered = 0

    async def finish_response(self, request, resp, start_time):
        """Write an answer to its end."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.answered += 1

    def handle_error(self, request, status=500, exc=None, message=None):
        """Answer what the HTTP parser refused, or a fault of this code."""
        if status != BAD_REQUEST_STATUS:
            return super().handle_error(request, status, exc, message)
        tell(logger, MalformedHttp(request.remote, str(exc)))
        response = web.Response(status=status, text="The request is no valid HTTP.")
        response.force_close()
        return response


class CallerServer(web.Server):
    """Make a CallerConnection for each connection."""

    def __call__(self):
        return CallerConnection(self, loop=self._loop, **self._kwargs)


def build_server(handle, settings):
    """Return a server that cancels a request's handler when its caller leaves."""
    return CallerServer(
        handle,
        access_log=None,
        auto_decompress=False,
        handler_cancellation=True,
        lingering_time=LINGERING_SECONDS,
        keepalive_timeout=settings.idle_seconds,
        max_field_size=settings.maximum_header_bytes,
        max_headers=settings.maximum_header_count,
        max_line_size=settings.maximum_header_bytes,
    )
