"""Hold leases on rows of the platform's table for duties of a single process."""

import asyncio
import logging

from fescuedrum.decisions.duties.leases import Acquire, LeaseTerm, Renew, Wait
from fescuedrum.events.event import log_event
from fescuedrum.events.tables import LeaseNotRenewed
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.interfaces import Write

logger = logging.getLogger(__name__)

DURATION_SECONDS = 6.0


def lease_key(name):
    """Return the key of a lease's row."""
    return f"lease/{name}"


class Lease:
    """Acquire and renew one lease; run() continues until it is cancelled.

    holder must differ between two starts of a process. Every order that is sent under
    the lease must carry its fence: receivers refuse orders with a lower one.
    """

    __slots__ = ("key", "loop", "random", "table", "term", "write_count")

    def __init__(self, table, name, holder, random, *, duration=DURATION_SECONDS):
        self.table = table
        self.key = lease_key(name)
        self.term = LeaseTerm(holder, duration)
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.write_count = 0

    @property
    def fence(self):
        """Return the fencing number of the held lease; None while it is not held."""
        return self.term.fence if self.term.holds(self.loop.time()) else None

    async def run(self):
        """Acquire and renew the lease, at jittered intervals."""
        while True:
            try:
                await self.step()
            except StoreUnavailable as error:
                log_event(logger, LeaseNotRenewed(self.key, str(error)))
            # Jitter keeps the processes that want one lease from reading in lockstep.
            await asyncio.sleep(
                self.term.renewal_interval * self.random.uniform(0.8, 1)
            )

    async def step(self):
        """Read the row, then acquire or renew the lease; raise StoreUnavailable."""
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
        """Write this process as the holder.

        The response may be lost after the write took effect. The exception then leaves
        the term as it was; the next read finds this holder in the row, and the lease
        is renewed.
        """
        value = {"holder": self.term.holder, "fence": fence}
        sent_at = self.loop.time()
        self.write_count += 1
        if await self.table.transact([Write(self.key, value, expected_version)]):
            self.term.record_written(fence, expected_version + 1, sent_at)
        else:
            self.term.lost()

    async def release(self):
        """Release the lease, so that its next holder need not wait; keep the row.

        If the row were deleted, its version would start again at 1 and fencing numbers
        would fall.
        """
        if self.fence is None:
            return
        value = {"holder": "", "fence": self.term.fence}
        expected = self.term.version
        self.term.lost()
        await self.table.transact([Write(self.key, value, expected)])
