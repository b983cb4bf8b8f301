"""Serve one entry's connection."""

import asyncio
import logging

from fescuedrum.claims.frames import DuplicateFilter
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import SessionTaskFailed
from fescuedrum.faults import ProtocolStep
from fescuedrum.wire import codec
from fescuedrum.wire.connection import FrameConnection
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum.wire.gen.members import ttypes as members
from fescuedrum_agent.connection.relay import Relay

logger = logging.getLogger(__name__)

BODIES = {
    "head": frames.ResponseHead,
    "chunk": frames.Chunk,
    "end": frames.End,
    "fence_reply": frames.FenceReply,
    "refusal": frames.Refusal,
}


class Session:
    """Own one connection: read its frames, run its requests, send their answers."""

    __slots__ = (
        "agent",
        "beat_interval",
        "connection",
        "heard_at",
        "heartbeats_received",
        "loop",
        "next_beat",
        "numbers",
        "peer",
        "received",
        "relays",
        "tasks",
    )

    def __init__(self, agent, reader, writer):
        self.agent = agent
        self.connection = FrameConnection(reader, writer)
        self.loop = asyncio.get_running_loop()
        self.heard_at = self.loop.time()
        self.numbers = DuplicateFilter()
        self.peer = None
        # How often the entry wants heartbeats, and when the next is due.
        self.beat_interval = 0.0
        self.next_beat = 0.0
        # Heartbeats received.
        self.heartbeats_received = 0
        # Requests seen on this connection; the entry corrects late reports by it.
        self.received = 0
        self.relays = {}
        self.tasks = set()

    async def run(self):
        try:
            side = self.agent.peers.accept_handshake()
            self.peer = (await self.connection.handshake(side)).instance
            self.agent.greet(self)
            while (frame := await self.connection.receive()) is not None:
                if self.silent_for_long():
                    break
                self.handle(codec.get_body(frame))
        finally:
            for task in self.tasks:
                task.cancel()
            self.agent.abandon(self)
            self.connection.close()

    @property
    def busy(self):
        """Tell whether the entry has still to be sent an answer, or the end of one."""
        return bool(self.tasks or self.connection.unsent_bytes)

    def silent_for_long(self):
        """Note that something came; tell whether it came after too long a silence."""
        now = self.loop.time()
        silence = now - self.heard_at
        self.heard_at = now
        # The same bound as in the agent's beat, for frames that come before it looks.
        return silence > self.agent.allowed_silence(self)

    def send(self, kind, number, attempt, **fields):
        self.agent.metrics.told(kind, fields)
        body = BODIES[kind](number=number, attempt=attempt, **fields)
        self.connection.send(**{kind: body})
        if kind == "head":
            self.agent.faults.crash_if_set(ProtocolStep.AGENT_HEAD)

    def handle(self, body):
        match body:
            case frames.Request():
                self.handle_request(body)
            case frames.Credit():
                if relay := self.relays.get(body.number):
                    relay.add_credit(body.window)
            case frames.Cancel():
                self.agent.cancel(self, body.number)
            case frames.Fence():
                self.spawn(self.answer_fence(body))
            case frames.Recorded():
                self.agent.keyed.mark_recorded(body, self.loop.time())
            case members.Heartbeat():
                self.agent.heard(self, body)
            case members.DocumentBody():
                self.agent.configuration.update_from_frame(body)
            case members.Pull():
                if document := self.agent.configuration.answer(body):
                    self.connection.send(document=document)

    async def answer_fence(self, fence):
        verdict = await self.agent.keyed.fence(fence)
        self.send("fence_reply", fence.number, fence.attempt, verdict=verdict.value)

    def handle_request(self, request):
        if not self.numbers.accept(request.number):
            return
        self.received += 1
        answer, refused = self.agent.submit(self, request)
        if answer is None:
            self.send("refusal", request.number, request.attempt, **refused.fields())
            return
        relay = Relay(self, request, answer)
        self.relays[request.number] = relay
        task = self.spawn(relay.run())
        task.add_done_callback(lambda _: self.relays.pop(request.number, None))

    def spawn(self, coroutine):
        """Run a task that ends with this connection at the latest."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.forget)
        return task

    def forget(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            log_event(logger, SessionTaskFailed(), error=task.exception())
