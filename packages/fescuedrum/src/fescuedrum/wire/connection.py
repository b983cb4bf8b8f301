"""Send and receive frames over one TCP connection."""

import asyncio
import collections
import fcntl
import sys
import termios

from fescuedrum.exceptions import PeerRefusedError, ProtocolError
from fescuedrum.wire import codec

READ_BYTES = 256 * 1024
# An unauthenticated peer must not make this process buffer more than a Hello.
HANDSHAKE_FRAME_BYTES = 4 * 1024
HANDSHAKE_SECONDS = 5.0
# Above this senders wait; the socket buffers of both sides hold some more.
HIGH_WATER_BYTES = 1024 * 1024
CLOSE_SECONDS = 5.0
# Heartbeats and credit don't wait, so they accumulate when a peer does not read.
MAXIMUM_UNSENT_BYTES = 32 * 1024 * 1024


class FrameConnection:
    """Send and receive frames on a connection, with one write per loop iteration.

    Queued frames are written at the end of the same loop iteration, so none waits for
    longer than that; under load one write carries many frames.
    """

    __slots__ = (
        "finished",
        "incoming",
        "loop",
        "maximum_frame_bytes",
        "outgoing",
        "partial_frame",
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
        # Whether the sending side has been closed.
        self.finished = False
        self.queued_bytes = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.incoming = collections.deque()
        self.partial_frame = bytearray()
        self.maximum_frame_bytes = codec.MAXIMUM_FRAME_BYTES

    def send(self, **body):
        """Queue a frame; all frames of a loop iteration are sent in one write."""
        if not self.outgoing:
            self.loop.call_soon(self.flush)
        encoded = codec.encode(**body)
        self.outgoing.append(encoded)
        self.queued_bytes += len(encoded)

    def flush(self):
        """Write the queued frames; abort the connection if too much is unsent."""
        frames, self.outgoing = self.outgoing, []
        self.sent_bytes += self.queued_bytes
        self.queued_bytes = 0
        if not frames or self.finished or self.writer.is_closing():
            return
        self.writer.write(b"".join(frames))
        # A peer that does not read would otherwise exhaust this process's memory.
        if self.unsent_bytes > MAXIMUM_UNSENT_BYTES:
            self.writer.transport.abort()

    @property
    def unsent_bytes(self):
        """Return how many bytes have not been passed to the kernel."""
        return self.queued_bytes + self.writer.transport.get_write_buffer_size()

    @property
    def congested(self):
        """Return whether large frames should wait or use another connection."""
        return self.unsent_bytes > HIGH_WATER_BYTES

    async def wait_until_writable(self):
        """Wait until the peer has read enough or the connection is closed."""
        while self.congested and not self.writer.is_closing():
            self.flush()
            try:
                await self.writer.drain()
            except OSError:
                return

    async def handshake(self, side):
        """Return the peer's Hello after a handshake; raise ProtocolError on failure."""
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
        """Queue a frame for each of the bodies."""
        for body in bodies:
            self.send(**body)

    async def receive(self):
        """Return the next frame, or None at the end of the connection."""
        while not self.incoming:
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                return None
            if not data:
                return None
            self.received_bytes += len(data)
            self.split_frames(data)
        return codec.decode(self.incoming.popleft())

    def split_frames(self, data):
        """Add received bytes, queue the complete frames and keep the remainder."""
        buffer = self.partial_frame
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
        """Close the sending side, except with TLS, and go on reading.

        If a process exits while its kernel is still sending, the peer's next frame is
        answered with a reset, which discards the unsent bytes. The peer closes once it
        has read everything, so what it sends until then must be read.
        """
        self.flush()
        # TLS can't be half closed; there the peer's frames are answered to the end.
        if self.writer.can_write_eof() and not self.writer.is_closing():
            self.finished = True
            self.writer.write_eof()

    @property
    def may_lose_data(self):
        """Return whether exiting now could lose data that was sent.

        TLS can't be half closed, and its closing fails when a frame arrives meanwhile.
        With TLS nothing can be lost once the peer's kernel has received everything: a
        reset does not discard it there.
        """
        if self.writer.can_write_eof():
            return not self.writer.is_closing()
        return bool(self.unsent_bytes or unacknowledged_bytes(self.writer))

    def close(self):
        """Close once the peer has read what was sent, or after CLOSE_SECONDS."""
        self.flush()
        self.writer.close()
        # With a peer that does not read, the transport would keep its buffer for ever
        # and the process could not exit.
        self.loop.call_later(CLOSE_SECONDS, self.writer.transport.abort)


def unacknowledged_bytes(writer):
    """Return how many bytes in the kernel the peer has not acknowledged."""
    sock = writer.get_extra_info("socket")
    if writer.is_closing() or sock.fileno() < 0:
        return 0
    answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(answer, sys.byteorder)
