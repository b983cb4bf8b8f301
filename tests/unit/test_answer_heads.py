"""Check how heads of answers are read in parts, and what may come of mutated ones."""

import itertools
import re

import pytest
from hypothesis import given, settings, strategies

from fescuedrum.answers.heads import (
    MAXIMUM_HEAD_BYTES,
    HeadReader,
    HeadRule,
    MalformedAnswer,
)

SOUND = (
    b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nServer-Stamp: s\r\nX-Odd:\t a b \r\n"
    b"Content-Length: 4\r\n\r\ndone"
)
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
CONTROL = re.compile(rb"[\0-\x08\x0a-\x1f\x7f]")
PARTS = [SOUND[index : index + 1] for index in range(len(SOUND))]
BYTES = [b"\0", b"\r", b"\n", b" ", b"\t", b":", b"\x7f", b"\xff", b"0", b"9", b"A"]


def read(raw: bytes, cuts=()):
    """Return what a reader allows of bytes that arrive in parts, or the broken rule."""
    reader = HeadReader()
    bounds = [0, *sorted(cuts), len(raw)]
    try:
        allowed = [
            reader.feed(raw[begin:end]) for begin, end in itertools.pairwise(bounds)
        ]
    except MalformedAnswer as error:
        return error.rule
    return b"".join(allowed)


@strategies.composite
def mutated_answers(draw):
    """Return the bytes of a sound answer with a few of them changed."""
    raw = list(PARTS)
    for _ in range(draw(strategies.integers(1, 3))):
        index = draw(strategies.integers(0, len(raw) - 1))
        change = draw(strategies.sampled_from(["set", "insert", "remove", "repeat"]))
        new = draw(strategies.sampled_from(BYTES))
        match change:
            case "set":
                raw[index] = new
            case "insert":
                raw.insert(index, new)
            case "remove":
                raw[index] = b""
            case "repeat":
                raw[index] *= 3
    return b"".join(raw)


def test_a_sound_answer_is_allowed_as_it_is():
    for cut in range(len(SOUND) + 1):
        assert read(SOUND, [cut]) == SOUND


@given(mutated_answers(), strategies.lists(strategies.integers(0, 160), max_size=6))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_what_is_allowed_does_not_depend_on_how_it_arrives(raw, cuts):
    """Guard against a head that passes as it comes in parts."""
    whole = read(raw)
    parts = read(raw, [min(cut, len(raw)) for cut in cuts])
    assert isinstance(whole, HeadRule) == isinstance(parts, HeadRule)
    if not isinstance(whole, HeadRule):
        assert whole == parts


def split_heads(raw: bytes):
    """Yield the lines of each head before the body, without their ends."""
    lines, status = [], b"1"
    while raw and status.startswith(b"1"):
        line, _, raw = raw.partition(b"\n")
        line = line.removesuffix(b"\r")
        if line:
            lines.append(line)
            continue
        yield lines
        status, lines = lines[0][9:12], []


@given(mutated_answers())
@settings(max_examples=400, deadline=None, derandomize=True)
def test_each_line_of_an_allowed_head_follows_the_grammar(raw):
    """Guard against bytes that the parser could read in another way."""
    allowed = read(raw)
    if isinstance(allowed, HeadRule):
        return
    assert raw.startswith(allowed)
    for status_line, *fields in split_heads(allowed):
        assert re.fullmatch(rb"HTTP/1\.[01] [1-5][0-9][0-9]( .*)?", status_line)
        for name, _, value in (each.partition(b":") for each in fields):
            assert TOKEN.fullmatch(name)
            assert not CONTROL.search(value)


@pytest.mark.parametrize(
    ("raw", "rule"),
    [
        (b"GARBAGE", HeadRule.STATUS_LINE),
        (b"\x16\x03\x01", HeadRule.STATUS_LINE),
        (b"HTTP/1.1 200 O\0", HeadRule.STATUS_LINE),
        (b"HTTP/1.1 200 OK\r\nX Y", HeadRule.FIELD),
        (b"HTTP/1.1 200 OK\r\nX: \0", HeadRule.FIELD),
        (b"HTTP/1.1 200 OK\r\n X", HeadRule.FIELD),
    ],
)
def test_a_line_is_rejected_before_it_is_complete(raw, rule):
    """Guard against a caller who waits for the end of such a line."""
    assert read(raw) is rule


def test_the_heads_of_one_answer_are_bounded():
    """Guard against interim answers or fields without end."""
    field = b"X-Odd: 1\r\n"
    reader = HeadReader()
    reader.feed(b"HTTP/1.1 200 OK\r\n")
    with pytest.raises(MalformedAnswer) as raised:
        for _ in range(MAXIMUM_HEAD_BYTES // len(field) + 1):
            reader.feed(field)
    assert raised.value.rule is HeadRule.SIZE
    interim = b"HTTP/1.1 103 Early\r\n\r\n"
    assert read(interim * (MAXIMUM_HEAD_BYTES // len(interim))) != HeadRule.SIZE
    assert read(interim * (MAXIMUM_HEAD_BYTES // len(interim) + 1)) is HeadRule.SIZE
