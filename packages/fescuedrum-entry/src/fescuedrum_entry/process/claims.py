"""Write the claims of many requests in one transaction of the platform's table.

Load pattern: hundreds of requests with idempotency keys a second at each of many
entries. The table takes several hundred writes a second in total, so with one write for
each claim a tenth of the load would saturate it. A group of claims costs one write. The
groups of one entry start at least `interval` seconds apart; a slow group does not delay
the next one.
"""

import asyncio
from dataclasses import dataclass

from fescuedrum.claims import record
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.interfaces import Write
from fescuedrum_entry.process.ages import index_prefix

MAXIMUM_GROUP_SIZE = 200


@dataclass(slots=True)
class PendingWrite:
    """Hold one write and the future that tells whether it was applied."""

    write: Write
    applied: asyncio.Future


class ClaimWriter:
    """Read claims, and queue and write those of one entry process in groups."""

    __slots__ = (
        "ages",
        "group_count",
        "interval",
        "loop",
        "name",
        "next_start",
        "queue",
        "table",
        "tasks",
    )

    def __init__(self, table, interval, ages, name):
        self.table = table
        self.ages = ages
        # Unique to this incarnation of the entry; part of the index rows' keys.
        self.name = name
        self.interval = interval
        self.loop = asyncio.get_running_loop()
        self.next_start = 0.0
        self.queue = []
        self.tasks = set()
        # Number of transactions sent to the table.
        self.group_count = 0

    async def read(self, key):
        """Return (claim or None, row version); raise StoreUnavailable."""
        row = await self.table.get(key)
        if row.value is None:
            return None, row.version
        try:
            return record.parse(row.value), row.version
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailable(f"The row {key} is malformed: {error!r}.") from error

    async def write(self, key, claim, expected_version):
        """Write a claim; return whether it was applied, or raise StoreUnavailable."""
        write = Write(key, record.dump(claim), expected_version)
        pending = PendingWrite(write, self.loop.create_future())
        self.add([pending])
        return await pending.applied

    def add(self, pending):
        """Append writes to the queue and schedule a group if none is scheduled."""
        if not self.queue:
            self.schedule_group()
        self.queue += pending

    def schedule_group(self):
        """Schedule the start of the next group, an interval after the last one."""
        start = max(self.loop.time(), self.next_start)
        self.next_start = start + self.interval
        self.loop.call_at(start, self.start_group)

    def start_group(self):
        """Take a group from the queue and commit it in a task."""
        group, self.queue = self.split_group(self.queue)
        if self.queue:
            self.schedule_group()
        task = asyncio.create_task(self.commit(group))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def split_group(self, queue):
        """Return (group, rest); a group has one write a key and a maximum size."""
        group, rest, keys = [], [], set()
        for pending in queue:
            if pending.applied.done():
                continue
            if pending.write.key in keys or len(group) == MAXIMUM_GROUP_SIZE:
                rest.append(pending)
                continue
            keys.add(pending.write.key)
            group.append(pending)
        return group, rest

    async def commit(self, group):
        """Write a group in one transaction and resolve its futures."""
        if not group:
            return
        self.group_count += 1
        try:
            writes = await self.add_index(group)
            applied = await self.table.transact(writes)
            if not applied and len(group) > 1:
                await self.resend_without_conflicts(group)
                return
        except StoreUnavailable as error:
            resolve(group, error=error)
            return
        resolve(group, applied=applied)

    async def add_index(self, group):
        """Set the writes' bucket; return them with one that lists their keys."""
        bucket = await self.ages.current()
        for pending in group:
            pending.write.value["bucket"] = bucket
        writes = [pending.write for pending in group]
        key = f"{index_prefix(bucket)}{self.name}-{self.group_count}"
        keys = [write.key for write in writes]
        return [*writes, Write(key, {"keys": keys}, None)]

    async def resend_without_conflicts(self, group):
        """Resolve the writes whose row has changed as not applied; requeue the others.

        The table refuses a group as a whole, so without this one repeated key would
        fail the claims of all other requests in its group.
        """
        rows = await asyncio.gather(*(self.table.get(each.write.key) for each in group))
        conflicting, others = [], []
        for pending, row in zip(group, rows, strict=True):
            matches = row.version == pending.write.expected_version
            (others if matches else conflicting).append(pending)
        resolve(conflicting, applied=False)
        if others:
            self.add(others)


def resolve(group, *, applied=False, error=None):
    """Set the result or the error of each write's future that is not done yet."""
    for pending in group:
        if pending.applied.done():
            continue
        if error is not None:
            pending.applied.set_exception(error)
        else:
            pending.applied.set_result(applied)
