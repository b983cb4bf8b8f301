"""Find the end of an answer's body, and check how it is framed (RFC 9112, section 7).

The HTTP library reads chunks leniently: a size that is wrong by a byte can pass, with
bytes that are not the body's. What it makes of the bytes after a body belongs to no
request.
"""

import enum
import re

from fescuedrum.answers.exceptions import AnswerRule, MalformedAnswer
from fescuedrum.answers.framing import Chunks, Framing, Length, UntilClose
from fescuedrum.answers.heads import FIELD_LINE, LINE_END, MAXIMUM_HEAD_BYTES, TEXT

MAXIMUM_LINE_BYTES = 8 * 1024
# Blanks are allowed before an extension (RFC 9112, section 7.1.1).
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*+(?:;" + TEXT + rb"*+)?\r\n")
BEGINNING_OF_SIZE_LINE = re.compile(
    rb"[0-9A-Fa-f]{1,15}+(?:[ \t]*+(?:;" + TEXT + rb"*+)?\r?)?"
)
EMPTY_LINE = b"\r\n"
TRAILER_LINE = re.compile(FIELD_LINE)
LAST_LINE = re.compile(LINE_END)
NO_SIZE = "a chunk has no size"
OTHER_SIZE = "a chunk is not as long as its size says"


class LengthReader:
    """Count the bytes of a body of known length."""

    __slots__ = ("left",)

    def __init__(self, size: int) -> None:
        self.left = size

    @property
    def is_done(self) -> bool:
        """Return whether the body is complete."""
        return self.left == 0

    def feed(self, data: bytes) -> int:
        """Return how many of the bytes belong to the body."""
        taken = min(len(data), self.left)
        self.left -= taken
        return taken


class UnboundedReader:
    """Take all bytes up to the end of the connection for the body."""

    __slots__ = ()

    is_done = False

    def feed(self, data: bytes) -> int:
        """Return how many of the bytes belong to the body."""
        return len(data)


class Line(enum.Enum):
    """List the kinds of lines in a body in chunks."""

    SIZE = enum.auto()
    # Ends a chunk.
    EMPTY = enum.auto()
    # Follows the last chunk; an empty one ends the body.
    TRAILER = enum.auto()


class ChunkReader:
    """Check the framing of a body in chunks."""

    __slots__ = ("is_done", "left", "line", "next_line", "trailer_bytes")

    def __init__(self) -> None:
        # Bytes of the present chunk that have not arrived.
        self.left = 0
        # What has arrived of an incomplete line.
        self.line = b""
        self.next_line = Line.SIZE
        self.trailer_bytes = 0
        self.is_done = False

    def feed(self, data: bytes) -> int:
        """Return how many of the bytes belong to the body; raise MalformedAnswer."""
        position = 0
        while position < len(data) and not self.is_done:
            if self.left:
                taken = min(self.left, len(data) - position)
                self.left -= taken
                position += taken
            else:
                position = self.read_line(data, position)
        return position

    def read_line(self, data: bytes, position: int) -> int:
        """Read a line between chunks; return the position after it."""
        end = data.find(b"\n", position) + 1
        line = self.line + data[position : end or len(data)]
        if len(line) > MAXIMUM_LINE_BYTES:
            raise MalformedAnswer(
                AnswerRule.SIZE,
                f"a line between chunks has more than {MAXIMUM_LINE_BYTES} bytes",
            )
        if end:
            self.line = b""
            self.take_line(line)
            return end
        self.line = line
        self.check_beginning(line)
        return len(data)

    def check_beginning(self, line: bytes) -> None:
        """Raise MalformedAnswer if the next line can't begin with these bytes."""
        match self.next_line:
            case Line.SIZE if not BEGINNING_OF_SIZE_LINE.fullmatch(line):
                raise MalformedAnswer(AnswerRule.CHUNK, NO_SIZE)
            case Line.EMPTY if not EMPTY_LINE.startswith(line):
                raise MalformedAnswer(AnswerRule.CHUNK, OTHER_SIZE)

    def take_line(self, line: bytes) -> None:
        """Do what a complete line says; raise MalformedAnswer."""
        match self.next_line:
            case Line.SIZE:
                self.begin_chunk(line)
            case Line.EMPTY:
                if line != EMPTY_LINE:
                    raise MalformedAnswer(AnswerRule.CHUNK, OTHER_SIZE)
                self.next_line = Line.SIZE
            case Line.TRAILER:
                self.take_trailer(line)

    def begin_chunk(self, line: bytes) -> None:
        """Begin the chunk whose size stands in a line."""
        found = SIZE_LINE.fullmatch(line)
        if found is None:
            raise MalformedAnswer(AnswerRule.CHUNK, NO_SIZE)
        self.left = int(found[1], 16)
        self.next_line = Line.EMPTY if self.left else Line.TRAILER

    def take_trailer(self, line: bytes) -> None:
        """Take a line after the last chunk."""
        self.trailer_bytes += len(line)
        if self.trailer_bytes > MAXIMUM_HEAD_BYTES:
            raise MalformedAnswer(
                AnswerRule.SIZE,
                f"the trailers have more than {MAXIMUM_HEAD_BYTES} bytes",
            )
        if LAST_LINE.fullmatch(line):
            self.is_done = True
        elif not TRAILER_LINE.fullmatch(line):
            raise MalformedAnswer(AnswerRule.FIELD, "a trailer is no field")


BodyReader = LengthReader | ChunkReader | UnboundedReader


def build_body_reader(framing: Framing) -> BodyReader:
    """Return the reader of a body that is framed so."""
    match framing:
        case Length(size):
            return LengthReader(size)
        case Chunks():
            return ChunkReader()
        case UntilClose():
            return UnboundedReader()
