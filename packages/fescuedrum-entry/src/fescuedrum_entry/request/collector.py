"""Pass an answer to the caller and keep a copy of a small one for the key's row."""

import logging

from fescuedrum.claims.record import RecordedAnswer
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import CallerLeftKeyed
from fescuedrum.outcomes import Outcome
from fescuedrum.wire.gen.frames import ttypes as frames

logger = logging.getLogger(__name__)

# Limit of an answer in a key's row; only the agent keeps the bytes of a longer one.
MAXIMUM_RECORDED_BYTES = 16 * 1024


class Collector:
    """Pass one execution's answer to one caller, over one or more connections.

    All connections read the same buffer at the agent, so a part that is read over a
    new connection continues the previous one. After the caller has left, nothing more
    is passed on, but the answer is still collected so that it can be recorded.
    """

    __slots__ = ("caller_left", "head", "length", "recordable_body", "reply")

    def __init__(self, reply):
        self.reply = reply
        self.head = None
        self.length = 0
        self.recordable_body = bytearray()
        self.caller_left = False

    async def start(self, head):
        """Pass on the answer's head, unless an earlier connection brought it."""
        if self.head is not None:
            return
        self.head = head
        await self.relay(self.reply.start(head.status, head.headers or []))

    async def write(self, data):
        """Pass on bytes of the body and keep a copy while the answer is small."""
        self.length += len(data)
        if self.length <= MAXIMUM_RECORDED_BYTES:
            self.recordable_body += data
        await self.relay(self.reply.write(data))

    async def finish(self, outcome):
        """Pass on the end of the answer and its outcome."""
        await self.relay(self.reply.finish(Outcome(outcome)))

    async def replay(self, answer):
        """Pass on a recorded answer, from the first byte that the caller lacks."""
        headers = [frames.Header(name, value) for name, value in answer.headers]
        await self.start(frames.ResponseHead(status=answer.status, headers=headers))
        await self.write(answer.body[self.length :])
        await self.finish(answer.outcome)

    async def relay(self, step):
        """Await a call of the reply, or discard it once the caller has left."""
        if self.caller_left:
            step.close()
            return
        try:
            await step
        except ConnectionError:
            self.caller_left = True
            log_event(logger, CallerLeftKeyed())

    def build_recorded_answer(self, outcome):
        """Return the answer for the key's row, or None if missing or too large."""
        if self.head is None or self.length > MAXIMUM_RECORDED_BYTES:
            return None
        headers = tuple((each.name, each.value) for each in self.head.headers or [])
        outcome = Outcome(outcome)
        return RecordedAnswer(
            outcome, self.head.status, headers, bytes(self.recordable_body)
        )
