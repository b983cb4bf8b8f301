"""Delete claims that are older than the retention time of idempotency keys.

Load pattern: every request with an idempotency key leaves a row in the table. Without
deletion, 500 such requests a second would add 43 million rows a day.

Hosts' clocks differ, so the age of a claim is counted in buckets. The number of the
current bucket is a row of the table. The holder of a lease increments it after the
number was unchanged for one bucket length on the holder's own clock. A holder that dies
or is paused makes buckets longer, never shorter, so no key is deleted early.
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
    """Return the key prefix of the rows that list the claims of a bucket."""
    return f"claim-age/{bucket:012d}/"


def read_keys(index):
    """Return the keys that an index row lists; None if it is malformed."""
    keys = (index.value or {}).get("keys")
    is_list = isinstance(keys, list) and all(isinstance(each, str) for each in keys)
    return keys if is_list else None


def is_in_bucket(value, bucket):
    """Return whether a claim was last written in a bucket, or in an earlier one."""
    written_in = value.get("bucket", 0)
    return type(written_in) is int and written_in <= bucket


class ClaimAges:
    """Track the current bucket; increment it and delete old claims under a lease."""

    __slots__ = (
        "bucket",
        "bucket_seen_at",
        "lease",
        "loop",
        "seconds",
        "swept",
        "table",
        "version",
    )

    def __init__(self, table, lease, seconds):
        self.table = table
        self.lease = lease
        self.seconds = seconds
        self.loop = asyncio.get_running_loop()
        # None until the table was read; no claims are written before that.
        self.bucket = None
        self.swept = 0
        self.version = 0
        self.bucket_seen_at = 0.0

    async def run(self, kept):
        """Run a step periodically until cancelled; keep `kept` whole buckets."""
        while True:
            try:
                await self.step(kept)
            except StoreUnavailable as error:
                log_event(logger, AgesNotRead(str(error)))
            await asyncio.sleep(min(self.seconds / 4, MAXIMUM_WAIT_SECONDS))

    async def current(self):
        """Return the current bucket; raise StoreUnavailable if it was never read."""
        if self.bucket is None:
            await self.read()
        return self.bucket

    async def read(self):
        """Read the current bucket and the last bucket whose claims were deleted."""
        row = await self.table.get(AGE_KEY)
        value = row.value or {"bucket": 0, "swept": -1}
        if not all(type(value.get(each)) is int for each in ("bucket", "swept")):
            raise StoreUnavailable(f"The row {AGE_KEY} has no bucket, or no last one.")
        if value["bucket"] != self.bucket:
            self.bucket_seen_at = self.loop.time()
        self.bucket = value["bucket"]
        self.swept = value["swept"]
        self.version = row.version

    async def step(self, kept):
        """Read the row; with the lease, start a bucket or delete an old one."""
        await self.read()
        if self.lease.fence is None:
            return
        if self.loop.time() - self.bucket_seen_at >= self.seconds:
            await self.write(self.bucket + 1, self.swept)
        elif self.swept + 1 < self.bucket - kept:
            await self.sweep(self.swept + 1)
            await self.write(self.bucket, self.swept + 1)

    async def write(self, bucket, swept):
        """Write the row unless it changed; the next read shows whether this worked."""
        value = {"bucket": bucket, "swept": swept}
        await self.table.transact([Write(AGE_KEY, value, self.version)])

    async def sweep(self, bucket):
        """Delete the claims last written in a bucket, then the bucket's index rows."""
        for index in await self.table.scan(index_prefix(bucket)):
            keys = read_keys(index)
            if keys is None:
                log_event(logger, AgesNotRead(f"The row {index.key} lists no keys."))
                continue
            for begin in range(0, len(keys), DELETES_PER_WRITE):
                await self.delete(keys[begin : begin + DELETES_PER_WRITE], bucket)
            await self.table.transact([Write(index.key, None, None)])

    async def delete(self, keys, bucket):
        """Delete rows not written since the bucket; others are in a later index."""
        rows = await asyncio.gather(*(self.table.get(key) for key in keys))
        old = [
            Write(row.key, None, row.version)
            for row in rows
            if row.value is not None and is_in_bucket(row.value, bucket)
        ]
        # A concurrent write of one row fails the transaction; the next step retries.
        if old and not await self.table.transact(old):
            raise StoreUnavailable("A claim was written while it was being deleted.")
