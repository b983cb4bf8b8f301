"""Keep an answer while it is produced, so that several readers can follow it."""

import asyncio

from fescuedrum.outcomes import Outcome


class Answer:
    """Collect status, headers and bytes of one execution."""

    __slots__ = ("body", "changed", "headers", "outcome", "reason", "status")

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = bytearray()
        self.outcome = None
        self.reason = ""
        self.changed = asyncio.Event()

    @property
    def done(self):
        return self.outcome is not None

    def start(self, status, headers):
        self.status = status
        self.headers = headers
        self.notify()

    def append(self, data):
        self.body += data
        self.notify()

    def finish(self, outcome: Outcome, reason=""):
        self.outcome = outcome
        self.reason = reason
        self.notify()

    def notify(self):
        # Readers hold the old event; a new one keeps later waits from passing at once.
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
