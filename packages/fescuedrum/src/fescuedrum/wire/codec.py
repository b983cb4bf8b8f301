"""Encode and decode frames with thrift's accelerated compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire.gen.frames.ttypes import Frame

LENGTH_BYTES = 4
MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024


def encode(**body):
    """Encode a frame with one body, its length in front."""
    buffer = TMemoryBuffer()
    # Without fallback=False a missing extension would go unseen and cost tenfold.
    Frame(**body).write(TCompactProtocolAccelerated(buffer, fallback=False))
    payload = buffer.getvalue()
    if len(payload) > MAXIMUM_FRAME_BYTES:
        raise ProtocolError(f"A frame of {len(payload)} bytes is over the limit.")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode(payload):
    """Decode one frame's payload; raise ProtocolError when it is malformed."""
    frame = Frame()
    try:
        frame.read(TCompactProtocolAccelerated(TMemoryBuffer(payload), fallback=False))
    # The extension raises many kinds on damaged input; all mean the same here.
    except Exception as error:
        raise ProtocolError(f"A frame can't be decoded: {error!r}.") from error
    return frame


def body_of(frame):
    """Return the one body of a frame; None when its kind is not known here."""
    for name in frame.__slots__:
        body = getattr(frame, name)
        if body is not None:
            return body
    return None
