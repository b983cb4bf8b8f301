"""Implement the gateway's adapter and its store in memory for tests."""

import asyncio
import contextlib

from fescuedrum.conf.routing import RoutingDocument
from fescuedrum.decisions.placing.presence import ListedEndpoint
from fescuedrum.decisions.placing.ratelimits import Limited, Unlimited
from fescuedrum.exceptions import HistoryLost, RowNotUnderstood, StoreUnavailable
from fescuedrum.headers import end_to_end_headers
from fescuedrum.platform.interfaces import Changes, VersionedRow
from fescuedrum_gateway.adapter import AnswerHead, CallHead, ZoneOut
from fescuedrum_platform import headers as platform_headers

REPLACED = frozenset(
    ("key", "patience", "last-event", "organisation", "endpoint", "content-length")
)


class MemoryRowStore:
    """Implement RowStore; the rows' bytes are keys of Python objects."""

    def __init__(self):
        self.tables = {}
        self.version = 0
        self.away = False
        self.forgotten = -1
        self.changed = asyncio.Event()
        self.objects = {}

    def put(self, table, key, value):
        """Write a row whose value is any object."""
        self.version += 1
        raw = f"{table}/{key}/{self.version}".encode()
        self.objects[raw] = value
        row = VersionedRow(key, raw, self.version)
        self.tables.setdefault(table, {})[key] = row
        self.wake()

    def delete(self, table, key):
        self.version += 1
        self.tables[table][key] = VersionedRow(key, None, self.version)
        self.wake()

    def wake(self):
        """Wake all calls that wait for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    def check(self):
        """Raise StoreUnavailable while the store is away."""
        if self.away:
            raise StoreUnavailable("The store is away.")

    async def read_table(self, table):
        self.check()
        rows = [
            row for row in self.tables.get(table, {}).values() if row.value is not None
        ]
        return Changes(rows, self.version, whole=True)

    async def wait_for_changes(self, table, after, wait_seconds):
        self.check()
        if after < self.forgotten:
            raise HistoryLost
        changed = self.changed
        rows = self.changes(table, after)
        if not rows:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_seconds)
            self.check()
            rows = self.changes(table, after)
        return Changes(rows, self.version)

    def changes(self, table, after):
        """Return the rows of a table that changed after a version, in order."""
        rows = self.tables.get(table, {}).values()
        return sorted(
            (row for row in rows if row.version > after), key=lambda row: row.version
        )

    async def put_row(self, table, key, value):
        self.check()
        self.version += 1
        self.tables.setdefault(table, {})[key] = VersionedRow(key, value, self.version)


class PlainAdapter:
    """Implement the gateway's Adapter with header names of its own."""

    operators_table = "operators"
    endpoints_table = "endpoints"
    gateways_table = "gateways"
    quarantine_table = "quarantine"

    def __init__(self, store):
        self.store = store

    def open_store(self, base_url, session):
        return self.store

    def open_engines(self, session, link_megabits):
        return None

    def read_operators_row(self, row):
        value = self.store.objects[row.value]
        return value if isinstance(value, RoutingDocument | ZoneOut) else None

    def read_endpoint(self, row):
        value = self.store.objects[row.value]
        if not isinstance(value, ListedEndpoint):
            raise RowNotUnderstood("The row is no endpoint.")
        return value

    def read_call(self, headers):
        patience = headers.get("Patience")
        return CallHead(
            request_id=headers.get("Request-Id", ""),
            key=headers.get("Key", ""),
            seconds_left=None if patience is None else float(patience),
            prompt_tokens=int(headers.get("Prompt", 0)),
            maximum_tokens=int(headers.get("Maximum", 0)),
            expected_tokens=int(headers.get("Expected", 0)),
            last_event_id=headers.get("Last-Event", ""),
            headers=end_to_end_headers(headers, without=REPLACED),
            prompt_parts=tuple(headers.get("Parts", "").split()),
            own_part=headers.get("Own-Part", ""),
        )

    def write_call(self, head, send):
        return [
            *head.headers,
            ("Endpoint", send.endpoint_name),
            ("Patience", f"{send.seconds_left:.3f}"),
            ("Organisation", send.organisation),
            ("Last-Event", send.last_event_id),
        ]

    def read_answer(self, status, headers):
        return AnswerHead(
            status=status,
            request_id=headers.get("Request-Id"),
            not_run="Not-Run" in headers,
            signed="Signed" in headers,
            encoded="Content-Encoding" in headers,
            headers=end_to_end_headers(headers, without=frozenset(("content-length",))),
            rate=Limited(float(headers["Rate"])) if "Rate" in headers else Unlimited(),
            rest_seconds=float(headers["Rest"]) if "Rest" in headers else None,
            is_leaving="Leaving" in headers,
        )

    def refusal_headers(self, request_id, retry_after):
        headers = {"Request-Id": request_id}
        if retry_after is not None:
            headers["Retry-After"] = f"{retry_after:.3f}"
        return headers


class PlatformHeadersAdapter(PlainAdapter):
    """Use the header names of the users' platform, and Python objects as rows."""

    read_call = staticmethod(platform_headers.read_call)
    write_call = staticmethod(platform_headers.write_call)
    read_answer = staticmethod(platform_headers.read_answer)
    refusal_headers = staticmethod(platform_headers.refusal_headers)
