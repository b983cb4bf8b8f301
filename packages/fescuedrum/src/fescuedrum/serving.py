"""Track callers' connections and close them without cutting an answer."""

import asyncio
import contextlib
import logging

from aiohttp import web
from aiohttp.http_writer import StreamWriter
from aiohttp.web_protocol import RequestHandler

from fescuedrum.events.event import log_event
from fescuedrum.events.requests import (
    AnswerNotDelivered,
    HeadNotWritable,
    TakenWhileStopping,
)

logger = logging.getLogger(__name__)

# Key of the request's id, which its log lines carry.
REQUEST_ID = web.RequestKey("request_id", str)
BAD_GATEWAY_STATUS = 502
# How long the rest of a refused body is read and dropped. Closing at once would reset
# the connection, and the caller could lose the refusal.
LINGERING_SECONDS = 1.0
# A caller that has just connected or got an answer may already be sending a request.
MINIMUM_IDLE_SECONDS = 1.0
# The same at the end of a stop, when such a request would be refused.
FINAL_IDLE_SECONDS = 0.2
# Time for a closed TLS connection to send what was written on it.
TLS_CLOSE_SECONDS = 1.0
# Interval between checks whether a stop may end, short against its margin of 0.6 s.
STOP_POLL_SECONDS = 0.05


class StopDeadlinePassed(TimeoutError):  # noqa: N818 - a state, not a fault
    """Signal that the time for a stop ended before the awaited body was complete."""


class TrackedConnection(RequestHandler):
    """Hold a caller's connection that knows whether it is idle."""

    __slots__ = ("closed_at", "idle_since", "responses_sent", "server", "tls")

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self.server = server
        # Number of responses sent on this connection.
        self.responses_sent = 0
        # Loop time at which the last response ended or the connection was created. The
        # time of the last byte would not do: a request head that arrives byte by byte
        # would delay a stop.
        self.idle_since = self._loop.time()
        # Loop time at which the connection was closed while idle.
        self.closed_at = None
        self.tls = False

    def connection_made(self, transport):
        self.tls = transport.get_extra_info("sslcontext") is not None
        super().connection_made(transport)

    def force_close_idle(self, now):
        """Close the idle connection after sending what was written."""
        self.closed_at = now
        self.force_close()

    def awaits_tls_close(self, now):
        """Return whether only the peer's TLS close confirmation is outstanding.

        TLS waits half a minute for it, and a peer that does not read never sends it:
        one such connection would delay a stop until its deadline.
        """
        if not self.tls or self.closed_at is None:
            return False
        return now - self.closed_at >= TLS_CLOSE_SECONDS

    @property
    def is_idle(self):
        """Return whether the connection is waiting for the head of a request.

        aiohttp has no public attribute for this. Checking for a running handler would
        be too late: a request that was just read would be closed without an answer.
        """
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    @property
    def ends_after_response(self):
        """Return whether the connection closes after the current response.

        On a kept connection the caller would send its next request to a process that
        stops. A pipelined request has already been read, so closing the connection
        before it is handled would leave it without an answer.
        """
        return self.server.is_draining and not self._messages

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to an error in the handler; log none if the caller left.

        A write to a caller that has left fails until the loop learns of the leave and
        cancels the handler. The handlers log the leave themselves.
        """
        transport = self.transport
        has_left = transport is None or transport.is_closing()
        if isinstance(exc, ConnectionError) and has_left:
            response = web.Response(status=status)
            response.force_close()
            return response
        return super().handle_error(request, status, exc, message)

    async def finish_response(self, request, resp, start_time):
        """Finish a response; close the connection after the last one."""
        if self.ends_after_response:
            resp.force_close()
        try:
            return await self.write_response(request, resp, start_time)
        except asyncio.CancelledError:
            log_event(logger, AnswerNotDelivered(request.get(REQUEST_ID, "")))
            raise
        finally:
            self.responses_sent += 1
            self.idle_since = self._loop.time()

    async def write_response(self, request, resp, start_time):
        """Write a response, or an error in place of one whose head can't be written.

        Otherwise the caller would see a closed connection and no answer.
        """
        if not resp.prepared:
            self.reset_writer(request)
        try:
            return await super().finish_response(request, resp, start_time)
        except ValueError as error:
            if request._payload_writer.output_size:
                raise
            log_event(logger, HeadNotWritable(request.get(REQUEST_ID, "")), error=error)
            self.reset_writer(request)
            text = f"The answer with status {resp.status} can't be passed on."
            failure = web.Response(status=BAD_GATEWAY_STATUS, text=text)
            failure.force_close()
            return await super().finish_response(request, failure, start_time)

    def reset_writer(self, request):
        """Forget how a response would have been framed whose head was not written."""
        if not request._payload_writer.output_size:
            request._payload_writer = StreamWriter(self, self._loop)


class TrackingServer(web.Server):
    """Create a connection of a class for each caller and close idle connections."""

    def __init__(self, handle, kind, **options):
        super().__init__(handle, **options)
        self.kind = kind
        # Loop time until which a stop waits for incomplete bodies; None before a stop.
        self.body_deadline = None
        # Timeouts of the bodies that are being read.
        self.body_timeouts = set()

    def __call__(self):
        return self.kind(self, loop=self._loop, **self._kwargs)

    @property
    def is_draining(self):
        """Return whether a stop has begun."""
        return self.body_deadline is not None

    def start_draining(self, body_deadline):
        """Close connections after their response; wait for bodies until a deadline."""
        self.body_deadline = body_deadline
        for timeout in self.body_timeouts:
            # Rescheduling one that expired in this loop iteration raises an error.
            if not timeout.expired():
                timeout.reschedule(min(timeout.when(), body_deadline))

    @contextlib.asynccontextmanager
    async def body_timeout(self, seconds):
        """Limit the time to read a body.

        Raise TimeoutError, or StopDeadlinePassed at the end of a stop. Without the
        latter, a body that is incomplete when the process exits would leave its caller
        without an answer, although the request never ran.
        """
        when = asyncio.get_running_loop().time() + seconds
        if self.is_draining:
            when = min(when, self.body_deadline)
        timeout = asyncio.timeout_at(when)
        try:
            async with timeout:
                self.body_timeouts.add(timeout)
                yield
        except TimeoutError:
            if timeout.when() == self.body_deadline:
                raise StopDeadlinePassed from None
            raise
        finally:
            self.body_timeouts.discard(timeout)

    def count_active(self):
        """Count connections with a request that is being read, run or answered."""
        return sum(
            not connection.is_idle and connection.closed_at is None
            for connection in self.connections
        )

    def open_connections(self, now):
        """Return the connections that a stop has to wait for."""
        return {each for each in self.connections if not each.awaits_tls_close(now)}

    def close_idle(self, now, idle_seconds=MINIMUM_IDLE_SECONDS):
        """Close connections that have been idle for at least idle_seconds."""
        for connection in self.connections:
            if connection.is_idle and now - connection.idle_since >= idle_seconds:
                connection.force_close_idle(now)


def log_taken_while_stopping(plan, request_id, deadline, connection):
    """Log that a stopping process accepts a request, and the times that allow it."""
    now = asyncio.get_running_loop().time()
    event = TakenWhileStopping(
        request=request_id,
        since_signal=round(now - plan.began, 4),
        left=round(plan.latest - now, 4),
        may_last=round(deadline - now, 4),
        kept=connection.responses_sent > 0,
    )
    log_event(logger, event)


async def wait_until_drained(plan, server, count_running):
    """Wait until the plan allows the stop to end, then close the plan.

    Once the balancer has noticed the stop, requests come only on kept connections.
    These are closed while idle: a caller whose connection is closed connects to another
    process, while one whose connection stays open would be refused here first.
    """
    loop = asyncio.get_running_loop()
    while not plan.may_end(loop.time(), count_running()):
        if plan.is_noticed(loop.time()):
            server.close_idle(loop.time())
        await asyncio.sleep(STOP_POLL_SECONDS)
    plan.close()


async def wait_for_delivery(plan, server, runner):
    """Wait until callers have received their answers or the stop's time is over.

    A request ends when its answer is written, but a caller on a slow link is still
    reading: bytes that the process has buffered would be lost when it exits, and the
    caller would have half an answer. A connection closes once everything is sent.
    New requests are refused meanwhile, which says more than a closed port.
    """
    first = set(server.connections)
    await wait_until_closed(plan, server, first.intersection)
    for site in list(runner.sites):
        await site.stop()
    await wait_until_closed(plan, server, set)


async def wait_until_closed(plan, server, select):
    """Close idle connections until none of the selected ones is open or time is up.

    select returns those of the given connections to wait for. The first check comes
    after a pause: a connection that the kernel has accepted reaches the server some
    loop iterations later, and would otherwise be dropped without an answer.
    """
    loop = asyncio.get_running_loop()
    while not plan.is_over(loop.time()):
        await asyncio.sleep(STOP_POLL_SECONDS)
        server.close_idle(loop.time(), FINAL_IDLE_SECONDS)
        if not select(server.open_connections(loop.time())):
            return
