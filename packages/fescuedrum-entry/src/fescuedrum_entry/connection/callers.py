"""Serve callers' connections with bounds on their heads and their idle time."""

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
# At the end of a stop's time, for what is about to end; then, as long again, for what
# is cancelled. The library's own 60 s would make the process outlast its time.
SHUTDOWN_SECONDS = 0.2


class CallerConnection(TrackedConnection):
    """Answer malformed HTTP in the common shape."""

    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Answer what the HTTP parser refused; its traceback would help nobody."""
        if status != BAD_REQUEST_STATUS:
            return super().handle_error(request, status, exc, message)
        too_large = isinstance(exc, LineTooLong) or "Too many" in (message or "")
        error = errors.from_status(HEADERS_TOO_LARGE_STATUS if too_large else status)
        error.closes_connection = True
        log_event(logger, MalformedHttp(request.remote, str(error)))
        return errors.error_response(error, errors.new_request_id())


class CallersRunner(web.AppRunner):
    """Run the entry's application with the settings' limits on callers."""

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
        made = await super()._make_server()
        serve = made.request_handler

        async def handle(request):
            # The library's own answer to such a value ends in UnicodeEncodeError,
            # which a caller would see as status 500.
            if not is_valid_utf8(request.headers.get("Expect", "")):
                return errors.error_response(BadRequest(), errors.new_request_id())
            # Not a middleware: the library builds its chain for each request.
            return await errors.shape_errors(request, serve)

        return TrackingServer(
            handle,
            CallerConnection,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            **made._kwargs,
        )
