"""Hold the routing configuration that is in force in this process."""

import logging

from fescuedrum.events.event import log_event
from fescuedrum.events.tables import ConfigurationInForce

logger = logging.getLogger(__name__)


class RoutingConfiguration:
    """Hold the newest routing table; its version never falls while the process runs."""

    __slots__ = ("in_force_since", "table")

    def __init__(self):
        self.table = None
        self.in_force_since = None

    @property
    def version(self):
        """Return the version of the table in force; -1 for none."""
        return -1 if self.table is None else self.table.version

    def update_if_newer(self, table, now):
        """Put a table in force if it is newer; return whether it was."""
        if table.version <= self.version:
            return False
        event = ConfigurationInForce(
            from_version=self.version,
            to_version=table.version,
            routes=len(table.document.routes),
            organisations=len(table.document.organisations),
        )
        self.table = table
        self.in_force_since = now
        log_event(logger, event)
        return True
