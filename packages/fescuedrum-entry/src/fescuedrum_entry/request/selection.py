"""Choose the endpoint of each attempt of one call, and wait when there is none."""

import asyncio
import math

from fescuedrum.decisions.admission import TRY_ELSEWHERE
from fescuedrum.decisions.routing import RoutingPreference
from fescuedrum.exceptions import Overloaded, Unavailable

# Two endpoints that are both too full speak for the service: more would only load it.
MAXIMUM_REFUSALS = 2
MILLISECONDS = 1000


class Selection:
    """Own the choices made for one call.

    It waits only while no endpoint may get work at all. Work for busy endpoints waits
    at their agents, where the requests of all entries meet.
    """

    __slots__ = ("call", "entry", "loop", "refusals", "retry_after", "tried")

    def __init__(self, entry, call):
        self.entry = entry
        self.call = call
        self.tried = set()
        self.refusals = 0
        self.retry_after = math.inf
        self.loop = asyncio.get_running_loop()

    async def next_link(self):
        """Return the link of an endpoint that may get the call.

        Raise Unavailable at once when there is none and too many wait already, and
        when none came back within the entry's patience or the call's deadline.
        """
        link = self.choose()
        if link is None:
            link = await self.entry.pending_calls.wait(self)
        return link

    def choose(self):
        """Return a link that was not tried; tried ones when all were, or None."""
        link = self.entry.router.choose(self.call.service, self.wish())
        if link is None and self.tried:
            self.tried.clear()
            link = self.entry.router.choose(self.call.service, self.wish())
        return link

    def wish(self):
        return RoutingPreference(
            zone=self.entry.settings.zone,
            organisation=self.call.organisation,
            loaded=self.call.model,
            prefix=self.call.prefix,
            tried=frozenset(self.tried),
        )

    def mark_tried(self, link):
        """Prefer other endpoints than this one for the next attempt."""
        self.tried.add(link.instance.name)

    def refused(self, link, reason, retry_after_ms):
        """Take an agent's refusal; raise Overloaded when another try is no use.

        The caller gets its answer at once, with the time to come back: waiting here
        would only add this call to the load of which there is too much.
        """
        self.mark_tried(link)
        if reason in TRY_ELSEWHERE or retry_after_ms is None:
            return
        self.refusals += 1
        self.retry_after = min(self.retry_after, retry_after_ms / MILLISECONDS)
        view = self.entry.router.routes(self.call.service).view
        if self.refusals >= min(MAXIMUM_REFUSALS, len(view)):
            detail = f"No endpoint can answer in time: {reason}."
            raise Overloaded(detail, retry_after=math.ceil(self.retry_after))


class PendingCalls:
    """Hold the calls of one entry for which no endpoint may get work just now.

    Without a bound, an outage of a service would fill the entry with calls of that
    service until others find no memory.
    """

    __slots__ = ("entry", "limit", "patience", "waiting")

    def __init__(self, entry, limit, patience):
        self.entry = entry
        self.limit = limit
        self.patience = patience
        self.waiting = 0

    async def wait(self, selection):
        """Wait for an endpoint and return its link; raise Unavailable."""
        if self.waiting >= self.limit:
            raise Unavailable("Too many calls wait for an endpoint.", retry_after=1)
        self.waiting += 1
        try:
            end = min(selection.call.deadline, selection.loop.time() + self.patience)
            async with asyncio.timeout_at(end):
                return await self.next_change(selection)
        except TimeoutError as error:
            detail = "No endpoint may get work."
            raise Unavailable(detail, retry_after=1) from error
        finally:
            self.waiting -= 1

    async def next_change(self, selection):
        routes = self.entry.router.routes(selection.call.service)
        while True:
            await routes.changed.wait()
            if link := selection.choose():
                return link
