"""Keep an answer while it is produced, so that several readers can follow it."""

import asyncio

from fescuedrum.outcomes import Outcome

# An answer up to this size is kept whole, for entries that ask for it again.
KEPT_BYTES = 1024 * 1024
# Of a longer one the endpoint may be so far ahead of the slowest reader.
AHEAD_BYTES = 256 * 1024


class Answer:
    """Collect status, headers and bytes of one execution.

    A long answer to a slow caller would otherwise fill this process: beyond KEPT_BYTES
    what all readers have is dropped, and the endpoint is read no faster than the
    slowest of them. With no reader left it is read to its end and dropped.
    """

    __slots__ = (
        "base",
        "body",
        "changed",
        "cold",
        "headers",
        "outcome",
        "readers",
        "reason",
        "retry_after_ms",
        "status",
        "taken",
        "unavailable",
        "waited_ms",
    )

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = bytearray()
        # Offset of the first byte that is still held.
        self.base = 0
        # They have an attribute offset: the bytes before it are not needed by them.
        self.readers = set()
        self.taken = asyncio.Event()
        self.outcome = None
        self.reason = ""
        # With the outcome not-run: when to come back.
        self.retry_after_ms = None
        # The endpoint refused or cut the connection: a sign that it is cold or gone.
        self.unavailable = False
        self.waited_ms = 0
        self.cold = False
        self.changed = asyncio.Event()

    @property
    def end(self):
        """Return the offset after the last byte so far."""
        return self.base + len(self.body)

    def read(self, offset, size):
        """Return the bytes from an offset that a reader holds."""
        begin = offset - self.base
        return bytes(self.body[begin : begin + size])

    def attach(self, reader):
        self.readers.add(reader)

    def detach(self, reader):
        self.readers.discard(reader)
        self.advance()

    def advance(self):
        """Drop what no reader needs, if the answer is too long to be kept whole."""
        if len(self.body) > KEPT_BYTES or self.base:
            slowest = self.slowest()
            del self.body[: slowest - self.base]
            self.base = slowest
        self.taken.set()

    def slowest(self):
        return min((reader.offset for reader in self.readers), default=self.end)

    async def room(self):
        """Return once the endpoint may send more."""
        while self.end > KEPT_BYTES and self.end - self.slowest() > AHEAD_BYTES:
            self.taken.clear()
            await self.taken.wait()
        if not self.readers:
            self.advance()

    @property
    def done(self):
        return self.outcome is not None

    def start(self, status, headers):
        self.status = status
        self.headers = headers
        self.notify()

    def append(self, data):
        self.body += data
        self.notify()

    def finish(self, outcome: Outcome, reason=""):
        self.outcome = outcome
        self.reason = reason
        self.notify()

    def notify(self):
        # Readers hold the old event; a new one keeps later waits from passing at once.
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
