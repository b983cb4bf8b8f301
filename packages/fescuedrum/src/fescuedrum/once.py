"""Prevent the HTTP client from resending a request by itself."""

import aiohttp

from fescuedrum.answers.connection import AnswerConnector


class ResendRefused(aiohttp.ClientError):
    """Raised to end a request that the client would send a second time."""

    def __init__(self):
        super().__init__("the endpoint closed the connection; it was not sent again")


class SendOnceGuard:
    """Count the connections that one request asks for; allow only the first."""

    __slots__ = ("connections",)

    def __init__(self):
        self.connections = 0

    def connect(self):
        """Count a connection; raise ResendRefused at the second."""
        self.connections += 1
        if self.connections > 1:
            raise ResendRefused

    def connected(self):
        """Take note that the connection is open; nothing has been sent yet."""


def open_session(*, keep_connections, socket_factory=None):
    """Return an HTTP client session that sends each request at most once.

    An endpoint may close a kept connection while a request is sent on it. Whether it
    ran is then unknown, so a request that may not be repeated needs a connection of
    its own (keep_connections=False).

    When an endpoint closes a connection without an answer, aiohttp sends PUT, DELETE
    and GET again on another one, although the first may have run: a booking would be
    recorded twice, and retries would exceed their budget. The client asks for a
    connection before each attempt, so the second request for one ends the attempt.
    Pass a new SendOnceGuard as trace_request_ctx of each request.
    """
    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_start.append(count_connection)
    tracing.on_connection_create_end.append(report_connection)
    tracing.on_connection_reuseconn.append(count_connection)
    return aiohttp.ClientSession(
        connector=AnswerConnector(
            limit=0,
            force_close=not keep_connections,
            socket_factory=socket_factory,
        ),
        auto_decompress=False,
        trace_configs=[tracing],
    )


async def count_connection(_session, context, _params):
    context.trace_request_ctx.connect()


async def report_connection(_session, context, _params):
    context.trace_request_ctx.connected()
