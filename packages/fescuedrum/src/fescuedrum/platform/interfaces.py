"""Define what the system needs of the platform, one protocol class for each part."""

import enum
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class Row:
    """Hold a row of the table; version 0 means that it does not exist."""

    key: str
    value: dict | None
    version: int


@dataclass(slots=True, frozen=True)
class Write:
    """Set a row's value (None deletes it) if its version is still the expected one."""

    key: str
    value: dict | None
    # None writes whatever the row's version is.
    expected_version: int | None


class InstanceState(enum.StrEnum):
    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True)
class Instance:
    """Hold one line of the platform's instance list."""

    name: str
    role: str
    zone: str
    host: str
    port: int
    state: InstanceState = InstanceState.LIVE
    endpoint: str = ""
    service: str = ""
    # Where an entry takes connections of other entries; 0 for nowhere.
    peer_port: int = 0


class Table(Protocol):
    """Reach the transactional table service; raise StoreUnavailable on no answer."""

    async def get(self, key: str) -> Row: ...

    async def scan(self, prefix: str) -> list[Row]: ...

    async def transact(self, writes: list[Write]) -> bool:
        """Apply all writes or none; return False when an expected version differs.

        StoreUnavailable leaves open whether the writes took effect.
        """
        ...


class ObjectStore(Protocol):
    """Reach the object store; raise StoreUnavailable on no answer."""

    async def get_object(self, name: str) -> bytes | None: ...

    async def put_object(self, name: str, body: bytes) -> None: ...


class InstanceList(Protocol):
    """Reach the lagging list of instances; raise StoreUnavailable on no answer."""

    async def list_instances(self) -> list[Instance]: ...


@dataclass(slots=True, frozen=True)
class VersionedRow:
    """Hold a row as bytes; value None says that it was deleted.

    version comes from one counter of the whole store, which rises with each change.
    """

    key: str
    value: bytes | None
    version: int


@dataclass(slots=True, frozen=True)
class Changes:
    """Hold rows of one table as of a version of the store."""

    rows: list[VersionedRow]
    version: int
    # All rows of the table: what is absent does not exist.
    whole: bool = False


class RowStore(Protocol):
    """Follow tables of rows; raise StoreUnavailable on no answer."""

    async def read_table(self, table: str) -> Changes:
        """Return all rows of a table."""
        ...

    async def wait_for_changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Changes:
        """Return rows changed after a version as soon as there are some.

        Raise HistoryLost when the store no longer knows what has changed.
        """
        ...

    async def put_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row; StoreUnavailable leaves open whether it took effect."""
        ...
