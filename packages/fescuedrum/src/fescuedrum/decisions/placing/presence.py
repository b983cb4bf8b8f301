"""Decide which endpoints of the platform's instance list may get work.

Load pattern: engines leave and return by the dozen while the store that lists them is
unreachable or slow. Their rows in the list expire during an outage although the engines
run, and are written again soon after it. Treating each expired row as a leave empties
the list, and every request is refused; treating none as a leave sends work to engines
that are gone.

A row that is deleted while the store answers means a leave and counts at once. A row
that is found deleted right after an outage is kept until the store has been reachable
again for RETURN_SECONDS: running engines are listed again within that time. An engine
that had announced its leave is removed at once in either case.
"""

import enum
from dataclasses import dataclass

RETURN_SECONDS = 2.0


class EndpointState(enum.StrEnum):
    """States that an endpoint reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """One row of the platform's list of endpoints."""

    # Identity of one start of an endpoint; usually different after a restart.
    name: str
    service: str
    host: str
    port: int
    zone: str
    state: EndpointState
    # Number of requests that it runs concurrently.
    slots: int
    # Seconds for which it stays slow after its start.
    cold_seconds: float = 0.0
    # Start time as reported by the endpoint; a different value is a different start.
    started_at: int = 0


@dataclass(slots=True)
class Presence:
    """A listed endpoint, or one whose row was deleted and that may still run."""

    endpoint: ListedEndpoint
    # Loop time at which an unlisted endpoint counts as gone; None while it is listed.
    gone_at: float | None = None


class EndpointPresence:
    """The endpoints that may get work, by name; times are loop time in seconds."""

    __slots__ = ("by_name", "outage_ended_at", "store_unreachable")

    def __init__(self):
        self.by_name = {}
        self.store_unreachable = False
        self.outage_ended_at = float("-inf")

    def store_lost(self):
        """Record that the store does not answer."""
        self.store_unreachable = True

    def store_returned(self, now):
        """Record that the store answers; only the end of an outage has an effect."""
        if not self.store_unreachable:
            return
        self.store_unreachable = False
        self.outage_ended_at = now
        for presence in self.by_name.values():
            if presence.gone_at is not None:
                presence.gone_at = now + RETURN_SECONDS

    def listed(self, endpoint):
        """Add an endpoint, or replace it by its current row."""
        self.by_name[endpoint.name] = Presence(endpoint)

    def unlisted(self, name, now):
        """Record that an endpoint's row was deleted; remove it now or after a wait."""
        presence = self.by_name.get(name)
        if presence is None:
            return
        draining = presence.endpoint.state is EndpointState.DRAINING
        if draining or not self.is_list_unreliable(now):
            del self.by_name[name]
        elif self.store_unreachable:
            presence.gone_at = float("inf")
        else:
            presence.gone_at = self.outage_ended_at + RETURN_SECONDS

    def is_list_unreliable(self, now):
        """Return whether the store is unreachable or has only just returned."""
        return self.store_unreachable or now < self.outage_ended_at + RETURN_SECONDS

    def expire(self, now):
        """Remove the unlisted endpoints whose wait is over; return their names."""
        expired = [
            name
            for name, presence in self.by_name.items()
            if presence.gone_at is not None and now >= presence.gone_at
        ]
        for name in expired:
            del self.by_name[name]
        return expired

    def of_service(self, service):
        """Return the endpoints of a service that may still be running."""
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
