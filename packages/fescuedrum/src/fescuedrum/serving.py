"""Know what callers' connections hold, and end them without cutting an answer."""

import asyncio
import contextlib
import logging

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from fescuedrum.events.event import log_event
from fescuedrum.events.requests import AnswerNotDelivered, TakenWhileStopping

logger = logging.getLogger(__name__)

# The id under which a request's log lines stand.
REQUEST_ID = web.RequestKey("request_id", str)
# Closing at once would reset the connection and lose the refusal on its way; this
# long the rest of a refused body is read and dropped.
LINGERING_SECONDS = 1.0
# A caller that has just connected, or was just answered, may be sending already.
MINIMUM_IDLE_SECONDS = 1.0
# The same at the very end of a stop, where such a caller would be refused.
LAST_REST_SECONDS = 0.2
# For what was written on a TLS connection to leave, once it is closed.
AGREEMENT_SECONDS = 1.0
# Pause between looks at whether a stop may end: little against its margin of 0.6 s.
STOP_POLL_SECONDS = 0.05


class StopDeadlinePassed(TimeoutError):  # noqa: N818 - tells a state, not a fault
    """Tell that the time of a stop was over before what was waited for."""


class TrackedConnection(RequestHandler):
    """Know whether a caller's connection has a request in hand, or rests."""

    __slots__ = ("answered", "closed_at", "rests_since", "server", "tls")

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self.server = server
        # Answers that this connection has carried.
        self.answered = 0
        # Loop time of the end of the last answer, or of the connection's beginning. Not
        # of the last byte: a head that comes byte by byte would hold up a stop.
        self.rests_since = self._loop.time()
        # Loop time at which it was closed while it rested.
        self.closed_at = None
        self.tls = False

    def connection_made(self, transport):
        self.tls = transport.get_extra_info("sslcontext") is not None
        super().connection_made(transport)

    def close_rested(self, now):
        """Close a connection that rests; what was written leaves first."""
        self.closed_at = now
        self.force_close()

    def is_left(self, now):
        """Tell whether nothing but the peer's agreement to the close is missing.

        TLS waits half a minute for it, and a program that does not read never gives it:
        one such connection would hold up a stop for all of its time.
        """
        if not self.tls or self.closed_at is None:
            return False
        return now - self.closed_at >= AGREEMENT_SECONDS

    @property
    def is_idle(self):
        """Tell whether the head of a request is waited for.

        The library knows it and tells nobody. A handler that has begun shows a request
        later, and one that was read a moment before would be closed unanswered.
        """
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    @property
    def ends_after_response(self):
        """Tell whether the present answer is the last one here.

        A kept connection would bring its caller's next request to a process that stops.
        A request that was sent before the answer to the one before it has been read
        already, and would be closed without a word.
        """
        return self.server.leaving and not self._messages

    async def finish_response(self, request, resp, start_time):
        """Write an answer to its end; the last one ends the connection."""
        if self.ends_after_response:
            resp.force_close()
        try:
            return await super().finish_response(request, resp, start_time)
        except asyncio.CancelledError:
            log_event(logger, AnswerNotDelivered(request.get(REQUEST_ID, "")))
            raise
        finally:
            self.answered += 1
            self.rests_since = self._loop.time()


class TrackingServer(web.Server):
    """Make a connection of a kind for each caller, and end those that rest."""

    def __init__(self, handle, kind, **options):
        super().__init__(handle, **options)
        self.kind = kind
        # Loop time at which a stop gives up bodies that are not whole.
        self.ends_at = None
        # Limits of the bodies that are being read.
        self.limits = set()

    def __call__(self):
        return self.kind(self, loop=self._loop, **self._kwargs)

    @property
    def leaving(self):
        return self.ends_at is not None

    def start_draining(self, ends_at):
        """End each connection with its answer, and wait for bodies until that time."""
        self.ends_at = ends_at
        for limit in self.limits:
            # One that is over in this very turn can't be changed, and raises an error.
            if not limit.expired():
                limit.reschedule(min(limit.when(), ends_at))

    @contextlib.asynccontextmanager
    async def body_timeout(self, seconds):
        """Bound a body's reading: TimeoutError, or StopDeadlinePassed at a stop's end.

        The failure: a body is not whole when the process ends, and its caller gets no
        word, although its request never ran.
        """
        when = asyncio.get_running_loop().time() + seconds
        if self.leaving:
            when = min(when, self.ends_at)
        limit = asyncio.timeout_at(when)
        try:
            async with limit:
                self.limits.add(limit)
                yield
        except TimeoutError:
            if limit.when() == self.ends_at:
                raise StopDeadlinePassed from None
            raise
        finally:
            self.limits.discard(limit)

    def count_active(self):
        """Count connections with a request that is read, runs, or is being answered."""
        return sum(
            not connection.is_idle and connection.closed_at is None
            for connection in self.connections
        )

    def held_connections(self, now):
        """Return the connections for which a stop has to wait."""
        return {each for each in self.connections if not each.is_left(now)}

    def close_idle(self, now, rest_seconds=MINIMUM_IDLE_SECONDS):
        """Close connections without a request in hand, after so much rest."""
        for connection in self.connections:
            if connection.is_idle and now - connection.rests_since >= rest_seconds:
                connection.close_rested(now)


def log_taken_while_stopping(plan, request_id, deadline, connection):
    """Log that a stopping process takes a request, with what decided it."""
    now = asyncio.get_running_loop().time()
    event = TakenWhileStopping(
        request=request_id,
        since_signal=round(now - plan.began, 4),
        left=round(plan.latest - now, 4),
        may_last=round(deadline - now, 4),
        kept=connection.answered > 0,
    )
    log_event(logger, event)


async def wait_until_drained(plan, server, count_running):
    """Wait until a stop may end.

    Once the balancer has noticed, only kept connections still bring requests here.
    They are closed while they rest: a caller that finds its connection closed dials
    another process, and one that does not would be refused here first.
    """
    loop = asyncio.get_running_loop()
    while not plan.may_end(loop.time(), count_running()):
        if plan.is_noticed(loop.time()):
            server.close_idle(loop.time())
        await asyncio.sleep(STOP_POLL_SECONDS)
    plan.close()


async def wait_for_delivery(plan, server, runner):
    """Wait until callers have their answers, or the time of the stop is over.

    A request has ended when its answer is written, but a caller on a narrow link
    reads on: what the process still holds of it would be lost with the process, and
    the caller would have half an answer. A connection is gone once all has left.
    Whoever comes meanwhile is refused, which tells more than a closed port.
    """
    first = set(server.connections)
    await until_gone(plan, server, first.intersection)
    for site in list(runner.sites):
        await site.stop()
    await until_gone(plan, server, set)


async def until_gone(plan, server, among):
    """Close what rests until among(held connections) is empty, or the time is over.

    The first look comes a moment later: a connection that the kernel has taken shows
    at the server in the next turns of the loop, and would be dropped unanswered.
    """
    loop = asyncio.get_running_loop()
    while not plan.is_over(loop.time()):
        await asyncio.sleep(STOP_POLL_SECONDS)
        server.close_idle(loop.time(), LAST_REST_SECONDS)
        if not among(server.held_connections(loop.time())):
            return
