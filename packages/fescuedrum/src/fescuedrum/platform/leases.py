"""Hold leases on rows of the platform's table for singleton duties."""

import asyncio
import logging

from fescuedrum.decisions.leases import Acquire, LeaseTerm, Renew, Wait
from fescuedrum.events.event import log_event
from fescuedrum.events.tables import LeaseNotRenewed
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.interfaces import Write

logger = logging.getLogger(__name__)

DURATION_SECONDS = 6.0


def lease_key(name):
    return f"lease/{name}"


class Lease:
    """Try to hold one lease; run() keeps trying until it is cancelled.

    holder must differ between two starts of a process. Every order that is given
    under the lease must carry fence: receivers refuse a lower one.
    """

    __slots__ = ("key", "loop", "random", "table", "term", "writes")

    def __init__(self, table, name, holder, random, *, duration=DURATION_SECONDS):
        self.table = table
        self.key = lease_key(name)
        self.term = LeaseTerm(holder, duration)
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.writes = 0

    @property
    def fence(self):
        """Return the fencing number to act under; None while the lease is not held."""
        return self.term.fence if self.term.holds(self.loop.time()) else None

    async def run(self):
        """Take, renew and take again, at jittered intervals."""
        while True:
            try:
                await self.step()
            except StoreUnavailable as error:
                log_event(logger, LeaseNotRenewed(self.key, str(error)))
            # Jitter keeps the challengers of one lease from asking in step.
            await asyncio.sleep(
                self.term.renewal_interval * self.random.uniform(0.8, 1)
            )

    async def step(self):
        """Read the row and do what it calls for; raise StoreUnavailable."""
        row = await self.table.get(self.key)
        value = row.value or {}
        holder = value.get("holder", "")
        now = self.loop.time()
        self.term.observe(holder, row.version, value.get("fence"), now)
        match self.term.decide(holder, now):
            case Acquire(expected_version):
                await self.write(expected_version + 1, expected_version)
            case Renew(expected_version):
                await self.write(value["fence"], expected_version)
            case Wait():
                pass

    async def write(self, fence, expected_version):
        """Write ourselves as the holder.

        The answer may be lost after the write took effect: the exception leaves the
        term as it was, and the next read shows our name in the row, which renews it.
        """
        value = {"holder": self.term.holder, "fence": fence}
        sent_at = self.loop.time()
        self.writes += 1
        if await self.table.transact([Write(self.key, value, expected_version)]):
            self.term.record_written(fence, expected_version + 1, sent_at)
        else:
            self.term.lost()

    async def release(self):
        """Give the lease up, so that a successor need not wait; keep the row.

        A deleted row would start again at version 1, and fencing numbers would fall.
        """
        if self.fence is None:
            return
        value = {"holder": "", "fence": self.term.fence}
        expected = self.term.version
        self.term.lost()
        await self.table.transact([Write(self.key, value, expected)])
