"""Hold the routing configuration in force at this process."""

import logging

from fescuedrum.events.event import log_event
from fescuedrum.events.tables import ConfigurationInForce

logger = logging.getLogger(__name__)


class RoutingConfiguration:
    """Keep the newest routing table seen; its version only rises in one life."""

    __slots__ = ("read_at", "table")

    def __init__(self):
        self.table = None
        self.read_at = None

    @property
    def version(self):
        return -1 if self.table is None else self.table.version

    def update_if_newer(self, table, now):
        """Put a table in force if it is newer; tell whether."""
        if table.version <= self.version:
            return False
        event = ConfigurationInForce(
            from_version=self.version,
            to_version=table.version,
            routes=len(table.document.routes),
            organisations=len(table.document.organisations),
        )
        self.table = table
        self.read_at = now
        log_event(logger, event)
        return True
