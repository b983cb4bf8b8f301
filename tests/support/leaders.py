"""Run several leaders of one group of engines, which freeze and resume."""

import asyncio

from support.groups import LATE_ORDER_DELAY_SECONDS

CHECK_INTERVAL_SECONDS = 0.25
# Time after which other processes notice that a leader is silent.
SILENCE_SECONDS = 1.0
# Time after which other processes notice that a leader is heard again.
HEARD_SECONDS = 0.5
# Range of the time for which a process is frozen.
FREEZE_SECONDS = (0.3, 5.0)


class Suspension:
    """Suspend one process for some time at a random call to the engines."""

    def __init__(self, random, mean_calls):
        self.random = random
        # Mean number of calls between two suspensions; None for no suspensions.
        self.mean_calls = mean_calls
        self.loop = asyncio.get_running_loop()
        self.frozen_at = self.frozen_until = float("-inf")

    def is_silent(self):
        """Return whether other processes believe that this one is gone."""
        now = self.loop.time()
        return (
            self.frozen_at + SILENCE_SECONDS
            <= now
            < (self.frozen_until + HEARD_SECONDS)
        )

    async def wait(self):
        """Wait while the process is suspended, which may begin now."""
        now = self.loop.time()
        may_begin = now >= self.frozen_until and self.mean_calls is not None
        if may_begin and self.random.random() < 1 / self.mean_calls:
            self.frozen_at = now
            self.frozen_until = now + self.random.uniform(*FREEZE_SECONDS)
        while self.loop.time() < self.frozen_until:
            await asyncio.sleep(self.frozen_until - self.loop.time())


class SuspendedEngines:
    """Implement EngineClient for one process; its calls and answers are suspended."""

    def __init__(self, group, suspension):
        self.group = group
        self.suspension = suspension

    async def call(self, method, *arguments):
        await self.suspension.wait()
        answer = await method(*arguments)
        await self.suspension.wait()
        return answer

    async def read_report(self, address):
        return await self.call(self.group.read_report, address)

    async def read_counts(self, address):
        return await self.call(self.group.read_counts, address)

    async def read_map(self, address):
        return await self.call(self.group.read_map, address)

    async def send_order(self, address, epoch, order):
        return await self.call(self.group.send_order, address, epoch, order)


class Leader:
    """Check a group like a gateway does while no preferred leader is heard."""

    def __init__(self, keeper, suspension, preferred):
        self.keeper = keeper
        self.suspension = suspension
        self.preferred = preferred
        self.leads = False

    async def run(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            await self.suspension.wait()
            leads = all(each.suspension.is_silent() for each in self.preferred)
            if leads != self.leads:
                self.leads = leads
                self.keeper.reset()
            if leads:
                await self.keeper.check_groups()


async def end_faults(group, leaders):
    """Stop suspensions and losses, and wait until late orders were carried out."""
    group.late = group.lost = 0.0
    for leader in leaders:
        leader.suspension.mean_calls = None
    await asyncio.sleep(max(LATE_ORDER_DELAY_SECONDS))
