"""Write the claims of many requests in one transaction of the platform's table.

Load pattern: hundreds of keyed requests a second at each of many entries. The table
takes several hundred writes a second in all, so one write for each claim would fill it
with a tenth of the load. A group costs one write; groups of one entry start at least
`interval` apart, and one that is slow holds up no other.
"""

import asyncio
from dataclasses import dataclass

from fescuedrum.claims import record
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.interfaces import Write
from fescuedrum_entry.process.ages import index_prefix

MAXIMUM_GROUP = 200


@dataclass(slots=True)
class Pending:
    """Hold one write and the future of its fate: applied or not."""

    write: Write
    applied: asyncio.Future


class ClaimWriter:
    """Own the writes of claims of one entry process."""

    __slots__ = (
        "ages",
        "groups",
        "interval",
        "loop",
        "name",
        "next_start",
        "table",
        "tasks",
        "waiting",
    )

    def __init__(self, table, interval, ages, name):
        self.table = table
        self.ages = ages
        # Unique to this life of the entry; index rows carry it.
        self.name = name
        self.interval = interval
        self.loop = asyncio.get_running_loop()
        self.next_start = 0.0
        self.waiting = []
        self.tasks = set()
        # How many writes the table was sent.
        self.groups = 0

    async def read(self, key):
        """Return (claim, version); raise StoreUnavailable."""
        row = await self.table.get(key)
        claim = record.parse(row.value) if row.value is not None else None
        return claim, row.version

    async def write(self, key, claim, expected_version):
        """Return whether the write took effect; raise StoreUnavailable."""
        write = Write(key, record.dump(claim), expected_version)
        pending = Pending(write, self.loop.create_future())
        self.add([pending])
        return await pending.applied

    def add(self, pending):
        if not self.waiting:
            self.schedule()
        self.waiting += pending

    def schedule(self):
        start = max(self.loop.time(), self.next_start)
        self.next_start = start + self.interval
        self.loop.call_at(start, self.start_group)

    def start_group(self):
        group, self.waiting = self.take_group(self.waiting)
        if self.waiting:
            self.schedule()
        task = asyncio.create_task(self.commit(group))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def take_group(self, waiting):
        """Split what waits: one write for each key, at most MAXIMUM_GROUP in all."""
        group, rest, keys = [], [], set()
        for pending in waiting:
            if pending.applied.done():
                continue
            if pending.write.key in keys or len(group) == MAXIMUM_GROUP:
                rest.append(pending)
                continue
            keys.add(pending.write.key)
            group.append(pending)
        return group, rest

    async def commit(self, group):
        if not group:
            return
        self.groups += 1
        try:
            writes = await self.with_index(group)
            applied = await self.table.transact(writes)
            if not applied and len(group) > 1:
                await self.separate(group)
                return
        except StoreUnavailable as error:
            settle(group, error=error)
            return
        settle(group, applied=applied)

    async def with_index(self, group):
        """Return the group's writes, marked with their age, and one that lists them."""
        bucket = await self.ages.current()
        for pending in group:
            pending.write.value["bucket"] = bucket
        writes = [pending.write for pending in group]
        key = f"{index_prefix(bucket)}{self.name}-{self.groups}"
        keys = [write.key for write in writes]
        return [*writes, Write(key, {"keys": keys}, None)]

    async def separate(self, group):
        """Find the writes that came too late and send the others again.

        The table refuses a group as a whole, so one repeated key would otherwise
        fail the claims of all who happen to share its group.
        """
        rows = await asyncio.gather(*(self.table.get(each.write.key) for each in group))
        late, others = [], []
        for pending, row in zip(group, rows, strict=True):
            matches = row.version == pending.write.expected_version
            (others if matches else late).append(pending)
        settle(late, applied=False)
        if others:
            self.add(others)


def settle(group, *, applied=False, error=None):
    for pending in group:
        if pending.applied.done():
            continue
        if error is not None:
            pending.applied.set_exception(error)
        else:
            pending.applied.set_result(applied)
