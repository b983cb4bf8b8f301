"""Keep the HTTP client from sending a request a second time by itself."""

import aiohttp


class SentBefore(aiohttp.ClientError):
    """Stop the client's own second try of a request."""

    def __init__(self):
        super().__init__("the endpoint closed the connection; it was not sent again")


class SendOnceGuard:
    """Count how often one request was about to be sent."""

    __slots__ = ("connections",)

    def __init__(self):
        self.connections = 0

    def connect(self):
        self.connections += 1
        if self.connections > 1:
            raise SentBefore


def open_session(*, keep_connections, socket_factory=None):
    """Return an HTTP client session that sends each request at most once.

    A kept connection may be closed by the endpoint just as a request leaves on it.
    Nobody can tell then whether it ran, so what may not be repeated gets a connection
    of its own.

    When an endpoint closes a connection without an answer, the client sends PUT,
    DELETE and GET again on another, although the first may have run: a booking would
    be recorded twice, and retries would escape their budget. The client asks for a
    connection before each sending, so the second asking ends the request instead. Give
    each request its Sending as trace_request_ctx.
    """
    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_start.append(note_connection)
    tracing.on_connection_reuseconn.append(note_connection)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            force_close=not keep_connections,
            socket_factory=socket_factory,
        ),
        auto_decompress=False,
        trace_configs=[tracing],
    )


async def note_connection(_session, context, _params):
    context.trace_request_ctx.connect()
