"""Access the platform's services over HTTP."""

import base64
import logging

from fescuedrum.conf import schema
from fescuedrum.events.event import log_event
from fescuedrum.events.tables import InstanceNotUnderstood
from fescuedrum.exceptions import HistoryLost, StoreUnavailable
from fescuedrum.platform.caller import DEFAULT_TIMEOUT_SECONDS, PlatformCaller, decode
from fescuedrum.platform.interfaces import Changes, Instance, Row, VersionedRow

logger = logging.getLogger(__name__)

CONFLICT = 409
GONE = 410
NOT_FOUND = 404
# A call that waits for changes gets its response within its wait and this margin.
CHANGES_TIMEOUT_MARGIN_SECONDS = 1.5
# Characters of a text in a line of the log.
LONGEST_QUOTE = 80


def load_instances(lines):
    """Return the instances of a list, without the lines that can't be decoded.

    Otherwise one invalid line would hide all other instances from every process.
    """
    instances = []
    for line in lines:
        loaded = schema.load(Instance, line)
        if loaded.is_err():
            faults = [str(finding) for finding in loaded.err_value[:3]]
            log_event(logger, InstanceNotUnderstood(faults))
        elif faults := find_odd_texts(loaded.ok_value):
            log_event(logger, InstanceNotUnderstood(faults))
        else:
            instances.append(loaded.ok_value)
    return instances


def find_odd_texts(instance):
    """Return a fault for each text of an instance that is not printable.

    Entries choose their connections by a hash of these texts, and one that is no
    Unicode has none.
    """
    values = schema.dump(instance)
    return [
        f"The field {name} is {value[:LONGEST_QUOTE]!r}, which is not printable."
        for name, value in values.items()
        if isinstance(value, str) and not value.isprintable()
    ]


class PlatformClient:
    """Implement Table, ObjectStore, InstanceList and RowStore on one HTTP session."""

    __slots__ = ("caller", "instances", "listing")

    def __init__(self, base_url, session, *, timeout=DEFAULT_TIMEOUT_SECONDS):
        self.caller = PlatformCaller(base_url, session, timeout=timeout)
        # The instance list read last, as bytes and decoded.
        self.listing = b""
        self.instances = []

    async def call(self, method, path, **arguments):
        """Send a request and return (status, body)."""
        return await self.caller.call(method, path, **arguments)

    async def call_json(self, method, path, **arguments):
        """Send a request and return the decoded JSON of the response."""
        _, body = await self.call(method, path, **arguments)
        return decode(body)

    async def get(self, key):
        """Return the row of the table with a key."""
        return load_row(await self.call_json("GET", "/table/row", params={"key": key}))

    async def scan(self, prefix):
        """Return the rows of the table whose keys begin with a prefix."""
        rows = await self.call_json("GET", "/table/scan", params={"prefix": prefix})
        if not isinstance(rows, list):
            raise StoreUnavailable("The platform's rows are no list.")
        return [load_row(row) for row in rows]

    async def transact(self, writes):
        """Apply all writes or none; return False if an expected version differs."""
        payload = [schema.dump(write) for write in writes]
        status, _ = await self.call(
            "POST", "/table/transact", json=payload, accept=(CONFLICT,)
        )
        return status != CONFLICT

    async def get_object(self, name):
        """Return an object's body; None if it does not exist."""
        status, body = await self.call("GET", f"/objects/{name}", accept=(NOT_FOUND,))
        return None if status == NOT_FOUND else body

    async def put_object(self, name, body):
        """Store an object."""
        await self.call("PUT", f"/objects/{name}", data=body)

    async def list_instances(self):
        """Return all listed instances."""
        _, listing = await self.call("GET", "/instances")
        # The list is read often and changes seldom; decoding 1,500 lines is slow.
        if listing != self.listing:
            lines = decode(listing)
            if not isinstance(lines, list):
                raise StoreUnavailable("The platform's instances are no list.")
            self.instances = load_instances(lines)
            self.listing = listing
        return self.instances

    async def read_table(self, table):
        """Return all rows of a table as Changes."""
        found = await self.call_json("GET", f"/tables/{table}")
        return load_changes(found, whole=True)

    async def wait_for_changes(self, table, after, wait_seconds):
        """Return rows changed after a version; raise HistoryLost if it is too old."""
        status, body = await self.call(
            "GET",
            f"/tables/{table}/changes",
            params={"after": str(after), "wait_seconds": str(wait_seconds)},
            accept=(GONE,),
            timeout=wait_seconds + CHANGES_TIMEOUT_MARGIN_SECONDS,
        )
        if status == GONE:
            raise HistoryLost(
                f"The store has no history of {table} after version {after}."
            )
        return load_changes(decode(body), whole=False)

    async def put_row(self, table, key, value):
        """Write a row of a table."""
        await self.call("PUT", f"/tables/{table}/{key}", data=value)


def load_row(data):
    """Return the row of the table in a response's JSON; raise StoreUnavailable."""
    try:
        row = Row(**data)
    except TypeError as error:
        raise StoreUnavailable(f"The platform's row is malformed: {error}.") from error
    if not isinstance(row.value, dict | None) or type(row.version) is not int:
        raise StoreUnavailable(f"The platform's row {row.key!r} is malformed.")
    return row


def load_changes(data, *, whole):
    """Return the changes in a response's JSON; raise StoreUnavailable if malformed."""
    try:
        rows = [
            VersionedRow(
                row["key"],
                None if row["value"] is None else base64.b64decode(row["value"]),
                row["version"],
            )
            for row in data["rows"]
        ]
        return Changes(rows, data["version"], whole)
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnavailable(
            f"The platform's rows are malformed: {error!r}."
        ) from error
