"""Choose the endpoint of each attempt of one call, and wait for one that is free."""

import asyncio

from fescuedrum.decisions import routing
from fescuedrum.exceptions import Unavailable

RETRY_SECONDS = 0.02


class Selection:
    """Own the choices made for one call."""

    __slots__ = ("call", "entry", "loop", "tried")

    def __init__(self, entry, call):
        self.entry = entry
        self.call = call
        self.tried = set()
        self.loop = asyncio.get_running_loop()

    async def next_link(self):
        """Wait for a free endpoint and return its link.

        Raise Unavailable when none can be free before the call's deadline.
        """
        while True:
            link = self.choose()
            if link is not None:
                return link
            if self.loop.time() + RETRY_SECONDS >= self.call.deadline:
                detail = "No endpoint was free before the deadline."
                raise Unavailable(detail, retry_after=1)
            await asyncio.sleep(RETRY_SECONDS)

    def choose(self):
        candidates = self.entry.candidates(self.call.service)
        fresh = [each for each in candidates if each.name not in self.tried]
        chosen = routing.choose(
            fresh or candidates, self.entry.settings.zone, self.entry.random
        )
        if chosen is None or chosen.load >= 1:
            return None
        return self.entry.links[chosen.name]

    def mark_tried(self, link):
        """Prefer other endpoints than this one for the next attempt."""
        self.tried.add(link.instance.name)
