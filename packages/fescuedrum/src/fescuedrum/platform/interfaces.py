"""Define what the system requires of the platform, one protocol for each service."""

import enum
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class Row:
    """Hold a row of the table; version 0 means that the row does not exist."""

    key: str
    value: dict | None
    version: int


@dataclass(slots=True, frozen=True)
class Write:
    """Set a row's value (None deletes it) if its version is still the expected one."""

    key: str
    value: dict | None
    # None writes regardless of the row's version.
    expected_version: int | None


class InstanceState(enum.StrEnum):
    """List the states of an instance."""

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
    # Port where an entry accepts connections of other entries; 0 for none.
    peer_port: int = 0


class Table(Protocol):
    """Access the transactional table; raise StoreUnavailable without a response."""

    async def get(self, key: str) -> Row:
        """Return the row with a key."""
        ...

    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows whose keys begin with a prefix."""
        ...

    async def transact(self, writes: list[Write]) -> bool:
        """Apply all writes or none; return False when an expected version differs.

        After StoreUnavailable the writes may or may not have taken effect.
        """
        ...


class ObjectStore(Protocol):
    """Access the object store; raise StoreUnavailable without a response."""

    async def get_object(self, name: str) -> bytes | None:
        """Return an object's body; None if it does not exist."""
        ...

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        ...


class InstanceList(Protocol):
    """Access the list of instances, which lags behind their real state.

    Methods raise StoreUnavailable without a response.
    """

    async def list_instances(self) -> list[Instance]:
        """Return all listed instances."""
        ...


@dataclass(slots=True, frozen=True)
class VersionedRow:
    """Hold a row as bytes; value None means that it was deleted.

    version comes from a counter of the whole store, which rises with each change.
    """

    key: str
    value: bytes | None
    version: int


@dataclass(slots=True, frozen=True)
class Changes:
    """Hold rows of one table as of a version of the store."""

    rows: list[VersionedRow]
    version: int
    # Whether rows holds the whole table; rows that are absent do not exist then.
    whole: bool = False
    # Number of changed rows that are of another part or can't be read.
    left_out: int = 0


class RowStore(Protocol):
    """Read and follow tables of rows; raise StoreUnavailable without a response."""

    async def read_table(self, table: str) -> Changes:
        """Return all rows of a table."""
        ...

    async def wait_for_changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Changes:
        """Return rows changed after a version as soon as there are some.

        Raise HistoryLost if the store no longer has the changes since that version.
        """
        ...

    async def put_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row; after StoreUnavailable it may or may not have taken effect."""
        ...
