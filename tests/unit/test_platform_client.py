"""Check that invalid responses of the platform are handled."""

import json

import pytest

from fescuedrum.conf import document as documents
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.client import PlatformClient, load_instances
from fescuedrum.platform.interfaces import Row
from fescuedrum.versions.records import HEAD_KEY, load_head

LINE = {"name": "a", "role": "agent", "zone": "z", "host": "127.0.0.1", "port": 1}


class ScriptedClient(PlatformClient):
    """Return the given bodies in turn instead of sending HTTP requests."""

    __slots__ = ("bodies",)

    def __init__(self, *bodies):
        super().__init__("http://x", None)
        self.bodies = [*bodies]

    async def call(self, *_, **__):
        return 200, self.bodies.pop(0)


def test_an_invalid_line_does_not_hide_the_other_instances():
    """A new kind of instance in the list would make entries reject the whole list."""
    lines = [LINE | {"state": "dreaming"}, LINE, {"name": 3}]
    assert [each.name for each in load_instances(lines)] == ["a"]


@pytest.mark.parametrize("field", ["name", "role", "zone", "host", "service"])
def test_a_line_with_a_text_that_is_not_printable_is_left_out(field):
    """Guard against processes that end at a name that can't be hashed."""
    lines = [LINE | {field: "\ud800"}, LINE | {field: "a\0b"}, LINE]
    assert load_instances(lines) == load_instances([LINE])


async def test_a_response_that_is_not_json_raises_store_unavailable():
    client = ScriptedClient(b"<html>", b"<html>")
    with pytest.raises(StoreUnavailable):
        await client.list_instances()
    with pytest.raises(StoreUnavailable):
        await client.get("configuration/head")


async def test_an_unchanged_list_is_decoded_once():
    body = json.dumps([LINE]).encode()
    client = ScriptedClient(body, body, b"[]")
    first = await client.list_instances()
    assert await client.list_instances() is first
    assert await client.list_instances() == []


@pytest.mark.parametrize(
    "row",
    [
        [],
        7,
        {"key": "k", "value": {}},
        {"key": "k", "value": [], "version": 1},
        {"key": "k", "value": {}, "version": "1"},
        {"key": "k", "value": {}, "version": 1, "more": 1},
    ],
)
async def test_a_malformed_row_raises_store_unavailable(row):
    """Guard against a task that ends at one odd row."""
    client = ScriptedClient(json.dumps(row).encode(), json.dumps([row]).encode())
    with pytest.raises(StoreUnavailable):
        await client.get("k")
    with pytest.raises(StoreUnavailable):
        await client.scan("k")


@pytest.mark.parametrize("body", [b"7", b"{}", b"[" * 100_000])
async def test_a_malformed_list_raises_store_unavailable(body):
    """Guard against a task that ends at an odd list."""
    client = ScriptedClient(body, body)
    with pytest.raises(StoreUnavailable):
        await client.list_instances()
    with pytest.raises(StoreUnavailable):
        await client.scan("k")


@pytest.mark.parametrize("value", [{"version": "1"}, {"version": 1, "hash": 7}])
def test_a_malformed_head_raises_store_unavailable(value):
    """Guard against an entry that ends at an odd head row."""
    with pytest.raises(StoreUnavailable, match="head"):
        load_head(Row(HEAD_KEY, value, 1))


def test_a_deeply_nested_document_is_refused():
    """Guard against an entry that ends at a document nested without bound."""
    assert documents.decode(b"[" * 100_000).is_err()
