"""Hold a copy of a table of the platform's store whose version never falls."""

from collections import deque

from fescuedrum.platform.interfaces import Changes, VersionedRow

# Number of deletions kept for peers that ask for changes. A peer that is further behind
# gets the whole table. An installation deletes some tens of rows a minute.
MAXIMUM_TOMBSTONES = 1000


class Replica:
    """Hold the rows of one table as of the highest version seen.

    Replicas of the store and peers may lag. So a row is applied only if its version is
    higher than that of the row held here, and a read of the whole table only if it is
    not older than the copy. An older state is therefore never restored.
    """

    __slots__ = ("history_start", "rows", "table", "tombstones", "version")

    def __init__(self, table):
        self.table = table
        self.rows = {}
        self.tombstones = deque()
        # Version up to which all changes have been applied; -1 before the first read.
        self.version = -1
        # Lowest version after which all changes are known; for a lower one,
        # changes_after() returns the whole table.
        self.history_start = -1

    @property
    def loaded(self):
        """Return whether the table has been read."""
        return self.version >= 0

    def apply(self, changes):
        """Apply changes; return the rows that are new here, deletions included."""
        if changes.version < self.version:
            return []
        if changes.whole:
            new_rows = self.apply_whole(changes)
        else:
            new_rows = [row for row in changes.rows if self.apply_row(row)]
        self.version = max(self.version, changes.version)
        return new_rows

    def apply_whole(self, changes):
        """Apply a read of the whole table; rows that it lacks count as deleted."""
        if self.history_start < 0:
            self.history_start = changes.version
        present = {row.key for row in changes.rows}
        gone = [
            VersionedRow(key, None, changes.version)
            for key in self.rows
            if key not in present
        ]
        return [row for row in (*changes.rows, *gone) if self.apply_row(row)]

    def apply_row(self, row):
        """Apply a row; return False if it is old or deletes an unknown row."""
        current = self.rows.get(row.key)
        if current is not None and row.version <= current.version:
            return False
        if row.value is not None:
            self.rows[row.key] = row
            return True
        if current is None:
            return False
        del self.rows[row.key]
        self.tombstones.append(row)
        while len(self.tombstones) > MAXIMUM_TOMBSTONES:
            self.history_start = max(
                self.history_start, self.tombstones.popleft().version
            )
        return True

    def changes_after(self, version):
        """Return the changes after a version.

        Return the whole table if deletions since then have been dropped.
        """
        if version < self.history_start:
            return Changes(list(self.rows.values()), self.version, whole=True)
        rows = [row for row in self.rows.values() if row.version > version]
        rows += [row for row in self.tombstones if row.version > version]
        rows.sort(key=lambda row: row.version)
        return Changes(rows, self.version)
