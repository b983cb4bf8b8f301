"""Give the caller the whole answer or an honest error."""

from aiohttp import web

from fescuedrum.outcomes import OUTCOME_HEADER, REQUEST_ID_HEADER

EVENT_STREAM = "text/event-stream"
HELD_BYTES = 1024 * 1024
DROPPED_HEADERS = frozenset(("content-length", "date", "server"))
STREAMING = "streaming"


class Reply:
    """Hold an answer back until it is whole, but pass event streams on at once.

    An answer that was held can still be given up for another attempt; one of which
    the caller has seen a byte can't.
    """

    __slots__ = ("call", "headers", "held", "http_request", "response", "status")

    def __init__(self, http_request, call):
        self.http_request = http_request
        self.call = call
        self.response = None
        self.status = 0
        self.headers = []
        self.held = bytearray()

    @property
    def started(self):
        """Tell whether the caller has been sent anything."""
        return self.response is not None

    async def start(self, status, headers):
        self.status = status
        self.headers = [(header.name, header.value) for header in headers]
        self.held.clear()
        if any(EVENT_STREAM in value for _, value in self.headers):
            await self.open_stream()

    async def write(self, data):
        if self.started:
            await self.response.write(data)
            return
        self.held += data
        if len(self.held) > HELD_BYTES:
            await self.open_stream()
            await self.response.write(bytes(self.held))
            self.held.clear()

    async def finish(self, outcome):
        if not self.started:
            self.response = web.Response(status=self.status, body=bytes(self.held))
            self.add_headers(outcome.value)
            return
        await self.response.write_eof()

    async def open_stream(self):
        self.response = web.StreamResponse(status=self.status)
        self.add_headers(STREAMING)
        await self.response.prepare(self.http_request)

    def add_headers(self, outcome):
        for name, value in self.headers:
            if name.lower() not in DROPPED_HEADERS:
                self.response.headers.add(name, value)
        self.response.headers[OUTCOME_HEADER] = outcome
        self.response.headers[REQUEST_ID_HEADER] = self.call.request_id

    def abort(self):
        """Cut the caller's connection: the only honest end of a broken stream."""
        if self.http_request.transport is not None:
            self.http_request.transport.abort()
