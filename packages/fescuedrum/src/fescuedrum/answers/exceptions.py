"""Define the errors of answers that can't be used."""

import enum

import aiohttp


class AnswerRule(enum.StrEnum):
    """List the rules that an answer may break."""

    STATUS_LINE = "status-line"
    STATUS = "status"
    # The protocol may change only if the request asked for it.
    UPGRADE = "upgrade"
    FIELD = "field"
    # How the end of the body is found.
    FRAMING = "framing"
    CHUNK = "chunk"
    SIZE = "size"


class MalformedAnswer(aiohttp.ClientError):
    """Report an answer that HTTP does not allow; the message quotes nothing of it."""

    def __init__(self, rule: AnswerRule, detail: str) -> None:
        super().__init__(f"malformed answer: {detail}")
        self.rule = rule


class UnusableAnswer(aiohttp.ClientError):
    """Report an answer with another status or a longer body than its reader takes."""
