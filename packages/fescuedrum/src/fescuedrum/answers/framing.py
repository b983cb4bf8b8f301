"""Tell from the head of an answer where its body ends (RFC 9112, section 6.3)."""

import re
from dataclasses import dataclass

from fescuedrum.answers.exceptions import AnswerRule, MalformedAnswer

FRAMING_FIELD = re.compile(
    rb"\n(transfer-encoding|content-length):([^\r\n]*)", re.IGNORECASE
)
CHUNKED = b"chunked"
VERSION_WITHOUT_CODINGS = b"1.0"
# Digits of a length of 63 bits.
LONGEST_LENGTH = 18
# Statuses whose answers never have a body (RFC 9110, section 6.4.1).
STATUSES_WITHOUT_BODY = (*range(100, 200), 204, 304)


@dataclass(slots=True, frozen=True)
class Length:
    """State that a body has so many bytes."""

    size: int


@dataclass(slots=True, frozen=True)
class Chunks:
    """State that a body comes in chunks."""


@dataclass(slots=True, frozen=True)
class UntilClose:
    """State that a body ends when its sender closes the connection in order."""


Framing = Length | Chunks | UntilClose


def read_framing(head: bytes, status: int, version: bytes) -> Framing:
    """Return how a body is framed; raise MalformedAnswer if its end is not defined."""
    fields = FRAMING_FIELD.findall(head)
    codings = [value.strip().lower() for name, value in fields if name[:1] in b"Tt"]
    lengths = [value.strip() for name, value in fields if name[:1] in b"Cc"]
    if fields:
        check_fields(codings, lengths, version)
    if status in STATUSES_WITHOUT_BODY:
        return Length(0)
    if codings:
        return Chunks()
    return Length(int(lengths[0])) if lengths else UntilClose()


def check_fields(codings: list[bytes], lengths: list[bytes], version: bytes) -> None:
    """Raise MalformedAnswer if the fields do not define one end of the body."""
    if codings and version == VERSION_WITHOUT_CODINGS:
        raise MalformedAnswer(AnswerRule.FRAMING, "HTTP/1.0 has no transfer codings")
    if codings and codings != [CHUNKED]:
        raise MalformedAnswer(
            AnswerRule.FRAMING, "the transfer coding is not chunked alone"
        )
    if len(codings) + len(lengths) > 1:
        raise MalformedAnswer(
            AnswerRule.FRAMING,
            f"{len(codings) + len(lengths)} fields say where the body ends",
        )
    if lengths and not (lengths[0].isdigit() and len(lengths[0]) <= LONGEST_LENGTH):
        raise MalformedAnswer(AnswerRule.FRAMING, "the length of the body is no number")
