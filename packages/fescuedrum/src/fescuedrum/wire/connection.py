"""Send and receive frames over one TCP connection."""

import asyncio

from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire import codec


class FrameConnection:
    """Own the two streams of a connection and batch what is sent in one loop turn."""

    __slots__ = ("loop", "outgoing", "reader", "writer")

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.loop = asyncio.get_running_loop()
        self.outgoing = []

    def send(self, **body):
        """Queue a frame; frames of one loop turn leave in one write."""
        if not self.outgoing:
            self.loop.call_soon(self.flush)
        self.outgoing.append(codec.encode(**body))

    def flush(self):
        frames, self.outgoing = self.outgoing, []
        if frames and not self.writer.is_closing():
            self.writer.write(b"".join(frames))

    async def receive(self):
        """Wait for the next frame; return None at the end of the connection."""
        try:
            prefix = await self.reader.readexactly(codec.LENGTH_BYTES)
            length = int.from_bytes(prefix, "big")
            if length > codec.MAXIMUM_FRAME_BYTES:
                raise ProtocolError(f"A frame of {length} bytes is over the limit.")
            payload = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError):
            return None
        return codec.decode(payload)

    def close(self):
        self.flush()
        self.writer.close()
