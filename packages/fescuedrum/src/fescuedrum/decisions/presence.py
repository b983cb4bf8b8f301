"""Decide which endpoints of the platform's instance list may get work.

Load pattern: engines leave and come back by the dozen while the store that lists them
is away or slow. Entries of the list lapse in an outage though their engines live, and
are written again soon after it. Taking each lapse for a leave empties the list and
every request is refused; taking none for a leave sends work to engines that are gone.

An entry that is deleted while the store answers is a leave and counts at once. One
that is found deleted right after an outage is kept on trial until the store has been
back for RETURN_SECONDS: live engines are listed again within that time. An engine that
had announced its leave is gone at once in either case.
"""

import enum
from dataclasses import dataclass

RETURN_SECONDS = 2.0


class EndpointState(enum.StrEnum):
    """Say what an endpoint tells of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """Hold one line of the platform's list of endpoints."""

    # Identity of one start of an endpoint, mostly a new one for each start.
    name: str
    service: str
    host: str
    port: int
    zone: str
    state: EndpointState
    # Requests that it runs at the same time.
    slots: int
    # How long it stays slow after its start, in seconds.
    cold_seconds: float = 0.0
    # When it started, as the endpoint says: another value is another start.
    started_at: int = 0


@dataclass(slots=True)
class Presence:
    """Hold what is known of whether an endpoint is there."""

    endpoint: ListedEndpoint
    # Loop time at which an entry that lapsed counts as gone; None while it is listed.
    gone_at: float | None = None


class EndpointPresence:
    """Follow the list of endpoints; times are loop time in seconds."""

    __slots__ = ("by_name", "outage_ended_at", "store_unreachable")

    def __init__(self):
        self.by_name = {}
        self.store_unreachable = False
        self.outage_ended_at = float("-inf")

    def store_lost(self):
        """Note that the store does not answer."""
        self.store_unreachable = True

    def store_returned(self, now):
        """Note that the store answers; only the end of an outage changes anything."""
        if not self.store_unreachable:
            return
        self.store_unreachable = False
        self.outage_ended_at = now
        for presence in self.by_name.values():
            if presence.gone_at is not None:
                presence.gone_at = now + RETURN_SECONDS

    def listed(self, endpoint):
        """Take an endpoint's entry as it is now."""
        self.by_name[endpoint.name] = Presence(endpoint)

    def unlisted(self, name, now):
        """Take note that an endpoint's entry is gone."""
        presence = self.by_name.get(name)
        if presence is None:
            return
        draining = presence.endpoint.state is EndpointState.DRAINING
        if draining or not self.is_doubtful(now):
            del self.by_name[name]
        elif self.store_unreachable:
            presence.gone_at = float("inf")
        else:
            presence.gone_at = self.outage_ended_at + RETURN_SECONDS

    def is_doubtful(self, now):
        return self.store_unreachable or now < self.outage_ended_at + RETURN_SECONDS

    def expire(self, now):
        """Drop the entries on trial whose time is over; return their names."""
        expired = [
            name
            for name, presence in self.by_name.items()
            if presence.gone_at is not None and now >= presence.gone_at
        ]
        for name in expired:
            del self.by_name[name]
        return expired

    def of_service(self, service):
        """Return the endpoints of a service that may still be there."""
        endpoints = (presence.endpoint for presence in self.by_name.values())
        return [each for each in endpoints if each.service == service]

    def ready(self, service):
        """Return the endpoints of a service that have not announced a leave."""
        return [
            presence.endpoint
            for presence in self.by_name.values()
            if presence.endpoint.service == service
            and presence.endpoint.state is EndpointState.READY
        ]
