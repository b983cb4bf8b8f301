"""Reach the platform's services over HTTP."""

import json
import logging

import aiohttp

from fescuedrum.conf import schema
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.interfaces import Instance, Row

logger = logging.getLogger(__name__)

CONFLICT = 409
NOT_FOUND = 404


def decode(body):
    """Decode an answer; an answer that is no JSON is none."""
    try:
        return json.loads(body)
    except ValueError as error:
        raise StoreUnavailable(f"The platform's answer is no JSON: {error}.") from error


def load_instances(lines):
    """Build the instances of a list; leave out lines that are not understood.

    One odd line would otherwise keep every process from learning of all the others.
    """
    instances = []
    for line in lines:
        loaded = schema.load(Instance, line)
        if loaded.is_ok():
            instances.append(loaded.ok_value)
        else:
            faults = [str(finding) for finding in loaded.err_value[:3]]
            logger.warning("instance not understood", extra={"faults": faults})
    return instances


class PlatformClient:
    """Implement Table, ObjectStore and InstanceList on one HTTP session."""

    __slots__ = ("base_url", "instances", "listing", "session", "timeout")

    def __init__(self, base_url, session, *, timeout=2.0):
        self.base_url = base_url.rstrip("/")
        self.session = session
        # The list read last, as bytes and as instances.
        self.listing = b""
        self.instances = []
        self.timeout = aiohttp.ClientTimeout(total=timeout)

    async def call(self, method, path, *, accept=(), **arguments):
        """Return (status, body); raise StoreUnavailable on any other ending."""
        try:
            async with self.session.request(
                method, self.base_url + path, timeout=self.timeout, **arguments
            ) as response:
                body = await response.read()
                if response.status == 200 or response.status in accept:
                    return response.status, body
                raise StoreUnavailable(f"The platform answered {response.status}.")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailable(
                f"The platform gave no answer: {error!r}."
            ) from error

    async def call_json(self, method, path, **arguments):
        _, body = await self.call(method, path, **arguments)
        return decode(body)

    async def get(self, key):
        row = await self.call_json("GET", "/table/row", params={"key": key})
        return Row(**row)

    async def scan(self, prefix):
        rows = await self.call_json("GET", "/table/scan", params={"prefix": prefix})
        return [Row(**row) for row in rows]

    async def transact(self, writes):
        payload = [schema.dump(write) for write in writes]
        status, _ = await self.call(
            "POST", "/table/transact", json=payload, accept=(CONFLICT,)
        )
        return status != CONFLICT

    async def get_object(self, name):
        status, body = await self.call("GET", f"/objects/{name}", accept=(NOT_FOUND,))
        return None if status == NOT_FOUND else body

    async def put_object(self, name, body):
        await self.call("PUT", f"/objects/{name}", data=body)

    async def list_instances(self):
        _, listing = await self.call("GET", "/instances")
        # It is read often and changes seldom; building 1,500 lines takes long.
        if listing != self.listing:
            self.instances = load_instances(decode(listing))
            self.listing = listing
        return self.instances
