"""Check how heads of answers are read in parts, and what may come of mutated ones."""

import itertools
import re

import pytest
from hypothesis import given, settings, strategies

from fescuedrum.answers.exceptions import AnswerRule, MalformedAnswer
from fescuedrum.answers.heads import MAXIMUM_HEAD_BYTES
from fescuedrum.answers.reader import AnswerReader

OTHERS = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
CHUNKED = (
    OTHERS + b"Transfer-Encoding: chunked\r\n\r\n"
    b"2\r\ndo\r\n002;a=b\r\nne\r\n0\r\nX-Odd: 1\r\n\r\n"
)
SOUND = (
    b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nServer-Stamp: s\r\nX-Odd:\t a b \r\n"
    b"Content-Length: 4\r\n\r\ndone"
)
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
CONTROL = re.compile(rb"[\0-\x08\x0a-\x1f\x7f]")
BYTES = [b"\0", b"\r", b"\n", b" ", b"\t", b":", b"\x7f", b"\xff", b"0", b"9", b"A"]


def read(raw: bytes, cuts=()):
    """Return what a reader allows of bytes that arrive in parts, or the broken rule."""
    reader = AnswerReader()
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
    sound = draw(strategies.sampled_from([SOUND, CHUNKED]))
    raw = [sound[index : index + 1] for index in range(len(sound))]
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


@pytest.mark.parametrize("sound", [SOUND, CHUNKED])
def test_a_sound_answer_is_allowed_as_it_is(sound):
    for cut in range(len(sound) + 1):
        assert read(sound, [cut]) == sound


@pytest.mark.parametrize(
    "sound", [SOUND, CHUNKED, OTHERS.replace(b"200", b"204") + b"\r\n"]
)
@pytest.mark.parametrize("extra", [b"\r\n", b"x", SOUND])
def test_bytes_after_an_answer_are_left_out(sound, extra):
    """Guard against bytes that belong to no request."""
    for cut in range(len(sound) + 1):
        assert read(sound + extra, [cut]) == sound
    for count in range(len(extra)):
        assert read(sound + extra, [len(sound) + count]) == sound


def test_an_answer_to_head_has_no_body():
    reader = AnswerReader(has_no_body=True)
    assert reader.feed(SOUND) == SOUND.removesuffix(b"done")
    assert reader.is_done


def test_a_body_without_a_length_ends_with_its_connection():
    reader = AnswerReader()
    assert reader.feed(OTHERS + b"\r\nany") == OTHERS + b"\r\nany"
    assert reader.feed(b"thing") == b"thing"
    assert not reader.is_done


@given(mutated_answers(), strategies.lists(strategies.integers(0, 160), max_size=6))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_what_is_allowed_does_not_depend_on_how_it_arrives(raw, cuts):
    """Guard against a head that passes as it comes in parts."""
    whole = read(raw)
    parts = read(raw, [min(cut, len(raw)) for cut in cuts])
    assert isinstance(whole, AnswerRule) == isinstance(parts, AnswerRule)
    if not isinstance(whole, AnswerRule):
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
    if isinstance(allowed, AnswerRule):
        return
    assert raw.startswith(allowed)
    for status_line, *fields in split_heads(allowed):
        assert re.fullmatch(rb"HTTP/1\.[01] [1-5][0-9][0-9]( .*)?", status_line)
        for name, _, value in (each.partition(b":") for each in fields):
            assert TOKEN.fullmatch(name)
            assert not CONTROL.search(value)


def join_chunks(raw: bytes) -> bytes:
    """Return the body in strictly read chunks; raise ValueError."""
    body = b""
    while True:
        line, found, raw = raw.partition(b"\r\n")
        size = int(line.partition(b";")[0].strip(b" \t"), 16)
        if not found or not size:
            break
        body += raw[:size]
        if raw[size : size + 2] != b"\r\n":
            raise ValueError
        raw = raw[size + 2 :]
    trailers, found, rest = (b"\r\n" + raw).partition(b"\n\r\n")
    if not found or rest:
        raise ValueError(trailers)
    return body


@given(mutated_answers())
@settings(max_examples=400, deadline=None, derandomize=True)
def test_chunks_of_an_allowed_body_are_as_long_as_they_say(raw):
    """Guard against a body with bytes that frame it, or without some of its own."""
    reader = AnswerReader()
    try:
        allowed = reader.feed(raw)
    except MalformedAnswer:
        return
    head, found, body = allowed.partition(b"chunked\r\n\r\n")
    if reader.is_done and found and b"\r\n\r\n" not in head:
        join_chunks(re.sub(rb"\r?\n\Z", b"\r\n", body))


@pytest.mark.parametrize(
    ("raw", "rule"),
    [
        (b"GARBAGE", AnswerRule.STATUS_LINE),
        (b"\x16\x03\x01", AnswerRule.STATUS_LINE),
        (b"HTTP/1.1 200 O\0", AnswerRule.STATUS_LINE),
        (b"HTTP/1.1 200 OK\r\nX Y", AnswerRule.FIELD),
        (b"HTTP/1.1 200 OK\r\nX: \0", AnswerRule.FIELD),
        (b"HTTP/1.1 200 OK\r\n X", AnswerRule.FIELD),
        (CHUNKED.replace(b"002", b"x"), AnswerRule.CHUNK),
        (CHUNKED.replace(b"002", b"1"), AnswerRule.CHUNK),
        (CHUNKED.replace(b"002", b"3"), AnswerRule.CHUNK),
        (CHUNKED.replace(b"002", b"-2"), AnswerRule.CHUNK),
        (CHUNKED.replace(b"002", b""), AnswerRule.CHUNK),
        (CHUNKED.replace(b"002", b"f" * 16), AnswerRule.CHUNK),
        (CHUNKED.replace(b"do\r\n", b"do\n"), AnswerRule.CHUNK),
        (CHUNKED.replace(b";a=b", b";a\0"), AnswerRule.CHUNK),
        (CHUNKED.replace(b"X-Odd", b"X Odd"), AnswerRule.FIELD),
    ],
)
def test_a_line_is_rejected_before_it_is_complete(raw, rule):
    """Guard against a caller who waits for the end of such a line."""
    assert read(raw) is rule


def test_the_heads_of_one_answer_are_bounded():
    """Guard against interim answers or fields without end."""
    field = b"X-Odd: 1\r\n"
    reader = AnswerReader()
    reader.feed(b"HTTP/1.1 200 OK\r\n")
    with pytest.raises(MalformedAnswer) as raised:
        for _ in range(MAXIMUM_HEAD_BYTES // len(field) + 1):
            reader.feed(field)
    assert raised.value.rule is AnswerRule.SIZE
    interim = b"HTTP/1.1 103 Early\r\n\r\n"
    assert read(interim * (MAXIMUM_HEAD_BYTES // len(interim))) != AnswerRule.SIZE
    assert read(interim * (MAXIMUM_HEAD_BYTES // len(interim) + 1)) is AnswerRule.SIZE
