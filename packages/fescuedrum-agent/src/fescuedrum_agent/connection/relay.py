"""Send an answer to one entry as fast as that entry's caller takes it."""

import asyncio

CHUNK_BYTES = 64 * 1024


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

    def grant(self, window):
        self.credit += window
        self.credited.set()

    async def run(self):
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
        offset = self.offset
        while True:
            offset = await self.send_available(offset)
            if answer.done and offset == len(answer.body):
                break
            await answer.changed.wait()
        self.send(
            "end",
            outcome=answer.outcome.value,
            length=offset,
            reason=answer.reason,
            retry_after_ms=answer.retry_after_ms,
            unavailable=answer.unavailable,
        )

    async def send_available(self, offset):
        while offset < len(self.answer.body):
            while self.credit <= 0:
                self.credited.clear()
                await self.credited.wait()
            # Credit bounds one request; this bounds the sum of all on the connection.
            await self.session.connection.wait_for_room()
            size = min(self.credit, CHUNK_BYTES)
            data = bytes(self.answer.body[offset : offset + size])
            self.send("chunk", offset=offset, data=data)
            offset += len(data)
            self.credit -= len(data)
        return offset

    def send(self, kind, **fields):
        self.session.send(kind, self.number, self.attempt, **fields)
