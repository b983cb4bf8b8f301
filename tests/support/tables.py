"""Implement the platform's table and object store in memory, with faults on demand."""

from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.interfaces import Row


class MemoryTable:
    """Implement Table and ObjectStore.

    All calls fail while down is set. The next lost_answers transactions are applied and
    raise StoreUnavailable.
    """

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.down = False
        self.lost_answers = 0

    def check(self):
        """Raise StoreUnavailable while the table is down."""
        if self.down:
            raise StoreUnavailable("The table is down.")

    async def get(self, key):
        self.check()
        value, version = self.rows.get(key, (None, 0))
        return Row(key, value, version)

    async def scan(self, prefix):
        self.check()
        found = sorted(key for key in self.rows if key.startswith(prefix))
        return [await self.get(key) for key in found]

    async def transact(self, writes):
        self.check()
        for write in writes:
            version = self.rows.get(write.key, (None, 0))[1]
            if write.expected_version not in (None, version):
                return False
        for write in writes:
            version = self.rows.get(write.key, (None, 0))[1]
            self.rows[write.key] = (write.value, version + 1)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreUnavailable("The answer was lost.")
        return True

    async def get_object(self, name):
        self.check()
        return self.objects.get(name)

    async def put_object(self, name, body):
        self.check()
        self.objects[name] = body
