"""Choose an endpoint for each attempt of a call, and wait if none is available."""

import asyncio
import math

from fescuedrum.decisions.admitting.admission import TRY_ELSEWHERE
from fescuedrum.decisions.placing.routing import RoutingPreference
from fescuedrum.exceptions import Overloaded, Unavailable

# Two overloaded endpoints are taken as a sign that the whole service is overloaded;
# further attempts would only add load.
MAXIMUM_REFUSALS = 2
MILLISECONDS = 1000


class Selection:
    """Choose the endpoints for one call's attempts and track their refusals.

    The call waits here only while no endpoint is available at all. Calls to busy
    endpoints wait at the agents, which see the requests of all entries.
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
        """Return the link of an available endpoint, waiting for one if necessary.

        Raise Unavailable when too many calls wait already, or when no endpoint becomes
        available within the entry's longest wait or by the call's deadline.
        """
        link = self.choose()
        if link is None:
            link = await self.entry.pending_calls.wait(self)
        return link

    def choose(self):
        """Return an untried link, or a tried one if all were tried, or None."""
        link = self.entry.router.choose(self.call.service, self.routing_preference())
        if link is None and self.tried:
            self.tried.clear()
            link = self.entry.router.choose(
                self.call.service, self.routing_preference()
            )
        return link

    def routing_preference(self):
        """Return what the router should prefer for this call's next attempt."""
        return RoutingPreference(
            zone=self.entry.settings.zone,
            organisation=self.call.organisation,
            loaded=self.call.model,
            prefix=self.call.prefix,
            tried=frozenset(self.tried),
        )

    def mark_tried(self, link):
        """Prefer other endpoints to this one for the next attempt."""
        self.tried.add(link.instance.name)

    def handle_refusal(self, link, reason, retry_after_ms):
        """Record an agent's refusal; raise Overloaded when the service is overloaded.

        The caller gets the error immediately, with the time after which to retry:
        waiting here would only add this call to the overload.
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
    """Limit the calls of one entry that wait for an endpoint to become available.

    Without the limit, calls to a service that is down would pile up in the entry until
    it has no memory left for calls to other services.
    """

    __slots__ = ("entry", "limit", "patience", "waiting")

    def __init__(self, entry, limit, patience):
        self.entry = entry
        self.limit = limit
        self.patience = patience
        self.waiting = 0

    async def wait(self, selection):
        """Wait for an endpoint and return its link.

        Raise Unavailable at the limit of waiting calls or after the longest wait.
        """
        if self.waiting >= self.limit:
            raise Unavailable(
                "Too many calls are waiting for an endpoint.", retry_after=1
            )
        self.waiting += 1
        try:
            end = min(selection.call.deadline, selection.loop.time() + self.patience)
            async with asyncio.timeout_at(end):
                return await self.wait_for_link(selection)
        except TimeoutError as error:
            detail = "No endpoint is available."
            raise Unavailable(detail, retry_after=1) from error
        finally:
            self.waiting -= 1

    async def wait_for_link(self, selection):
        """Return a link as soon as a change of the routes makes one available."""
        routes = self.entry.router.routes(selection.call.service)
        while True:
            await routes.changed.wait()
            if link := selection.choose():
                return link
