"""Relay the answers of retried attempts without mixing bytes of two answers."""

import hashlib

from fescuedrum.outcomes import Outcome


class AnswerMismatch(Exception):  # noqa: N818 - an expected result, not a fault
    """Report that a retry's answer differs from what the caller has received."""


class AnswerRelay:
    """Relay the answers of successive attempts to one reply.

    An answer of which the caller has received nothing is replaced by the next one. Once
    the caller has received bytes, a retry's answer must begin with exactly those bytes.
    They are compared and skipped, so that the caller ends up with the whole answer of
    the retry. An engine that generates the same text again thus completes the reply;
    any other answer raises AnswerMismatch.
    """

    __slots__ = ("attempt_bytes", "prefix_digest", "reply", "sent_bytes", "sent_digest")

    def __init__(self, reply):
        self.reply = reply
        # Number of bytes written to the reply, and their digest.
        self.sent_bytes = 0
        self.sent_digest = hashlib.sha256()
        # Number of bytes of the current attempt, and the digest of those that repeat
        # bytes already written; None while nothing must be compared.
        self.attempt_bytes = 0
        self.prefix_digest = None

    async def start(self, status, headers):
        """Start the reply, or compare with the answer already started there."""
        self.attempt_bytes = 0
        if not self.reply.started:
            self.sent_bytes = 0
            self.sent_digest = hashlib.sha256()
            self.prefix_digest = None
            await self.reply.start(status, headers)
            return
        if status != self.reply.status:
            raise AnswerMismatch
        self.prefix_digest = hashlib.sha256()

    async def write(self, data):
        """Write the part of the data that the caller doesn't have yet."""
        data = self.skip_sent_bytes(data)
        if data:
            self.sent_digest.update(data)
            self.sent_bytes += len(data)
            await self.reply.write(data)

    def skip_sent_bytes(self, data):
        """Return the bytes that are new to the caller.

        Raise AnswerMismatch when the skipped ones differ from what was written.
        """
        overlap = max(0, self.sent_bytes - self.attempt_bytes)
        self.attempt_bytes += len(data)
        if self.prefix_digest is None or not overlap:
            return data
        self.prefix_digest.update(data[:overlap])
        if (
            len(data) >= overlap
            and self.prefix_digest.digest() != self.sent_digest.digest()
        ):
            raise AnswerMismatch
        return data[overlap:]

    async def finish(self, outcome):
        """Finish the reply; raise AnswerMismatch when the answer is too short."""
        if self.attempt_bytes < self.sent_bytes:
            raise AnswerMismatch
        await self.reply.finish(Outcome(outcome))
