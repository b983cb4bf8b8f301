"""Encode and decode single thrift structs for datagrams."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from fescuedrum.exceptions import ProtocolError

# One of each serves the whole thread. Without fallback=False a missing extension would
# go unnoticed and encoding would take ten times as long.
ENCODER = TCompactProtocolAccelerated(TMemoryBuffer(), fallback=False)
DECODER = TCompactProtocolAccelerated(TMemoryBuffer(), fallback=False)


def encode(struct):
    """Return the encoded bytes of a struct."""
    ENCODER.trans = TMemoryBuffer()
    struct.write(ENCODER)
    return ENCODER.trans.getvalue()


def decode(struct_type, payload):
    """Return a struct of a type; raise ProtocolError if its bytes are malformed."""
    struct = struct_type()
    try:
        DECODER.trans = TMemoryBuffer(payload)
        struct.read(DECODER)
    # The extension raises many exception types for malformed input.
    except Exception as error:
        raise ProtocolError(f"A datagram can't be decoded: {error!r}.") from error
    return struct
