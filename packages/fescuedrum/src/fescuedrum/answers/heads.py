"""Check that the head of an HTTP answer follows the grammar of RFC 9110 and RFC 9112.

The HTTP library reads answers leniently: it takes any three digits for a status, joins
folded lines and lets control bytes pass. What it makes of such an answer need not be
what its sender meant, so nothing of a malformed answer may be used.
"""

import re

from fescuedrum.answers.exceptions import AnswerRule, MalformedAnswer
from fescuedrum.answers.framing import Framing, read_framing

# Of all heads of one answer, those of interim answers included.
MAXIMUM_HEAD_BYTES = 64 * 1024
LOWEST_STATUS = 100
HIGHEST_STATUS = 599
SWITCHING_PROTOCOLS = 101
FINAL_STATUSES = range(200, HIGHEST_STATUS + 1)

TEXT = rb"[\t\x20-\x7e\x80-\xff]"
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
# A line may end with a line feed alone (RFC 9112, section 2.2).
LINE_END = rb"\r?\n"
STATUS_LINE = rb"HTTP/(1\.[01]) ([0-9]{3})(?: " + TEXT + rb"*+)?" + LINE_END
FIELD_LINE = TOKEN + rb"++:" + TEXT + rb"*+" + LINE_END
HEAD = re.compile(STATUS_LINE + rb"(?:" + FIELD_LINE + rb")*+" + LINE_END)
HEAD_END = re.compile(rb"\n\r?\n")
WHOLE_STATUS_LINE = re.compile(STATUS_LINE)
WHOLE_FIELD_LINE = re.compile(FIELD_LINE)
BEGINNING_OF_STATUS_LINE = re.compile(TEXT + rb"*+\r?")
BEGINNING_OF_FIELD_LINE = re.compile(rb"\r?|" + TOKEN + rb"++(?::" + TEXT + rb"*+\r?)?")
PROTOCOL = b"HTTP/1."


class HeadReader:
    """Hold the bytes of an answer back until its head is complete and was checked."""

    __slots__ = ("buffer", "checked_bytes", "framing", "line_begin", "line_number")

    def __init__(self) -> None:
        # What has arrived of the present head.
        self.buffer = bytearray()
        # Of the interim answers before it.
        self.checked_bytes = 0
        # How the body is framed; None until the head of the final answer was checked.
        self.framing: Framing | None = None
        # Where the first incomplete line of the buffer begins, and its number.
        self.line_begin = 0
        self.line_number = 1

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the complete heads among those held back.

        Raise MalformedAnswer, at the latest when a malformed line is complete. Once
        framing is known, the buffer holds what follows the head.
        """
        self.buffer += data
        heads = b""
        while self.framing is None and (head := self.take_head()):
            heads += head
            self.checked_bytes += len(head)
        if self.framing is None:
            self.check_incomplete()
        return heads

    def take_head(self) -> bytes:
        """Remove and return a complete head that was checked; empty for none."""
        found = HEAD_END.search(self.buffer, max(self.line_begin - 1, 0))
        if found is None:
            return b""
        head = bytes(self.buffer[: found.end()])
        self.check_size(len(head))
        status, framing = check_head(head)
        if status in FINAL_STATUSES:
            self.framing = framing
        del self.buffer[: found.end()]
        self.line_begin, self.line_number = 0, 1
        return head

    def check_incomplete(self) -> None:
        """Raise MalformedAnswer if the buffer can't become a head of allowed size."""
        self.check_size(len(self.buffer))
        while (end := self.buffer.find(b"\n", self.line_begin) + 1) > 0:
            check_line(self.buffer[self.line_begin : end], self.line_number)
            self.line_begin = end
            self.line_number += 1
        check_beginning(self.buffer[self.line_begin :], self.line_number)

    def check_size(self, size: int) -> None:
        """Raise MalformedAnswer if a head of this size is too long."""
        if self.checked_bytes + size > MAXIMUM_HEAD_BYTES:
            raise MalformedAnswer(
                AnswerRule.SIZE, f"the head has more than {MAXIMUM_HEAD_BYTES} bytes"
            )


def check_head(head: bytes) -> tuple[int, Framing]:
    """Return the status in a complete head, and how the body is framed.

    Raise MalformedAnswer.
    """
    found = HEAD.fullmatch(head)
    if found is None:
        for number, line in enumerate(head.splitlines(keepends=True)[:-1], 1):
            check_line(line, number)
        raise MalformedAnswer(AnswerRule.STATUS_LINE, "line 1 is no status line")
    status = int(found[2])
    check_status(status)
    return status, read_framing(head, status, version=found[1])


def check_line(line: bytes, number: int) -> None:
    """Raise MalformedAnswer if a complete line of a head is malformed."""
    if number == 1:
        if not WHOLE_STATUS_LINE.fullmatch(line):
            raise MalformedAnswer(AnswerRule.STATUS_LINE, "line 1 is no status line")
    elif not WHOLE_FIELD_LINE.fullmatch(line):
        raise MalformedAnswer(AnswerRule.FIELD, f"line {number} is no field")


def check_beginning(line: bytes, number: int) -> None:
    """Raise MalformedAnswer if a line of a head can't begin with these bytes."""
    if number == 1:
        is_protocol = line.startswith(PROTOCOL) or PROTOCOL.startswith(line)
        if not is_protocol or not BEGINNING_OF_STATUS_LINE.fullmatch(line):
            raise MalformedAnswer(AnswerRule.STATUS_LINE, "line 1 is no status line")
    elif line and not BEGINNING_OF_FIELD_LINE.fullmatch(line):
        raise MalformedAnswer(AnswerRule.FIELD, f"line {number} is no field")


def check_status(status: int) -> None:
    """Raise MalformedAnswer for a status that no answer may have (RFC 9110, 15)."""
    if not LOWEST_STATUS <= status <= HIGHEST_STATUS:
        raise MalformedAnswer(
            AnswerRule.STATUS,
            f"status {status:03} is not within {LOWEST_STATUS} to {HIGHEST_STATUS}",
        )
    if status == SWITCHING_PROTOCOLS:
        raise MalformedAnswer(
            AnswerRule.UPGRADE, f"status {status} to a request without an upgrade"
        )
