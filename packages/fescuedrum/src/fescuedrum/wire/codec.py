"""Encode and decode frames with thrift's accelerated compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire.gen.frames.ttypes import Frame

LENGTH_BYTES = 4
MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024

# Without fallback=False a missing extension would go unnoticed and encoding would take
# ten times as long. Between frames a protocol object has no state but its transport,
# and creating one costs more than encoding a small frame, so a thread shares one each.
ENCODER = TCompactProtocolAccelerated(TMemoryBuffer(), fallback=False)
DECODER = TCompactProtocolAccelerated(TMemoryBuffer(), fallback=False)


def encode(**body):
    """Return an encoded frame with one body, prefixed with its length."""
    ENCODER.trans = TMemoryBuffer()
    Frame(**body).write(ENCODER)
    payload = ENCODER.trans.getvalue()
    if len(payload) > MAXIMUM_FRAME_BYTES:
        raise ProtocolError(f"A frame of {len(payload)} bytes is over the limit.")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode(payload):
    """Return the frame in a payload; raise ProtocolError if it is malformed."""
    frame = Frame()
    try:
        DECODER.trans = TMemoryBuffer(payload)
        frame.read(DECODER)
    # The extension raises many exception types for malformed input.
    except Exception as error:
        raise ProtocolError(f"A frame can't be decoded: {error!r}.") from error
    return frame


def get_body(frame):
    """Return the body of a frame, or None if this release does not know its type."""
    for name in frame.__slots__:
        body = getattr(frame, name)
        if body is not None:
            return body
    return None
