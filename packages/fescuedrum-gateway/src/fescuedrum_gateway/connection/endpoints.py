"""Send one request to one endpoint over a connection of its own."""

import socket

import aiohttp
from aiohttp import hdrs
from yarl import URL

from fescuedrum.once import SendOnceGuard, open_session
from fescuedrum_gateway.request.call import Answered, Lost, NotRun

# A connection opens within two ways of a few milliseconds; a lost packet is sent again
# after a second, and another endpoint is sooner.
CONNECT_SECONDS = 0.3
# Bytes without an acknowledgement for so long mean that the path is gone; the longest
# stall of an engine that still answers does not keep its machine from acknowledging.
UNACKNOWLEDGED_MILLISECONDS = 1500
# With these an idle connection whose other end vanished is noticed after 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# The library would add these to what the caller sent.
OWN_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
READ_BYTES = 64 * 1024


def open_socket(address):
    """Return a socket that notices a vanished peer.

    A machine that lost power or its path resets nothing: without these options a
    connection to it stays open and silent until the caller's time is over.
    """
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)
    return opened


def open_endpoint_session():
    """Return a session that opens a connection for each request.

    On a kept connection a late second answer would be read as the next request's, and
    a request that crosses the endpoint's close could not be told from one that ran.
    """
    return open_session(keep_connections=False, socket_factory=open_socket)


class Opened:
    """Hold an answer whose head has come and whose body is still to be read."""

    __slots__ = ("head", "protocol", "response")
    __match_args__ = ("head",)

    def __init__(self, head, response):
        self.head = head
        self.response = response
        connection = response.connection
        self.protocol = None if connection is None else connection.protocol

    async def read(self):
        """Return Answered with the whole body, or Lost."""
        try:
            body = await self.response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Lost(f"answer broke off: {error!r}")
        finally:
            self.response.close()
        if not self.ended_properly():
            return Lost("answer without a length was reset")
        return Answered(self.head, body)

    async def chunks(self):
        """Yield the body as it comes; raise ClientError when it breaks off."""
        while chunk := await self.response.content.readany():
            yield chunk
        if not self.ended_properly():
            raise aiohttp.ClientPayloadError("a body without a length was reset")

    def ended_properly(self):
        """Tell whether the body that was read is whole.

        A body without a length ends with its connection, and the library takes a reset
        for such an end: half an answer would pass for a whole one.
        """
        headers = self.response.headers
        if hdrs.CONTENT_LENGTH in headers or hdrs.TRANSFER_ENCODING in headers:
            return True
        if self.protocol is None:
            return False
        return not isinstance(self.protocol.exception(), aiohttp.ClientOSError)

    def close(self):
        self.response.close()


async def open_answer(session, adapter, call, endpoint, send):
    """Send a call to an endpoint: Opened, NotRun or Lost."""
    url = URL(f"http://{endpoint.host}:{endpoint.port}{call.target}", encoded=True)
    try:
        response = await session.request(
            call.method,
            url,
            headers=adapter.write_call(call.head, send),
            data=call.body or None,
            allow_redirects=False,
            skip_auto_headers=OWN_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
            trace_request_ctx=SendOnceGuard(),
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        # No connection, so that nothing of the request has left.
        return NotRun(f"no connection: {error!r}")
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return Lost(f"no answer: {error!r}")
    head = adapter.read_answer(response.status, response.headers)
    return await judge_head(head, response, call)


async def judge_head(head, response, call):
    """Tell an answer of this request from anything else."""
    if head.not_run and head.request_id in (None, call.head.request_id):
        return await read_refusal(head, response)
    if head.request_id != call.head.request_id:
        # A late answer to an earlier request, or bytes of no request at all.
        response.close()
        return Lost("answer of another request")
    if head.encoded or (head.succeeded and not head.signed):
        response.close()
        return Lost("answer is not the endpoint's own")
    return Opened(head, response)


async def read_refusal(head, response):
    """Read the body of a refusal; its status alone proves that nothing ran."""
    read = await Opened(head, response).read()
    answer = read if isinstance(read, Answered) else Answered(head, b"")
    return NotRun(f"refused with {head.status}", answer)
