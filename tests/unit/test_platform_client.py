"""Check that invalid responses of the platform are handled."""

import json

import pytest

from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.client import PlatformClient, load_instances

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
