"""Send a request to an endpoint over a new connection and read the answer."""

import asyncio
import socket

import aiohttp
from aiohttp import hdrs
from yarl import URL

from fescuedrum.answers.exceptions import MalformedAnswer
from fescuedrum.answers.framing import STATUSES_WITHOUT_BODY
from fescuedrum.once import SendOnceGuard, open_session
from fescuedrum_gateway.request.call import Answered, Lost, NotRun, describe_failure

# A connection opens within one round trip of a few milliseconds. A lost packet would
# only be sent again after a second; trying another endpoint is faster.
CONNECT_TIMEOUT_SECONDS = 0.3
# Part of that time by which a stall of this process counts, however long it lasts.
CONNECT_TICK_SECONDS = 0.05
# Sent bytes that are not acknowledged for this long mean that the path is down. An
# engine that stalls does not delay this: its machine still acknowledges.
UNACKNOWLEDGED_TIMEOUT_MILLISECONDS = 1500
# With these values an idle connection whose peer has vanished is noticed after 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Headers that the library would add to those of the caller.
LIBRARY_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
# Rule that an answer breaks whose headers contradict each other.
CONTRADICTION = "contradiction"
# Parts in which a body is read, as a stream holds one part besides its buffers.
READ_BYTES = 16 * 1024


def open_socket(address):
    """Return a socket that detects a vanished peer.

    A machine that lost power or connectivity sends no reset: without these options a
    connection to it stays open and silent until the caller's deadline.
    """
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLISECONDS)
    return opened


def open_endpoint_session():
    """Return a session that opens a new connection for each request.

    On a reused connection a late second answer would be read as that of the next
    request, and a request sent while the endpoint closes the connection could not be
    told from one that ran.
    """
    return open_session(keep_connections=False, socket_factory=open_socket)


class OpenedAnswer:
    """Hold an answer whose head has been read and whose body has not."""

    __slots__ = ("head", "held", "response")
    __match_args__ = ("head",)

    def __init__(self, head, response, held):
        self.head = head
        self.response = response
        # Counts the bytes of a body that is read whole.
        self.held = held

    async def read(self):
        """Return Answered with the whole body, or Lost."""
        chunks, size = [], 0
        try:
            async for chunk in self.chunks():
                chunks.append(chunk)
                size += len(chunk)
                if not self.held.add_answer(len(chunk)):
                    self.held.drop_answer(size)
                    return Lost("no memory for the answer")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.held.drop_answer(size)
            rule = error.rule if isinstance(error, MalformedAnswer) else ""
            return Lost("answer broke off", error=error, broken_rule=rule)
        finally:
            self.response.close()
        if not chunks and self.head.succeeded and self.ends_with_connection:
            # An endpoint that ends as it begins to write leaves just that.
            return Lost("answer without a length ended before its body")
        return Answered(self.head, b"".join(chunks))

    async def chunks(self):
        """Yield the body as it arrives; raise ClientError if it breaks off."""
        while chunk := await self.response.content.read(READ_BYTES):
            yield chunk

    @property
    def ends_with_connection(self):
        """Return whether only the end of the connection shows where the body ends."""
        headers = self.response.headers
        is_framed = hdrs.CONTENT_LENGTH in headers or hdrs.TRANSFER_ENCODING in headers
        has_body = self.response.status not in STATUSES_WITHOUT_BODY
        return has_body and not is_framed and self.response.method != hdrs.METH_HEAD

    def close(self):
        """Close the connection."""
        self.response.close()


class ConnectionLimit(SendOnceGuard):
    """Limit the time in which the only connection of a request opens.

    The time is counted in ticks of this process, so that a stall counts as one of them.
    Otherwise the timer would run before the event that the connection has opened, and a
    stall of CONNECT_TIMEOUT_SECONDS would look like the failure of each endpoint to
    which a connection was opening.
    """

    __slots__ = ("is_connected", "loop", "ticks_left", "timeout", "timer")

    def __init__(self):
        super().__init__()
        self.loop = asyncio.get_running_loop()
        self.timeout = asyncio.timeout(None)
        self.timer = None
        self.ticks_left = round(CONNECT_TIMEOUT_SECONDS / CONNECT_TICK_SECONDS)
        self.is_connected = False

    def connect(self):
        """Start the time of the first connection; raise ResendRefused at the second."""
        super().connect()
        self.timer = self.loop.call_later(CONNECT_TICK_SECONDS, self.tick)

    def connected(self):
        """End the limit."""
        self.is_connected = True
        self.timer.cancel()
        self.timeout.reschedule(None)

    def tick(self):
        """Count a tick, and end the request with the last one."""
        self.ticks_left -= 1
        if self.ticks_left:
            self.timer = self.loop.call_later(CONNECT_TICK_SECONDS, self.tick)
        else:
            self.timeout.reschedule(self.loop.time())

    def end(self):
        """Cancel the timer of a request that ended before it was connected."""
        if self.timer is not None:
            self.timer.cancel()


async def send_call(session, adapter, call, endpoint, send):
    """Send a call to an endpoint; return OpenedAnswer, NotRun or Lost."""
    url = URL(f"http://{endpoint.host}:{endpoint.port}{call.target}", encoded=True)
    limit = ConnectionLimit()
    try:
        async with limit.timeout:
            response = await session.request(
                call.method,
                url,
                headers=adapter.write_call(call.head, send),
                data=call.body or None,
                allow_redirects=False,
                skip_auto_headers=LIBRARY_HEADERS,
                timeout=aiohttp.ClientTimeout(total=None),
                trace_request_ctx=limit,
            )
    except MalformedAnswer as error:
        return Lost(str(error), broken_rule=error.rule)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        if limit.is_connected:
            return Lost("no answer", error=error)
        # Without a connection nothing of the request was sent.
        return build_not_connected(limit, error)
    finally:
        limit.end()
    head = adapter.read_answer(response.status, response.headers)
    return await classify_answer(head, response, call)


def build_not_connected(limit, error):
    """Return NotRun for a request that ended before its connection was open."""
    if limit.timeout.expired():
        return NotRun(f"no connection in {CONNECT_TIMEOUT_SECONDS} s")
    is_closed = isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )
    return NotRun(describe_failure("no connection", error), is_closed=is_closed)


async def classify_answer(head, response, call):
    """Return OpenedAnswer for an endpoint's answer to this call, NotRun or Lost."""
    if head.fault:
        response.close()
        return Lost(f"malformed answer: {head.fault}", broken_rule=CONTRADICTION)
    if head.not_run and head.request_id in (None, call.head.request_id):
        return await read_refusal(head, response, call)
    if head.request_id != call.head.request_id:
        # A late answer to an earlier request, or bytes that belong to no request.
        response.close()
        return Lost("answer of another request")
    if head.encoded or (head.succeeded and not head.signed):
        response.close()
        return Lost("answer is not the endpoint's own", head)
    return OpenedAnswer(head, response, call.held)


async def read_refusal(head, response, call):
    """Return NotRun with an endpoint's refusal, without a body if reading it fails.

    The head alone proves that the request was not run.
    """
    read = await OpenedAnswer(head, response, call.held).read()
    answer = read if isinstance(read, Answered) else Answered(head, b"")
    return NotRun(f"refused with {head.status}", answer)
