"""Hold what one request keeps in memory, each kind with its size in bytes."""

import asyncio
import enum


class Kind(enum.StrEnum):
    """Kinds of bytes that are held for callers."""

    BODIES = "bodies"
    ANSWERS = "answers"
    UNREAD = "unread"


class IncompleteBody:
    """Count the bytes of a body that is being read."""

    __slots__ = ("began", "content", "ended", "size", "timeout")
    kind = Kind.BODIES

    def __init__(self, content, timeout, now):
        self.content = content
        # Ends the reading when it is rescheduled.
        self.timeout = timeout
        self.began = now
        self.size = 0
        # Whether it was ended for memory.
        self.ended = False

    def measure(self) -> int:
        """Return the bytes received, those not read from the connection included."""
        return self.content.total_bytes

    def end(self, now) -> None:
        """Stop the reading; its caller is refused."""
        if not self.timeout.expired():
            self.timeout.reschedule(now)


class UnreadBytes:
    """Count the bytes that an endpoint sent and a caller has not read."""

    __slots__ = (
        "answer",
        "content",
        "ended",
        "request",
        "size",
        "taken",
        "task",
        "transport",
    )
    kind = Kind.UNREAD

    def __init__(self, transport, task, request, answer=0):
        self.transport = transport
        # Task that handles the request.
        self.task = task
        # Id of the request.
        self.request = request
        # Length of a whole answer, which is kept until the caller has read it.
        self.answer = answer
        # Stream of the endpoint that is forwarded now, and the bytes of it that were
        # forwarded.
        self.content = None
        self.taken = 0
        self.size = 0
        self.ended = False

    def follow(self, content) -> None:
        """Count what arrives from an endpoint; None if nothing more does."""
        self.content = content
        self.taken = 0

    def measure(self) -> int:
        """Return the bytes in the buffers of both connections."""
        transport = self.transport
        unsent = 0 if transport is None else transport.get_write_buffer_size()
        waiting = 0 if self.content is None else self.content.total_bytes - self.taken
        return unsent + max(waiting, 0) + (self.answer if unsent else 0)

    def end(self, now) -> None:
        """Close the caller's connection without the rest of the answer.

        Closing it in order would keep the buffer until the caller has read it. The task
        is cancelled first: it may be about to write, which would fail.
        """
        self.task.cancel()
        if self.transport is not None:
            self.task.get_loop().call_soon(self.transport.abort)


class HeldRequest:
    """Hold the body of one request, and count it and the answers read for it."""

    __slots__ = ("answers", "body", "memory", "unread")

    def __init__(self, memory):
        self.memory = memory
        self.body = b""
        self.answers = 0
        # Set once an answer is sent to the caller.
        self.unread = None

    @property
    def was_ended(self):
        """Return whether its answer was ended for memory."""
        return self.unread is not None and self.unread.ended

    def keep_body(self, body: bytes) -> None:
        """Keep a complete body until it is released."""
        self.body = body
        self.memory.add(Kind.BODIES, len(body))

    def release_body(self) -> None:
        """Drop the body, as no further attempt needs it."""
        size, self.body = len(self.body), b""
        self.memory.add(Kind.BODIES, -size)

    def add_answer(self, size: int) -> bool:
        """Count a part of an answer; return whether there is memory for it."""
        self.answers += size
        return self.memory.add_checked(Kind.ANSWERS, size)

    def drop_answer(self, size: int) -> None:
        """Subtract an answer that is not kept."""
        self.answers -= size
        self.memory.add(Kind.ANSWERS, -size)

    def send_answer(self, transport, request, size: int) -> None:
        """Count a whole answer as unread from now on."""
        self.drop_answer(self.answers)
        if size and transport is not None:
            task = asyncio.current_task()
            unread = UnreadBytes(transport, task, request, size)
            self.unread = self.memory.watch(unread)
            self.memory.resize(self.unread, size)

    def follow_stream(self, transport, request, content) -> UnreadBytes:
        """Count as unread what arrives from an endpoint and is sent to a caller."""
        if self.unread is None:
            self.unread = UnreadBytes(transport, asyncio.current_task(), request)
        self.unread.follow(content)
        return self.memory.watch(self.unread)

    def wrote(self, size: int) -> None:
        """Count bytes that are written to the caller of a stream."""
        self.memory.wrote(self.unread, size)

    def release(self) -> None:
        """Release everything at the end of the request."""
        self.release_body()
        self.drop_answer(self.answers)
        if self.unread is not None:
            self.unread.follow(None)
