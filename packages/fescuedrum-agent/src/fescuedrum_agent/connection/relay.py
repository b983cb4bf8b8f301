"""Send an answer to one entry as fast as that entry's caller reads it."""

import asyncio

CHUNK_BYTES = 64 * 1024
# Tokens of one stream that arrive within this time of each other share a frame: each
# frame and each write to the caller costs the entry the same whatever its size.
# Readers don't notice 5 ms, and tokens at the usual 30 ms are never held.
MERGE_SECONDS = 0.005
# Unsent bytes from which a chunk is sent without a wait: a bulk body must not be slowed
# to one chunk each 5 ms.
MERGE_BYTES = 4 * 1024


class Relay:
    """Send the bytes of an answer, as they come, within the credit of its request.

    Each request has its own credit, so that a slow caller holds up only its own
    answer and not the others on the connection.
    """

    __slots__ = (
        "answer",
        "attempt",
        "credit",
        "credit_added",
        "hold_until",
        "loop",
        "number",
        "offset",
        "session",
    )

    def __init__(self, session, request, answer):
        self.session = session
        self.number = request.number
        self.attempt = request.attempt
        self.credit = request.window
        self.credit_added = asyncio.Event()
        self.answer = answer
        # An entry that lost its connection midway requests only the rest.
        self.offset = request.resume_offset or 0
        answer.attach(self)
        self.loop = asyncio.get_running_loop()
        # Bytes that arrive before this time are held, to be sent in one chunk.
        self.hold_until = 0.0

    def add_credit(self, window):
        """Allow the relay to send so many bytes more."""
        self.credit += window
        self.credit_added.set()

    async def run(self):
        """Send the answer to its end and detach from it."""
        try:
            await self.send_answer()
        finally:
            self.answer.detach(self)

    async def send_answer(self):
        """Send the head, the chunks and the end of the answer as they come."""
        answer = self.answer
        while answer.status is None and not answer.done:
            await answer.changed.wait()
        if answer.status is not None:
            self.send(
                "head",
                status=answer.status,
                headers=answer.headers,
                waited_ms=answer.waited_ms,
                cold=answer.cold,
            )
        while True:
            await self.send_available()
            if answer.done and self.offset == answer.end:
                break
            await answer.changed.wait()
        self.send(
            "end",
            outcome=answer.outcome.value,
            length=self.offset,
            reason=answer.reason,
            retry_after_ms=answer.retry_after_ms,
            unavailable=answer.unavailable,
        )

    async def send_available(self):
        """Send the bytes that the answer has so far, as credit allows."""
        while self.offset < self.answer.end:
            while self.credit <= 0:
                self.credit_added.clear()
                await self.credit_added.wait()
            await self.wait_to_merge()
            # Credit bounds one request; this bounds all requests of the connection.
            await self.session.connection.wait_until_writable()
            size = min(self.credit, CHUNK_BYTES)
            data = self.answer.read(self.offset, size)
            self.send("chunk", offset=self.offset, data=data)
            self.offset += len(data)
            self.credit -= len(data)
            self.answer.advance()
            self.hold_until = self.loop.time() + MERGE_SECONDS

    async def wait_to_merge(self):
        """Wait for more of a stream if the last chunk was sent a moment ago."""
        wait = self.hold_until - self.loop.time()
        waiting = self.answer.end - self.offset
        if wait > 0 and waiting < MERGE_BYTES and not self.answer.done:
            await asyncio.sleep(wait)

    def send(self, kind, **fields):
        """Send a frame of this request on the entry's connection."""
        self.session.send(kind, self.number, self.attempt, **fields)
