"""Tell which of the bytes on a connection are the answer to its request."""

from fescuedrum.answers.bodies import BodyReader, build_body_reader
from fescuedrum.answers.framing import Length
from fescuedrum.answers.heads import HeadReader


class AnswerReader:
    """Check the bytes of one answer and find its end."""

    __slots__ = ("body", "has_no_body", "head")

    def __init__(self, *, has_no_body: bool = False) -> None:
        # Whether the request's method allows no body, whatever the head says.
        self.has_no_body = has_no_body
        self.head = HeadReader()
        # None until the head is complete.
        self.body: BodyReader | None = None

    @property
    def is_done(self) -> bool:
        """Return whether the answer is complete: what follows belongs to no request."""
        return self.body is not None and self.body.is_done

    def feed(self, data: bytes) -> bytes:
        """Return those of the bytes that belong to the answer and may be parsed.

        Raise MalformedAnswer.
        """
        if self.body is not None:
            return data[: self.body.feed(data)]
        heads = self.head.feed(data)
        if self.head.framing is None:
            return heads
        framing = Length(0) if self.has_no_body else self.head.framing
        self.body = build_body_reader(framing)
        rest = bytes(self.head.buffer)
        self.head.buffer.clear()
        return heads + rest[: self.body.feed(rest)]
