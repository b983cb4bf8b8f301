"""Check that faulty answers of the platform harm nobody."""

import json

import pytest

from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.client import PlatformClient, load_instances

LINE = {"name": "a", "role": "agent", "zone": "z", "host": "127.0.0.1", "port": 1}


class Answering(PlatformClient):
    """Give bodies in turn in place of HTTP."""

    __slots__ = ("bodies",)

    def __init__(self, *bodies):
        super().__init__("http://x", None)
        self.bodies = [*bodies]

    async def call(self, *_, **__):
        return 200, self.bodies.pop(0)


def test_one_odd_line_does_not_hide_the_other_instances():
    """A new kind of instance is listed, and entries stop following the whole list."""
    lines = [LINE | {"state": "dreaming"}, LINE, {"name": 3}]
    assert [each.name for each in load_instances(lines)] == ["a"]


async def test_an_answer_that_is_no_json_is_an_outage_not_a_crash():
    client = Answering(b"<html>", b"<html>")
    with pytest.raises(StoreUnavailable):
        await client.list_instances()
    with pytest.raises(StoreUnavailable):
        await client.get("configuration/head")


async def test_a_list_that_did_not_change_is_built_once():
    body = json.dumps([LINE]).encode()
    client = Answering(body, body, b"[]")
    first = await client.list_instances()
    assert await client.list_instances() is first
    assert await client.list_instances() == []
