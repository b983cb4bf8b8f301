"""Send and receive frames over one TCP connection."""

import asyncio
import collections
import fcntl
import sys
import termios

from fescuedrum.exceptions import PeerRefusedError, ProtocolError
from fescuedrum.wire import codec

READ_BYTES = 256 * 1024
# A stranger must not make this process keep more than a hello's worth of bytes.
HANDSHAKE_FRAME_BYTES = 4 * 1024
HANDSHAKE_SECONDS = 5.0
# Above the high mark senders wait; the peer's kernel and ours hold some more.
HIGH_WATER_BYTES = 1024 * 1024
CLOSE_SECONDS = 5.0
# Frames that can't wait (heartbeats, credit) still add up when a peer takes nothing.
MAXIMUM_UNSENT_BYTES = 32 * 1024 * 1024


class FrameConnection:
    """Own the two streams of a connection and batch what is sent in one loop turn.

    What is queued leaves at the end of the same loop turn, so no frame is held for
    longer than the turn lasts; under load one turn, and so one write, carries many.
    """

    __slots__ = (
        "finished",
        "incoming",
        "loop",
        "maximum_frame_bytes",
        "outgoing",
        "partial",
        "queued_bytes",
        "reader",
        "received_bytes",
        "sent_bytes",
        "writer",
    )

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.writer.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self.loop = asyncio.get_running_loop()
        self.outgoing = []
        # Whether the peer was told that nothing more comes.
        self.finished = False
        self.queued_bytes = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.incoming = collections.deque()
        self.partial = bytearray()
        self.maximum_frame_bytes = codec.MAXIMUM_FRAME_BYTES

    def send(self, **body):
        """Queue a frame; frames of one loop turn leave in one write."""
        if not self.outgoing:
            self.loop.call_soon(self.flush)
        encoded = codec.encode(**body)
        self.outgoing.append(encoded)
        self.queued_bytes += len(encoded)

    def flush(self):
        frames, self.outgoing = self.outgoing, []
        self.sent_bytes += self.queued_bytes
        self.queued_bytes = 0
        if not frames or self.finished or self.writer.is_closing():
            return
        self.writer.write(b"".join(frames))
        # A peer that takes nothing would otherwise fill this process's memory.
        if self.unsent_bytes > MAXIMUM_UNSENT_BYTES:
            self.writer.transport.abort()

    @property
    def unsent_bytes(self):
        """Count the bytes that are queued here and not yet in the kernel's hands."""
        return self.queued_bytes + self.writer.transport.get_write_buffer_size()

    @property
    def congested(self):
        """Tell whether large frames should wait or go another way."""
        return self.unsent_bytes > HIGH_WATER_BYTES

    async def wait_until_writable(self):
        """Return once the peer has taken enough of what was sent, or is gone."""
        while self.congested and not self.writer.is_closing():
            self.flush()
            try:
                await self.writer.drain()
            except OSError:
                return

    async def handshake(self, side):
        """Move the frames of a handshake; raise ProtocolError when it fails."""
        self.maximum_frame_bytes = HANDSHAKE_FRAME_BYTES
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                self.send_all(side.open())
                while not side.done:
                    frame = await self.receive()
                    if frame is None:
                        raise PeerRefusedError("The peer closed during the handshake.")
                    self.send_all(side.receive(codec.get_body(frame)))
        except TimeoutError as error:
            raise PeerRefusedError("The peer did not finish the handshake.") from error
        self.maximum_frame_bytes = codec.MAXIMUM_FRAME_BYTES
        return side.peer

    def send_all(self, bodies):
        for body in bodies:
            self.send(**body)

    async def receive(self):
        """Wait for the next frame; return None at the end of the connection."""
        while not self.incoming:
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                return None
            if not data:
                return None
            self.received_bytes += len(data)
            self.split(data)
        return codec.decode(self.incoming.popleft())

    def split(self, data):
        """Cut what came into whole frames and keep the rest."""
        buffer = self.partial
        buffer += data
        position, size = 0, len(buffer)
        while size - position >= codec.LENGTH_BYTES:
            begin = position + codec.LENGTH_BYTES
            length = int.from_bytes(buffer[position:begin], "big")
            if length > self.maximum_frame_bytes:
                raise ProtocolError(f"A frame of {length} bytes is over the limit.")
            if size - begin < length:
                break
            self.incoming.append(bytes(buffer[begin : begin + length]))
            position = begin + length
        del buffer[:position]

    def finish(self):
        """Tell the peer that nothing more comes, but for TLS, and go on reading.

        The failure: a process ends while its kernel still sends for it, the peer's next
        frame finds nobody, and the kernel answers with a reset that drops the rest. The
        peer closes when it has read all, so what it sends until then must be read.
        """
        self.flush()
        # With TLS the peer is told of nothing, and has to be answered to the end.
        if self.writer.can_write_eof() and not self.writer.is_closing():
            self.finished = True
            self.writer.write_eof()

    @property
    def may_lose_data(self):
        """Tell whether the end of the process could lose something that was sent.

        TLS can't be half closed, and its own closing fails when a frame crosses it. It
        has nothing to lose once the peer's kernel has all, which a reset leaves there.
        """
        if self.writer.can_write_eof():
            return not self.writer.is_closing()
        return bool(self.unsent_bytes or undelivered_bytes(self.writer))

    def close(self):
        """Close when the peer has taken what was sent, or has had its time to."""
        self.flush()
        self.writer.close()
        # A silent peer takes nothing, so the transport would wait for good and keep
        # its buffer, and the process could not end.
        self.loop.call_later(CLOSE_SECONDS, self.writer.transport.abort)


def undelivered_bytes(writer):
    """Count the bytes in the kernel's hands that the peer's has not confirmed."""
    sock = writer.get_extra_info("socket")
    if writer.is_closing() or sock.fileno() < 0:
        return 0
    answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(answer, sys.byteorder)
