"""Hold a copy of a table of the platform that only moves forward."""

from collections import deque

from fescuedrum.platform.interfaces import Changes, VersionedRow

# Deletions kept for peers that ask what has changed. A peer that is further behind is
# given the whole table; an installation loses some tens of rows a minute.
TOMBSTONES = 1000


class Replica:
    """Keep the rows of one table as of the highest version seen.

    The store may answer a read from behind, and peers lag. Each row is taken only if
    its version is above the one held here, and a whole read only if it is as new as
    everything held; so what was in force never comes back.
    """

    __slots__ = ("floor", "rows", "table", "tombstones", "version")

    def __init__(self, table):
        self.table = table
        self.rows = {}
        self.tombstones = deque()
        # Version up to which everything has been applied; -1 before the first read.
        self.version = -1
        # Changes at or below this version can't be told one by one.
        self.floor = -1

    @property
    def loaded(self):
        return self.version >= 0

    def apply(self, changes):
        """Take changes; return the rows that are new here, deletions among them."""
        if changes.version < self.version:
            return []
        if changes.whole:
            fresh = self.apply_whole(changes)
        else:
            fresh = [row for row in changes.rows if self.take(row)]
        self.version = max(self.version, changes.version)
        return fresh

    def apply_whole(self, changes):
        if self.floor < 0:
            self.floor = changes.version
        present = {row.key for row in changes.rows}
        gone = [
            VersionedRow(key, None, changes.version)
            for key in self.rows
            if key not in present
        ]
        return [row for row in (*changes.rows, *gone) if self.take(row)]

    def take(self, row):
        held = self.rows.get(row.key)
        if held is not None and row.version <= held.version:
            return False
        if row.value is not None:
            self.rows[row.key] = row
            return True
        if held is None:
            return False
        del self.rows[row.key]
        self.tombstones.append(row)
        while len(self.tombstones) > TOMBSTONES:
            self.floor = max(self.floor, self.tombstones.popleft().version)
        return True

    def changes_after(self, version):
        """Return what a copy at version lacks; all rows if deletions are forgotten."""
        if version < self.floor:
            return Changes(list(self.rows.values()), self.version, whole=True)
        rows = [row for row in self.rows.values() if row.version > version]
        rows += [row for row in self.tombstones if row.version > version]
        rows.sort(key=lambda row: row.version)
        return Changes(rows, self.version)
