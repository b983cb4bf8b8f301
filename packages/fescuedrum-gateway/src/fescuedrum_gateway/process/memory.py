"""Keep the bytes that a gateway holds for its callers below a bound."""

import asyncio
import contextlib
import logging

from fescuedrum.decisions.admitting.memory import MemoryBound, choose_to_end, is_small
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import MemoryLow
from fescuedrum.events.requests import StreamEndedForMemory
from fescuedrum.exceptions import Overloaded
from fescuedrum_gateway.process.holders import (
    HeldRequest,
    IncompleteBody,
    Kind,
    UnreadBytes,
)

logger = logging.getLogger(__name__)

# How long a body may wait or take while memory is low.
WAIT_SECONDS = 0.25
# Time for which memory may be low before streams are ended although the bound is not
# reached: callers who read nothing would keep large bodies out for good.
LOW_SECONDS = 1.0
MEASURE_SECONDS = 0.25
LOW_MEASURE_SECONDS = 0.05
# Shortest interval between measurements that requests cause.
MINIMUM_MEASURE_SECONDS = 0.02
# Shortest interval between log messages that memory is low.
LOG_SECONDS = 10.0
REFUSAL_DETAIL = "memory"


class GatewayMemory:
    """Sum the bytes held for callers; refuse bodies and end streams at the bound."""

    __slots__ = (
        "bound",
        "count_ended",
        "held",
        "incomplete",
        "logged_at",
        "loop",
        "low_since",
        "measured_at",
        "refused_at",
        "room",
        "small_room",
        "total",
        "unread",
    )

    def __init__(self, bound: MemoryBound, count_ended=lambda: None):
        self.bound = bound
        # Called for each stream that is ended for memory.
        self.count_ended = count_ended
        self.loop = asyncio.get_running_loop()
        # Bytes by kind, and their sum. Those of unread bytes are upper bounds between
        # two measurements.
        self.held = dict.fromkeys(Kind, 0)
        self.total = 0
        self.incomplete: set[IncompleteBody] = set()
        self.unread: set[UnreadBytes] = set()
        self.measured_at = self.logged_at = self.refused_at = float("-inf")
        # When memory became low; None while it is not.
        self.low_since = None
        # Set, and replaced, when memory is no longer low; and when it is below the
        # bound, which is enough for small bodies.
        self.room = asyncio.Event()
        self.small_room = asyncio.Event()

    async def run(self):
        """Measure what is held a few times a second for ever."""
        while True:
            is_low = self.bound.is_low(self.total)
            await asyncio.sleep(LOW_MEASURE_SECONDS if is_low else MEASURE_SECONDS)
            self.relieve()

    def hold_request(self) -> HeldRequest:
        """Return what counts the body and the answers of a new request."""
        return HeldRequest(self)

    # Counting

    def add(self, kind: Kind, size: int) -> None:
        """Add bytes to the sum of a kind; a negative size releases them."""
        self.held[kind] += size
        self.total += size

    def add_checked(self, kind: Kind, size: int) -> bool:
        """Add bytes; return whether the bound still holds once streams were ended."""
        self.add(kind, size)
        if self.bound.is_reached(self.total):
            self.relieve()
        return not self.bound.is_reached(self.total)

    def resize(self, holder: IncompleteBody | UnreadBytes, size: int) -> None:
        """Set how many bytes a holder has; one that was ended has none."""
        if not holder.ended:
            self.add(holder.kind, size - holder.size)
            holder.size = size

    def received(self, body: IncompleteBody) -> None:
        """Count what has arrived of a body."""
        self.resize(body, body.measure())
        if self.bound.is_low(self.total):
            self.relieve_soon()

    def wrote(self, unread: UnreadBytes, size: int) -> None:
        """Count bytes that are written to a caller."""
        self.resize(unread, unread.size + size)
        if self.bound.is_low(self.total):
            self.relieve_soon()

    def watch(self, unread: UnreadBytes) -> UnreadBytes:
        """Count a caller's unread bytes until the caller has read them."""
        self.unread.add(unread)
        return unread

    def measure(self) -> None:
        """Replace the sums of what is in buffers by what is there now."""
        for body in self.incomplete:
            self.resize(body, body.measure())
        for unread in list(self.unread):
            self.resize(unread, unread.measure())
            if unread.ended or (not unread.size and unread.content is None):
                self.unread.discard(unread)

    # Keeping the bound

    def relieve_soon(self) -> None:
        """Relieve memory unless that was done a moment ago."""
        if self.loop.time() - self.measured_at >= MINIMUM_MEASURE_SECONDS:
            self.relieve()

    def relieve(self) -> None:
        """Measure what is held, and end what holds the most if that is too much."""
        now = self.measured_at = self.loop.time()
        self.measure()
        if not self.bound.is_low(self.total):
            self.low_since = None
            self.wake_waiting()
            return
        if self.low_since is None:
            self.low_since = now
        self.log_low(now)
        excess = self.total - self.bound.low + 1
        for holder in choose_to_end(self.endable(now), excess):
            self.end(holder, now)
        self.wake_waiting()

    def wake_waiting(self) -> None:
        """Wake the bodies that may be read now."""
        if not self.bound.is_reached(self.total):
            self.small_room.set()
            self.small_room = asyncio.Event()
        if not self.bound.is_low(self.total):
            self.room.set()
            self.room = asyncio.Event()

    def endable(self, now):
        """Return the bodies and streams that may be ended now."""
        if self.bound.is_reached(self.total):
            return [*self.incomplete, *self.unread]
        slow = [each for each in self.incomplete if now - each.began > WAIT_SECONDS]
        keeps_out = (
            now - self.low_since >= LOW_SECONDS and now - self.refused_at <= LOW_SECONDS
        )
        return [*slow, *self.unread] if keeps_out else slow

    def end(self, holder: IncompleteBody | UnreadBytes, now: float) -> None:
        """End a body or a stream and release its bytes."""
        size = holder.size
        self.resize(holder, 0)
        holder.ended = True
        holder.end(now)
        if isinstance(holder, UnreadBytes):
            self.unread.discard(holder)
            self.count_ended()
            event = StreamEndedForMemory(holder.request, size, self.total)
            log_event(logger, event)

    def log_low(self, now):
        """Log that memory is low, unless that was logged a short time ago."""
        if now - self.logged_at >= LOG_SECONDS:
            self.logged_at = now
            event = MemoryLow(*(self.held[kind] for kind in Kind), self.bound.total)
            log_event(logger, event)

    # Bodies

    @contextlib.asynccontextmanager
    async def reading(self, content, announced: int | None):
        """Count a body while it is read; yield its IncompleteBody.

        Wait while memory is low. Raise Overloaded if it stays low, or if the body
        arrives too slowly for it.
        """
        timeout = asyncio.timeout(None)
        body = IncompleteBody(content, timeout, self.loop.time())
        try:
            async with timeout:
                self.incomplete.add(body)
                await self.wait_for_room(announced)
                yield body
        except TimeoutError:
            if not body.ended:
                raise
            raise self.build_refusal() from None
        finally:
            self.incomplete.discard(body)
            self.resize(body, 0)

    async def wait_for_room(self, announced: int | None) -> None:
        """Wait until a body may be read; raise Overloaded if it may not."""
        if self.bound.accepts(self.total, announced):
            return
        self.relieve_soon()
        until = self.loop.time() + WAIT_SECONDS
        while not self.bound.accepts(self.total, announced):
            try:
                room = self.small_room if is_small(announced) else self.room
                async with asyncio.timeout_at(until):
                    await room.wait()
            except TimeoutError:
                raise self.build_refusal() from None

    def build_refusal(self):
        """Return the error for a body that there is no memory for.

        A part of the request is unread, so its connection must be closed.
        """
        self.refused_at = self.loop.time()
        error = Overloaded(REFUSAL_DETAIL)
        error.closes_connection = True
        return error
