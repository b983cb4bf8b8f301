"""Send an answer to one entry as fast as that entry's caller takes it."""

import asyncio

CHUNK_BYTES = 64 * 1024
# Tokens of one stream that follow each other more quickly than this leave together:
# each frame and each write to the caller costs the entry the same whatever is in it.
# A reader can't tell 5 ms, and tokens at the usual 30 ms are never held.
MERGE_SECONDS = 0.005
# What gathers no further: a body in bulk must not be slowed to a chunk each 5 ms.
MERGE_BYTES = 4 * 1024


class Relay:
    """Follow an answer and send its bytes within the credit given for this request.

    Each request has its own credit, so that a slow caller holds up only its own
    answer and not the others on the connection.
    """

    __slots__ = (
        "answer",
        "attempt",
        "credit",
        "credited",
        "free_at",
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
        self.credited = asyncio.Event()
        self.answer = answer
        # An entry that lost its connection midway asks for the rest only.
        self.offset = request.resume_offset or 0
        answer.attach(self)
        self.loop = asyncio.get_running_loop()
        # Until this time what comes is held, so that it leaves together.
        self.free_at = 0.0

    def add_credit(self, window):
        self.credit += window
        self.credited.set()

    async def run(self):
        try:
            await self.send_all()
        finally:
            self.answer.detach(self)

    async def send_all(self):
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
        while self.offset < self.answer.end:
            while self.credit <= 0:
                self.credited.clear()
                await self.credited.wait()
            await self.gather()
            # Credit bounds one request; this bounds the sum of all on the connection.
            await self.session.connection.wait_until_writable()
            size = min(self.credit, CHUNK_BYTES)
            data = self.answer.read(self.offset, size)
            self.send("chunk", offset=self.offset, data=data)
            self.offset += len(data)
            self.credit -= len(data)
            self.answer.advance()
            self.free_at = self.loop.time() + MERGE_SECONDS

    async def gather(self):
        """Wait for more of a stream if the last chunk left a moment ago."""
        wait = self.free_at - self.loop.time()
        waiting = self.answer.end - self.offset
        if wait > 0 and waiting < MERGE_BYTES and not self.answer.done:
            await asyncio.sleep(wait)

    def send(self, kind, **fields):
        self.session.send(kind, self.number, self.attempt, **fields)
