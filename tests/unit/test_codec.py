"""Check that frames are encoded and that malformed ones raise ProtocolError only."""

import contextlib

from hypothesis import given, strategies as st
from support.builders import build_request

from fescuedrum.exceptions import ProtocolError
from fescuedrum.wire import codec


def test_a_request_is_unchanged_by_encoding_and_decoding():
    encoded = codec.encode(request=build_request(body=b"\x00\xff"))
    frame = codec.decode(encoded[codec.LENGTH_BYTES :])
    assert codec.get_body(frame) == build_request(body=b"\x00\xff")


@given(st.binary(max_size=200))
def test_damaged_frames_raise_protocol_error_only(payload):
    with contextlib.suppress(ProtocolError):
        codec.decode(payload)


@given(st.integers(0, 60), st.integers(0, 255))
def test_a_flipped_byte_raises_protocol_error_only(position, value):
    payload = bytearray(codec.encode(request=build_request())[codec.LENGTH_BYTES :])
    payload[position % len(payload)] = value
    with contextlib.suppress(ProtocolError):
        codec.decode(bytes(payload))
