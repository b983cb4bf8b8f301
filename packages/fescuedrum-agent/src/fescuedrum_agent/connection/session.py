"""Serve the connection of one entry."""

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

BODY_TYPES = {
    "head": frames.ResponseHead,
    "chunk": frames.Chunk,
    "end": frames.End,
    "fence_reply": frames.FenceReply,
    "refusal": frames.Refusal,
}


class Session:
    """Read the frames of one connection, run its requests and send their answers."""

    __slots__ = (
        "agent",
        "connection",
        "duplicate_filter",
        "heartbeat_interval",
        "heartbeats_received",
        "last_heard_at",
        "loop",
        "next_heartbeat_at",
        "peer",
        "relays",
        "requests_received",
        "tasks",
    )

    def __init__(self, agent, reader, writer):
        self.agent = agent
        self.connection = FrameConnection(reader, writer)
        self.loop = asyncio.get_running_loop()
        self.last_heard_at = self.loop.time()
        self.duplicate_filter = DuplicateFilter()
        self.peer = None
        # Seconds between the heartbeats that the entry wants; when the next is due.
        self.heartbeat_interval = 0.0
        self.next_heartbeat_at = 0.0
        self.heartbeats_received = 0
        # Requests that came on this connection. Heartbeats report it, so that the
        # entry can correct load reports that don't count its latest requests.
        self.requests_received = 0
        self.relays = {}
        self.tasks = set()

    async def run(self):
        """Handle frames until the connection ends, then cancel its tasks."""
        try:
            handshake = self.agent.peers.accept_handshake()
            self.peer = (await self.connection.handshake(handshake)).instance
            self.agent.add_session(self)
            while (frame := await self.connection.receive()) is not None:
                if self.was_silent_too_long():
                    break
                self.handle(codec.get_body(frame))
        finally:
            for task in self.tasks:
                task.cancel()
            self.agent.cancel_idempotent(self)
            self.connection.close()

    @property
    def is_busy(self):
        """Return whether answers, or parts of them, are still to be sent."""
        return bool(self.tasks or self.connection.unsent_bytes)

    def was_silent_too_long(self):
        """Record that a frame came; return whether the silence before was too long."""
        now = self.loop.time()
        silence = now - self.last_heard_at
        self.last_heard_at = now
        # The agent checks the same bound periodically; a frame may come in between.
        return silence > self.agent.allowed_silence(self)

    def send(self, kind, number, attempt, **fields):
        """Count and send a frame that concerns one request."""
        self.agent.metrics.count_frame(kind, fields)
        body = BODY_TYPES[kind](number=number, attempt=attempt, **fields)
        self.connection.send(**{kind: body})
        if kind == "head":
            self.agent.faults.crash_if_set(ProtocolStep.AGENT_HEAD)

    def handle(self, body):
        """Act on the body of a frame that the entry sent."""
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
                self.agent.on_heartbeat(self, body)
            case members.DocumentBody():
                self.agent.configuration.update_from_frame(body)
            case members.Pull():
                if document := self.agent.configuration.answer(body):
                    self.connection.send(document=document)

    async def answer_fence(self, fence):
        """Fence a keyed request and send the result to the entry."""
        result = await self.agent.keyed.fence(fence)
        self.send("fence_reply", fence.number, fence.attempt, verdict=result.value)

    def handle_request(self, request):
        """Submit a request and relay its answer, or send why it is refused."""
        if not self.duplicate_filter.accept(request.number):
            return
        self.requests_received += 1
        answer, refused = self.agent.submit(self, request)
        if answer is None:
            self.send("refusal", request.number, request.attempt, **refused.fields())
            return
        relay = Relay(self, request, answer)
        self.relays[request.number] = relay
        task = self.spawn(relay.run())
        task.add_done_callback(lambda _: self.relays.pop(request.number, None))

    def spawn(self, coroutine):
        """Start a task that is cancelled when this connection ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task):
        """Drop a task that ended and log its error, if it had one."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            log_event(logger, SessionTaskFailed(), error=task.exception())
