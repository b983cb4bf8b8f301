"""Keep an answer while it is produced, so that several readers can follow it."""

import asyncio

from fescuedrum.outcomes import Outcome


class Answer:
    """Collect status, headers and bytes of one execution."""

    __slots__ = (
        "body",
        "changed",
        "cold",
        "headers",
        "outcome",
        "reason",
        "retry_after_ms",
        "status",
        "unavailable",
        "waited_ms",
    )

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = bytearray()
        self.outcome = None
        self.reason = ""
        # With the outcome not-run: when to come back.
        self.retry_after_ms = None
        # The endpoint refused or cut the connection: a sign that it is cold or gone.
        self.unavailable = False
        self.waited_ms = 0
        self.cold = False
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
