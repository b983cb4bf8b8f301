"""Serve callers' connections within limits on header size and idle time."""

import logging

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from fescuedrum.events.event import log_event
from fescuedrum.events.requests import MalformedHttp
from fescuedrum.exceptions import BadRequest
from fescuedrum.headers import is_valid_utf8
from fescuedrum.serving import LINGERING_SECONDS, TrackedConnection, TrackingServer
from fescuedrum_entry.request import errors

logger = logging.getLogger(__name__)

BAD_REQUEST_STATUS = 400
HEADERS_TOO_LARGE_STATUS = 431
# Applied twice at the end of a shutdown: first to let requests finish, then to wait for
# the cancelled ones. With aiohttp's default of 60 s the process would exceed the time
# that it has for stopping.
SHUTDOWN_SECONDS = 0.2


class CallerConnection(TrackedConnection):
    """Serve one caller's connection and answer malformed HTTP with a JSON error."""

    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to a request that the HTTP parser rejected.

        A malformed request is logged without a traceback: the caller is at fault, and
        the traceback would only show the parser.
        """
        if status != BAD_REQUEST_STATUS:
            return super().handle_error(request, status, exc, message)
        too_large = isinstance(exc, LineTooLong) or "Too many" in (message or "")
        error = errors.error_from_status(
            HEADERS_TOO_LARGE_STATUS if too_large else status
        )
        error.closes_connection = True
        log_event(logger, MalformedHttp(request.remote, str(error)))
        return errors.error_response(error, errors.new_request_id())


class CallersRunner(web.AppRunner):
    """Run the entry's HTTP application with the limits from its settings."""

    __slots__ = ()

    def __init__(self, application, settings):
        super().__init__(
            application,
            access_log=None,
            auto_decompress=False,
            handler_cancellation=True,
            lingering_time=LINGERING_SECONDS,
            keepalive_timeout=settings.idle_seconds,
            max_field_size=settings.maximum_header_bytes,
            max_headers=settings.maximum_header_count,
            max_line_size=settings.maximum_header_bytes,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )

    async def _make_server(self):
        server = await super()._make_server()
        serve = server.request_handler

        async def handle(request):
            # aiohttp repeats the value in its answer to an unknown expectation, which
            # raises UnicodeEncodeError here; the caller would see status 500.
            if not is_valid_utf8(request.headers.get("Expect", "")):
                return errors.error_response(BadRequest(), errors.new_request_id())
            # Not a middleware, because aiohttp builds their chain for each request.
            return await errors.shape_errors(request, serve)

        return TrackingServer(
            handle,
            CallerConnection,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
