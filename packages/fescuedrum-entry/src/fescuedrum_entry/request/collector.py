"""Pass an answer on to the caller and keep a small one for the key's row."""

import logging

from fescuedrum.claims.record import RecordedAnswer
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import CallerLeftKeyed
from fescuedrum.outcomes import Outcome
from fescuedrum.wire.gen.frames import ttypes as frames

logger = logging.getLogger(__name__)

# A row holds so much at most; of a longer answer only the agent has the bytes.
MAXIMUM_RECORDED_BYTES = 16 * 1024


class Collector:
    """Give one execution's answer to one caller, over as many connections as it takes.

    All connections read the same buffer at the agent, so a part that is read over a
    new connection continues what came before. A caller who leaves ends the passing
    on and not the collecting: the answer is still recorded.
    """

    __slots__ = ("caller_left", "head", "kept", "length", "reply")

    def __init__(self, reply):
        self.reply = reply
        self.head = None
        self.length = 0
        self.kept = bytearray()
        self.caller_left = False

    async def start(self, head):
        if self.head is not None:
            return
        self.head = head
        await self.pass_on(self.reply.start(head.status, head.headers or []))

    async def write(self, data):
        self.length += len(data)
        if self.length <= MAXIMUM_RECORDED_BYTES:
            self.kept += data
        await self.pass_on(self.reply.write(data))

    async def finish(self, outcome):
        await self.pass_on(self.reply.finish(Outcome(outcome)))

    async def replay(self, answer):
        """Give a recorded answer, or the rest of it."""
        headers = [frames.Header(name, value) for name, value in answer.headers]
        await self.start(frames.ResponseHead(status=answer.status, headers=headers))
        await self.write(answer.body[self.length :])
        await self.finish(answer.outcome)

    async def pass_on(self, step):
        if self.caller_left:
            step.close()
            return
        try:
            await step
        except ConnectionError:
            self.caller_left = True
            log_event(logger, CallerLeftKeyed())

    def recorded(self, outcome):
        """Return the answer for the key's row, or None when it is too large."""
        if self.head is None or self.length > MAXIMUM_RECORDED_BYTES:
            return None
        headers = tuple((each.name, each.value) for each in self.head.headers or [])
        outcome = Outcome(outcome)
        return RecordedAnswer(outcome, self.head.status, headers, bytes(self.kept))
