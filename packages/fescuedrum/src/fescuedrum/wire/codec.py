"""Encode and decode frames with thrift's accelerated compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire.gen.frames.ttypes import Frame

LENGTH_BYTES = 4
MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024

# Without fallback=False a missing extension would go unseen and cost tenfold. A
# protocol object holds no state between frames but its transport, and to build one
# costs more than to encode a small frame; one of each kind serves the whole thread.
ENCODER = TCompactProtocolAccelerated(TMemoryBuffer(), fallback=False)
DECODER = TCompactProtocolAccelerated(TMemoryBuffer(), fallback=False)


def encode(**body):
    """Encode a frame with one body, its length in front."""
    ENCODER.trans = TMemoryBuffer()
    Frame(**body).write(ENCODER)
    payload = ENCODER.trans.getvalue()
    if len(payload) > MAXIMUM_FRAME_BYTES:
        raise ProtocolError(f"A frame of {len(payload)} bytes is over the limit.")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode(payload):
    """Decode one frame's payload; raise ProtocolError when it is malformed."""
    frame = Frame()
    try:
        DECODER.trans = TMemoryBuffer(payload)
        frame.read(DECODER)
    # The extension raises many kinds on damaged input; all mean the same here.
    except Exception as error:
        raise ProtocolError(f"A frame can't be decoded: {error!r}.") from error
    return frame


def get_body(frame):
    """Return the one body of a frame; None when its kind is not known here."""
    for name in frame.__slots__:
        body = getattr(frame, name)
        if body is not None:
            return body
    return None
