"""Serve one entry's connection."""

import asyncio
import logging

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
    "refusal": frames.Refusal,
}


class Session:
    """Own one connection: read its frames, run its requests, send their answers."""

    __slots__ = (
        "agent",
        "beat_interval",
        "beats",
        "connection",
        "next_beat",
        "peer",
        "received",
        "relays",
        "tasks",
    )

    def __init__(self, agent, reader, writer):
        self.agent = agent
        self.connection = FrameConnection(reader, writer)
        self.peer = None
        # How often the entry wants heartbeats, and when the next is due.
        self.beat_interval = 0.0
        self.next_beat = 0.0
        # Heartbeats received.
        self.beats = 0
        # Requests seen on this connection; the entry corrects late reports by it.
        self.received = 0
        self.relays = {}
        self.tasks = set()

    async def run(self):
        try:
            side = self.agent.peers.agent_side()
            self.peer = (await self.connection.handshake(side)).instance
            self.agent.greet(self)
            while (frame := await self.connection.receive()) is not None:
                self.handle(codec.body_of(frame))
        finally:
            for task in self.tasks:
                task.cancel()
            self.connection.close()

    def send(self, kind, number, attempt, **fields):
        self.agent.metrics.told(kind, fields)
        body = BODIES[kind](number=number, attempt=attempt, **fields)
        self.connection.send(**{kind: body})

    def handle(self, body):
        match body:
            case frames.Request():
                self.handle_request(body)
            case frames.Credit():
                if relay := self.relays.get(body.number):
                    relay.grant(body.window)
            case frames.Cancel():
                self.agent.cancel(self, body.number)
            case members.Heartbeat():
                self.agent.heard(self, body)
            case members.DocumentBody():
                self.agent.configuration.offer_frame(body)
            case members.Pull():
                if document := self.agent.configuration.answer(body):
                    self.connection.send(document=document)

    def handle_request(self, request):
        self.received += 1
        answer, refused = self.agent.submit(self, request)
        if answer is None:
            self.send("refusal", request.number, request.attempt, **refused.fields())
            return
        relay = Relay(self, request, answer)
        self.relays[request.number] = relay
        task = asyncio.create_task(relay.run())
        self.tasks.add(task)
        task.add_done_callback(lambda done: self.forget(request.number, done))

    def forget(self, number, task):
        self.relays.pop(number, None)
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            logger.error("relay failed", exc_info=task.exception())
