"""Keep expert maps while this process is the one that leads."""

import asyncio
import logging

from fescuedrum.events import groups as events
from fescuedrum.events.event import log_event
from fescuedrum_gateway.process.keeper import build_keeper

logger = logging.getLogger(__name__)

# Time between looks at a group: one that begins anew has its first map again, which is
# three times as slow as a good one.
CHECK_INTERVAL_SECONDS = 0.25
# Looks at the pace of streams in between: a pass takes about as long.
SLOWDOWN_CHECKS = 5


class GroupSupervisor:
    """Keep all groups while this process leads."""

    __slots__ = ("engines", "gateway", "keepers", "leads")

    def __init__(self, gateway, engines):
        self.gateway = gateway
        self.engines = engines
        # Keeper by name of service.
        self.keepers = {}
        self.leads = False

    async def run(self):
        while True:
            await self.wait_for_next_check()
            self.update_leadership()
            if self.leads:
                for keeper in self.update_keepers():
                    await keeper.check_groups()

    async def wait_for_next_check(self):
        """Pass the time until the next look."""
        for _ in range(SLOWDOWN_CHECKS if self.leads else 0):
            await asyncio.sleep(CHECK_INTERVAL_SECONDS / SLOWDOWN_CHECKS)
            for keeper in self.keepers.values():
                await keeper.check_slowdown()
        if not self.leads:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def update_leadership(self):
        leads = self.gateway.ready and self.gateway.peers.is_leader()
        if leads != self.leads:
            self.leads = leads
            log_event(logger, events.GroupDutyChanged(leads))
            for keeper in self.keepers.values():
                keeper.reset()

    def update_keepers(self):
        """Return the keepers of the services that the configuration names now."""
        gateway, kept = self.gateway, {}
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
            kept[service.name] = keeper
        self.keepers = kept
        return kept.values()
