"""Know what callers' connections hold, and end them without cutting an answer."""

import asyncio

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

# Closing at once would reset the connection and lose the refusal on its way; this
# long the rest of a refused body is read and dropped.
LINGERING_SECONDS = 1.0
# A caller that has just connected may be sending already, and one that was refused may
# still send the rest of its body.
REST_SECONDS = LINGERING_SECONDS
# Pause between looks at whether a stop may end: little against its margin of 0.6 s.
STOP_POLL_SECONDS = 0.05
# How long a connection must have brought nothing before a stop's end closes it.
STOP_REST_SECONDS = 0.2


class HeldConnection(RequestHandler):
    """Know whether a request is in hand.

    It is from its head to the last byte of its answer that the library has taken.
    """

    __slots__ = ("active_at", "answered", "in_hand", "server")

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self.server = server
        # Answers that this connection has carried.
        self.answered = 0
        self.in_hand = False
        # Loop time of the newest byte that came, or of the end of the last answer.
        self.active_at = self._loop.time()

    def data_received(self, data):
        self.active_at = self._loop.time()
        super().data_received(data)

    async def finish_response(self, request, resp, start_time):
        """Write an answer to its end; the connection ends with it in a stop."""
        if self.server.leaving:
            # A kept connection would bring this caller's next request here as well.
            resp.force_close()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.answered += 1
            self.in_hand = False
            self.active_at = self._loop.time()


class HeldServer(web.Server):
    """Make a connection of a kind for each caller, and end those that rest."""

    def __init__(self, handle, kind, **options):
        async def take_in_hand(request):
            request.protocol.in_hand = True
            return await handle(request)

        super().__init__(take_in_hand, **options)
        self.kind = kind
        # Whether each answer ends its connection.
        self.leaving = False

    def __call__(self):
        return self.kind(self, loop=self._loop, **self._kwargs)

    def count_in_hand(self):
        """Count connections with a request in hand."""
        return sum(connection.in_hand for connection in self.connections)

    def close_resting(self, now, rest_seconds=REST_SECONDS):
        """Close connections without a request in hand, after so much rest."""
        for connection in self.connections:
            rests = not connection.in_hand
            if rests and now - connection.active_at >= rest_seconds:
                connection.force_close()


async def let_run(plan, server, count_running):
    """Wait until a stop may end.

    Once the balancer has noticed, only kept connections still bring requests here.
    They are closed while they rest: a caller that finds its connection closed dials
    another process, and one that does not would be refused here first.
    """
    loop = asyncio.get_running_loop()
    while not plan.may_end(loop.time(), count_running()):
        if plan.is_noticed(loop.time()):
            server.close_resting(loop.time())
        await asyncio.sleep(STOP_POLL_SECONDS)
    plan.close()


async def deliver(plan, server, runner):
    """Wait until callers have their answers, or the time of the stop is over.

    A request has ended when its answer is written, but a caller on a narrow link
    reads on: what the process still holds of it would be lost with the process, and
    the caller would have half an answer. A connection is gone once all has left.
    """
    for site in list(runner.sites):
        await site.stop()
    loop = asyncio.get_running_loop()
    while server.connections and loop.time() < plan.latest:
        server.close_resting(loop.time(), STOP_REST_SECONDS)
        await asyncio.sleep(STOP_POLL_SECONDS)
