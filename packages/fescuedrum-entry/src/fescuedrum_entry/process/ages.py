"""Delete claims that are older than keys are kept.

Load pattern: every keyed request leaves a row for good; at 500 a second the table
would grow by 43 million rows a day. Hosts' clocks differ, so age is counted in buckets:
a number in the table that one lease holder raises after it has seen it unchanged for a
bucket's length on its own clock. A holder that dies or is paused makes buckets longer,
never shorter, so a key is never forgotten early.
"""

import asyncio
import logging

from fescuedrum.events.event import log_event
from fescuedrum.events.tables import AgesNotRead
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.interfaces import Write

logger = logging.getLogger(__name__)

AGE_KEY = "claim-ages"
LEASE_NAME = "claim-ages"
DELETES_PER_WRITE = 100
MAXIMUM_WAIT_SECONDS = 30.0


def index_prefix(bucket):
    return f"claim-age/{bucket:012d}/"


class ClaimAges:
    """Follow the number of the present bucket; raise it and sweep under a lease."""

    __slots__ = (
        "bucket",
        "lease",
        "loop",
        "seconds",
        "seen_at",
        "swept",
        "table",
        "version",
    )

    def __init__(self, table, lease, seconds):
        self.table = table
        self.lease = lease
        self.seconds = seconds
        self.loop = asyncio.get_running_loop()
        # None until the table was read: claims are not written before.
        self.bucket = None
        self.swept = 0
        self.version = 0
        self.seen_at = 0.0

    async def run(self, kept):
        """Follow for as long as the process lives; kept counts whole buckets."""
        while True:
            try:
                await self.step(kept)
            except StoreUnavailable as error:
                log_event(logger, AgesNotRead(str(error)))
            await asyncio.sleep(min(self.seconds / 4, MAXIMUM_WAIT_SECONDS))

    async def current(self):
        """Return the present bucket; raise StoreUnavailable if it was never read."""
        if self.bucket is None:
            await self.read()
        return self.bucket

    async def read(self):
        row = await self.table.get(AGE_KEY)
        value = row.value or {"bucket": 0, "swept": -1}
        if value["bucket"] != self.bucket:
            self.seen_at = self.loop.time()
        self.bucket = value["bucket"]
        self.swept = value["swept"]
        self.version = row.version

    async def step(self, kept):
        await self.read()
        if self.lease.fence is None:
            return
        if self.loop.time() - self.seen_at >= self.seconds:
            await self.write(self.bucket + 1, self.swept)
        elif self.swept + 1 < self.bucket - kept:
            await self.sweep(self.swept + 1)
            await self.write(self.bucket, self.swept + 1)

    async def write(self, bucket, swept):
        """Write the row if nobody else has; a lost answer shows at the next reading."""
        value = {"bucket": bucket, "swept": swept}
        await self.table.transact([Write(AGE_KEY, value, self.version)])

    async def sweep(self, bucket):
        """Delete the claims last written in a bucket, and then its index."""
        for index in await self.table.scan(index_prefix(bucket)):
            keys = index.value["keys"]
            for begin in range(0, len(keys), DELETES_PER_WRITE):
                await self.delete(keys[begin : begin + DELETES_PER_WRITE], bucket)
            await self.table.transact([Write(index.key, None, None)])

    async def delete(self, keys, bucket):
        """Delete rows that nobody has written since; they stand in a later index."""
        rows = await asyncio.gather(*(self.table.get(key) for key in keys))
        old = [
            Write(row.key, None, row.version)
            for row in rows
            if row.value is not None and row.value.get("bucket", 0) <= bucket
        ]
        # One that is written in this moment fails the group; the next step tries again.
        if old and not await self.table.transact(old):
            raise StoreUnavailable("A claim was written while it was swept.")
