"""Keep expert maps balanced while this process is the leader."""

import asyncio
import logging

from fescuedrum.events import groups as events
from fescuedrum.events.event import log_event
from fescuedrum_gateway.process.keeper import build_keeper

logger = logging.getLogger(__name__)

# Time between checks of a group. A restarted group uses its initial map again, which is
# three times as slow as a balanced one.
CHECK_INTERVAL_SECONDS = 0.25
# Checks for a slowdown of streams in this time, about one per pass.
SLOWDOWN_CHECKS = 5


class GroupSupervisor:
    """Run a keeper for the groups of each service while this process is the leader."""

    __slots__ = ("engines", "gateway", "keepers", "leads")

    def __init__(self, gateway, engines):
        self.gateway = gateway
        self.engines = engines
        # Keepers by service name.
        self.keepers = {}
        self.leads = False

    async def run(self):
        """Check all groups periodically while this process is the leader."""
        while True:
            await self.wait_for_next_check()
            self.update_leadership()
            if self.leads:
                for keeper in self.update_keepers():
                    await keeper.check_groups()

    async def wait_for_next_check(self):
        """Wait for the next check of the groups; as leader, watch for slowdowns."""
        for _ in range(SLOWDOWN_CHECKS if self.leads else 0):
            await asyncio.sleep(CHECK_INTERVAL_SECONDS / SLOWDOWN_CHECKS)
            for keeper in self.keepers.values():
                await keeper.check_slowdown()
        if not self.leads:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def update_leadership(self):
        """Update whether this process is the leader; reset the keepers on a change."""
        leads = self.gateway.ready and self.gateway.peers.is_leader()
        if leads != self.leads:
            self.leads = leads
            log_event(logger, events.GroupDutyChanged(leads))
            for keeper in self.keepers.values():
                keeper.reset()

    def update_keepers(self):
        """Return a keeper for each service of the configuration that has groups."""
        gateway, keepers = self.gateway, {}
        for service in gateway.configuration.table.document.services:
            if service.engine is None or service.engine.experts is None:
                continue
            keeper = self.keepers.get(service.name)
            if keeper is None or keeper.profile != service.engine.experts:
                keeper = build_keeper(
                    service,
                    self.engines,
                    gateway.directory.presences,
                    gateway.pass_timers[service.name],
                    gateway.metrics,
                    gateway.random,
                )
            keepers[service.name] = keeper
        self.keepers = keepers
        return keepers.values()
