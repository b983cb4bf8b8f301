"""Hold an answer while it is produced, so that several readers can follow it."""

import asyncio

from fescuedrum.outcomes import Outcome

# An answer up to this size is kept whole, for entries that request it again.
KEPT_BYTES = 1024 * 1024
# Bytes of a longer answer that may be read ahead of the slowest reader.
AHEAD_BYTES = 256 * 1024


class Answer:
    """Hold the status, headers and bytes of one execution.

    Beyond KEPT_BYTES, bytes that all readers have read are dropped, and the endpoint is
    read at most AHEAD_BYTES ahead of the slowest reader. Without this, long answers to
    slow callers would fill the memory of this process. An answer without readers is
    read to its end and dropped.
    """

    __slots__ = (
        "base",
        "body",
        "changed",
        "cold",
        "headers",
        "outcome",
        "reader_advanced",
        "readers",
        "reason",
        "retry_after_ms",
        "status",
        "unavailable",
        "waited_ms",
    )

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = bytearray()
        # Offset of the first byte that is still held.
        self.base = 0
        # Objects with an attribute `offset`, before which they need no bytes.
        self.readers = set()
        self.reader_advanced = asyncio.Event()
        self.outcome = None
        self.reason = ""
        # With the outcome not-run: time after which the caller may retry.
        self.retry_after_ms = None
        # The endpoint refused or closed the connection, so it may be cold or stopped.
        self.unavailable = False
        self.waited_ms = 0
        self.cold = False
        self.changed = asyncio.Event()

    @property
    def end(self):
        """Return the offset after the last byte received so far."""
        return self.base + len(self.body)

    def read(self, offset, size):
        """Return up to `size` bytes from a reader's offset."""
        begin = offset - self.base
        return bytes(self.body[begin : begin + size])

    def attach(self, reader):
        """Keep the bytes from the reader's offset on for it."""
        self.readers.add(reader)

    def detach(self, reader):
        """Remove a reader and drop the bytes that only it needed."""
        self.readers.discard(reader)
        self.advance()

    def advance(self):
        """Drop what no reader needs, if the answer is too long to be kept whole."""
        if len(self.body) > KEPT_BYTES or self.base:
            offset = self.slowest_offset()
            del self.body[: offset - self.base]
            self.base = offset
        self.reader_advanced.set()

    def slowest_offset(self):
        """Return the lowest offset of the readers, or the end without readers."""
        return min((reader.offset for reader in self.readers), default=self.end)

    async def wait_for_readers(self):
        """Wait until the readers are near enough for more bytes to be read."""
        while self.end > KEPT_BYTES and self.end - self.slowest_offset() > AHEAD_BYTES:
            self.reader_advanced.clear()
            await self.reader_advanced.wait()
        if not self.readers:
            self.advance()

    @property
    def done(self):
        """Return whether the answer has an outcome."""
        return self.outcome is not None

    def start(self, status, headers):
        """Set the status and headers and notify the readers."""
        self.status = status
        self.headers = headers
        self.notify()

    def append(self, data):
        """Add bytes of the body and notify the readers."""
        self.body += data
        self.notify()

    def finish(self, outcome: Outcome, reason=""):
        """Set the outcome and notify the readers."""
        self.outcome = outcome
        self.reason = reason
        self.notify()

    def notify(self):
        """Wake the readers that wait for a change of the answer."""
        # Readers wait on the old event. Later waits need a new one that isn't set.
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
