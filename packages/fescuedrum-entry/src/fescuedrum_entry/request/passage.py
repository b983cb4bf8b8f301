"""Pass one attempt's answer to the caller, and never bytes of two."""

import hashlib

from fescuedrum.outcomes import Outcome


class AnswerMismatch(Exception):  # noqa: N818 - a finding, not a fault
    """Report that a repeat's answer is not the one the caller has begun to read."""


class AnswerRelay:
    """Carry answers of successive attempts into one reply.

    What the caller has not seen is simply replaced. Once the caller has seen bytes, a
    repeat's answer must begin with exactly these: they are compared and left out, and
    what the caller then has is the repeat's answer from its first byte to its last.
    Engines that generate the same text again pass; all others end honestly.
    """

    __slots__ = ("digest", "length", "passed", "prefix", "reply")

    def __init__(self, reply):
        self.reply = reply
        # Bytes passed to the caller in all, and their digest.
        self.passed = 0
        self.digest = hashlib.sha256()
        # Bytes of the present attempt, and the digest of what repeats the caller's.
        self.length = 0
        self.prefix = None

    async def start(self, status, headers):
        self.length = 0
        if not self.reply.started:
            self.passed = 0
            self.digest = hashlib.sha256()
            self.prefix = None
            await self.reply.start(status, headers)
            return
        if status != self.reply.status:
            raise AnswerMismatch
        self.prefix = hashlib.sha256()

    async def write(self, data):
        data = self.leave_out_known(data)
        if data:
            self.digest.update(data)
            self.passed += len(data)
            await self.reply.write(data)

    def leave_out_known(self, data):
        """Compare bytes that the caller has already; return those it has not."""
        known = max(0, self.passed - self.length)
        self.length += len(data)
        if self.prefix is None or not known:
            return data
        self.prefix.update(data[:known])
        if len(data) >= known and self.prefix.digest() != self.digest.digest():
            raise AnswerMismatch
        return data[known:]

    async def finish(self, outcome):
        if self.length < self.passed:
            raise AnswerMismatch
        await self.reply.finish(Outcome(outcome))
