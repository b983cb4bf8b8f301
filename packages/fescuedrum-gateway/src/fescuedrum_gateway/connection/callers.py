"""Build the server for callers, with bounds on headers and on idle time."""

import logging

from aiohttp import web

from fescuedrum.events.event import log_event
from fescuedrum.events.requests import MalformedHttp
from fescuedrum.serving import LINGERING_SECONDS, TrackedConnection, TrackingServer

logger = logging.getLogger(__name__)

BAD_REQUEST_STATUS = 400


class CallerConnection(TrackedConnection):
    """Handle one caller's connection; log malformed HTTP without a traceback."""

    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to malformed HTTP or to an error in the handler."""
        if status != BAD_REQUEST_STATUS:
            return super().handle_error(request, status, exc, message)
        log_event(logger, MalformedHttp(request.remote, str(exc)))
        response = web.Response(status=status, text="The request is not valid HTTP.")
        response.force_close()
        return response


def build_server(handle, settings):
    """Return a server that cancels a request's handler when its caller disconnects."""
    return TrackingServer(
        handle,
        CallerConnection,
        access_log=None,
        auto_decompress=False,
        handler_cancellation=True,
        lingering_time=LINGERING_SECONDS,
        keepalive_timeout=settings.idle_seconds,
        max_field_size=settings.maximum_header_bytes,
        max_headers=settings.maximum_header_count,
        max_line_size=settings.maximum_header_bytes,
    )
