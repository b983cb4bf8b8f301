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
# A caller that has just connected may be sending already, and one that was refused may
# still send the rest of its body.
REST_SECONDS = LINGERING_SECONDS


class CallerConnection(RequestHandler):
    """Know whether a request is in hand, and answer malformed HTTP without a traceback.

    A request is in hand from its head to the last byte of its answer that the library
    has taken.
    """

    __slots__ = ("active_at", "answered", "in_hand")

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        # Answers that this connection has carried.
        self.answered = 0
        self.in_hand = False
        # Loop time of the newest byte that came, or of the end of the last answer.
        self.active_at = self._loop.time()

    def data_received(self, data):
        self.active_at = self._loop.time()
        super().data_received(data)

    async def finish_response(self, request, resp, start_time):
        """Write an answer to its end."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.answered += 1
            self.in_hand = False
            self.active_at = self._loop.time()

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

    def close_resting(self, now, rest_seconds=REST_SECONDS):
        """Close connections without a request in hand, after so much rest."""
        for connection in self.connections:
            rests = not connection.in_hand
            if rests and now - connection.active_at >= rest_seconds:
                connection.force_close()


def build_server(handle, settings):
    """Return a server that cancels a request's handler when its caller leaves."""

    async def take_in_hand(request):
        request.protocol.in_hand = True
        return await handle(request)

    return CallerServer(
        take_in_hand,
        access_log=None,
        auto_decompress=False,
        handler_cancellation=True,
        lingering_time=LINGERING_SECONDS,
        keepalive_timeout=settings.idle_seconds,
        max_field_size=settings.maximum_header_bytes,
        max_headers=settings.maximum_header_count,
        max_line_size=settings.maximum_header_bytes,
    )
