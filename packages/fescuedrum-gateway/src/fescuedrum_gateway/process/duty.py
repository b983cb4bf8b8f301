"""Keep expert maps balanced while this process is the leader."""

import asyncio
import logging
from functools import partial

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

    __slots__ = ("change_lock", "engines", "gateway", "keepers", "leads")

    def __init__(self, gateway, engines):
        self.gateway = gateway
        self.engines = engines
        # Keepers by service name.
        self.keepers = {}
        self.leads = False
        # Held while a group is checked, and perhaps its map changed.
        self.change_lock = asyncio.Lock()

    async def run(self):
        """Check all groups periodically while this process is the leader."""
        while True:
            await self.wait_for_next_check()
            self.update_leadership()
            if self.leads:
                async with self.change_lock:
                    for keeper in self.update_keepers():
                        await keeper.check_groups()

    async def finish_change(self, latest):
        """Wait until no map change is under way, at most until a loop time.

        A process that ends in the middle of a change leaves a pass held, and the whole
        group waits until another process has noticed.
        """
        try:
            async with asyncio.timeout_at(latest), self.change_lock:
                self.leads = False
        except TimeoutError:
            log_event(logger, events.MapChangeCut())

    def stand_still_seconds(self) -> float:
        """Return the longest time since a group's last pass; -1 if not the leader."""
        now = asyncio.get_running_loop().time()
        return max((now - each.last_pass_at for each in self.groups()), default=-1.0)

    def hold_seconds(self) -> float:
        """Return for how long a group has been seen to hold a pass; 0 if none does."""
        now = asyncio.get_running_loop().time()
        held = (each for each in self.groups() if each.held_step is not None)
        return max((now - each.held_since for each in held), default=0.0)

    def groups(self):
        """Return the groups that this process manages as the leader."""
        keepers = self.keepers.values() if self.leads else ()
        return [group for keeper in keepers for group in keeper.finder.groups.values()]

    async def wait_for_next_check(self):
        """Wait for the next check of the groups; as leader, watch for slowdowns."""
        for _ in range(SLOWDOWN_CHECKS if self.leads else 0):
            await asyncio.sleep(CHECK_INTERVAL_SECONDS / SLOWDOWN_CHECKS)
            async with self.change_lock:
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
                    partial(gateway.directory.groups.timer, service.name),
                    gateway.metrics,
                    gateway.random,
                )
                keeper.finder.on_members = partial(
                    gateway.directory.groups.learn_addresses, service.name
                )
            keepers[service.name] = keeper
        self.keepers = keepers
        return keepers.values()
