"""Serve callers' connections with bounds on their heads and their idle time."""

import logging

from aiohttp import web

from fescuedrum.events.event import log_event
from fescuedrum.events.requests import MalformedHttp
from fescuedrum.serving import LINGERING_SECONDS, TrackedConnection, TrackingServer

logger = logging.getLogger(__name__)

BAD_REQUEST_STATUS = 400


class CallerConnection(TrackedConnection):
    """Answer malformed HTTP without a traceback in the log."""

    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Answer what the HTTP parser refused, or a fault of this code."""
        if status != BAD_REQUEST_STATUS:
            return super().handle_error(request, status, exc, message)
        log_event(logger, MalformedHttp(request.remote, str(exc)))
        response = web.Response(status=status, text="The request is no valid HTTP.")
        response.force_close()
        return response


def build_server(handle, settings):
    """Return a server that cancels a request's handler when its caller leaves."""
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
