"""Build the server for callers, with bounds on headers and on idle time."""

import logging
import socket

from aiohttp import web

from fescuedrum.events.event import log_event
from fescuedrum.events.requests import MalformedHttp
from fescuedrum.serving import LINGERING_SECONDS, TrackedConnection, TrackingServer

logger = logging.getLogger(__name__)

BAD_REQUEST_STATUS = 400
# Bytes that the kernel keeps for a caller beyond what it has sent. With more, answers
# that are not read would fill the machine's memory where the process can't count them.
MAXIMUM_UNSENT_BYTES = 64 * 1024


class CallerConnection(TrackedConnection):
    """Handle one caller's connection; log malformed HTTP without a traceback."""

    __slots__ = ()

    def connection_made(self, transport):
        """Bound what the kernel keeps for the caller if the memory is bounded."""
        opened = transport.get_extra_info("socket")
        if self.server.bounds_memory and opened is not None:
            opened.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAXIMUM_UNSENT_BYTES
            )
        super().connection_made(transport)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to malformed HTTP or to an error in the handler."""
        if status != BAD_REQUEST_STATUS:
            return super().handle_error(request, status, exc, message)
        log_event(logger, MalformedHttp(request.remote, str(exc)))
        response = web.Response(status=status, text="The request is not valid HTTP.")
        response.force_close()
        return response


class CallerServer(TrackingServer):
    """Create a CallerConnection for each caller."""

    def __init__(self, handle, *, bounds_memory, **options):
        super().__init__(handle, CallerConnection, **options)
        # Whether the bytes held for callers are bounded.
        self.bounds_memory = bounds_memory


def build_server(handle, settings):
    """Return a server that cancels a request's handler when its caller disconnects."""
    return CallerServer(
        handle,
        bounds_memory=settings.memory_megabytes > 0,
        access_log=None,
        auto_decompress=False,
        handler_cancellation=True,
        lingering_time=LINGERING_SECONDS,
        keepalive_timeout=settings.idle_seconds,
        max_field_size=settings.maximum_header_bytes,
        max_headers=settings.maximum_header_count,
        max_line_size=settings.maximum_header_bytes,
    )
