"""Check batching, back-pressure and compatibility of frames on real sockets."""

import asyncio

from support.peers import connected
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from fescuedrum.outcomes import Outcome
from fescuedrum.wire import codec, connection
from fescuedrum.wire.connection import HIGH_WATER_BYTES
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum_agent.connection.relay import Relay
from fescuedrum_agent.request.answer import Answer

WINDOW = 4 * 1024


async def test_frames_of_one_loop_iteration_are_sent_at_its_end_in_one_write():
    async with connected() as (near, far):
        writes = []
        write = near.writer.write
        near.writer.write = lambda data: (writes.append(data), write(data))
        for number in range(100):
            near.send(cancel=frames.Cancel(number, 1))
        await asyncio.sleep(0)
        assert len(writes) == 1
        got = [codec.get_body(await far.receive()).number for _ in range(100)]
    assert got == list(range(100))


async def test_a_frame_received_in_pieces_is_reassembled():
    async with connected() as (near, far):
        encoded = codec.encode(chunk=frames.Chunk(1, 1, 0, b"x" * 300_000))
        for position in range(0, len(encoded), 70_001):
            near.writer.write(encoded[position : position + 70_001])
            await asyncio.sleep(0)
        frame = await far.receive()
    assert len(frame.chunk.data) == 300_000


async def test_senders_wait_while_the_peer_does_not_read():
    """Guard against an agent that runs out of memory.

    It comes about when a zone's network stalls while endpoints go on producing answers
    and the agent buffers them without a limit.
    """
    async with connected() as (near, far):
        sent = 0

        async def produce():
            nonlocal sent
            while True:
                await near.wait_until_writable()
                near.send(chunk=frames.Chunk(1, 1, 0, b"x" * 65_536))
                sent += 65_536

        task = asyncio.create_task(produce())
        before = -1
        while sent != before:
            before = sent
            await asyncio.sleep(0.2)
        assert near.unsent_bytes <= 2 * HIGH_WATER_BYTES
        for _ in range(100):
            await far.receive()
        await asyncio.sleep(0.2)
        assert sent > before
        task.cancel()


async def test_closing_does_not_wait_for_ever_for_a_silent_peer(monkeypatch):
    """Guard against a closed connection that keeps its unsent bytes for ever.

    It comes about when the network drops a connection and neither end is notified.
    """
    monkeypatch.setattr(connection, "CLOSE_SECONDS", 0.05)
    async with connected() as (near, _):
        while near.unsent_bytes < HIGH_WATER_BYTES:
            near.send(chunk=frames.Chunk(1, 1, 0, b"x" * 65_536))
            near.flush()
        near.close()
        assert near.unsent_bytes
        async with asyncio.timeout(20):
            while near.unsent_bytes:
                await asyncio.sleep(0.05)


class ConnectionSession:
    """Replace a session; it only sends frames on its connection."""

    def __init__(self, connection):
        self.connection = connection

    def send(self, kind, number, attempt, **fields):
        body = {"head": frames.ResponseHead, "chunk": frames.Chunk, "end": frames.End}
        self.connection.send(**{kind: body[kind](number, attempt, **fields)})


async def test_a_slow_caller_delays_only_its_own_answer():
    """Guard against a slow caller that delays another one on the same connection.

    With credit for the whole connection instead of each answer, the unread bytes of a
    long answer would fill it, and a short answer would wait behind them.
    """
    async with connected() as (near, far):
        relays = {}
        for number, size in ((1, 10_000_000), (2, 200_000)):
            answer = Answer()
            answer.start(200, [])
            answer.append(b"x" * size)
            answer.finish(Outcome.ANSWERED)
            request = frames.Request(number=number, attempt=1, window=WINDOW)
            relays[number] = Relay(ConnectionSession(near), request, answer)
        tasks = [asyncio.create_task(relay.run()) for relay in relays.values()]
        received = {1: 0, 2: 0}
        while True:
            match codec.get_body(await far.receive()):
                case frames.Chunk(number=2, data=data):
                    received[2] += len(data)
                    relays[2].add_credit(len(data))
                case frames.Chunk(data=data):
                    received[1] += len(data)
                case frames.End(number=2):
                    break
        for task in tasks:
            task.cancel()
    assert received == {1: WINDOW, 2: 200_000}


def write_unknown_member(protocol):
    """Write a union member with fields that this release does not know."""
    protocol.writeFieldBegin("strange", TType.STRUCT, 59)
    protocol.writeStructBegin("Strange")
    protocol.writeFieldBegin("names", TType.LIST, 1)
    protocol.writeListBegin(TType.STRING, 2)
    protocol.writeString("one")
    protocol.writeString("two")
    protocol.writeListEnd()
    protocol.writeFieldEnd()
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    protocol.writeFieldEnd()


def test_an_unknown_member_of_a_newer_peer_is_skipped():
    buffer = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(buffer, fallback=False)
    protocol.writeStructBegin("Frame")
    write_unknown_member(protocol)
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    assert codec.get_body(codec.decode(buffer.getvalue())) is None


def test_unknown_fields_of_a_newer_peer_are_skipped():
    buffer = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(buffer, fallback=False)
    protocol.writeStructBegin("Frame")
    protocol.writeFieldBegin("cancel", TType.STRUCT, 7)
    protocol.writeStructBegin("Cancel")
    protocol.writeFieldBegin("number", TType.I64, 1)
    protocol.writeI64(12)
    protocol.writeFieldEnd()
    write_unknown_member(protocol)
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    protocol.writeFieldEnd()
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    assert codec.get_body(codec.decode(buffer.getvalue())) == frames.Cancel(number=12)


async def test_a_finished_connection_still_reads_and_sends_nothing():
    """Guard against a write on a connection whose sending side is closed.

    It comes about when a stopping process answers a late frame; the error would be
    raised in the loop and go unnoticed.
    """
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    async with connected() as (near, far):
        near.send(cancel=frames.Cancel(1, 1))
        near.finish()
        near.send(cancel=frames.Cancel(2, 1))
        far.send(cancel=frames.Cancel(3, 1))
        assert codec.get_body(await near.receive()).number == 3
        assert codec.get_body(await far.receive()).number == 1
        assert await far.receive() is None
        far.close()
        assert await near.receive() is None
        near.finish()
    assert errors == []
