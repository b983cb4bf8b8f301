"""Send single HTTP requests to the platform."""

import json

import aiohttp

from fescuedrum.answers.connection import read_body
from fescuedrum.exceptions import StoreUnavailable

# A healthy store responds within milliseconds, a loaded one within a few 100 ms.
DEFAULT_TIMEOUT_SECONDS = 2.0
# Connecting within one site takes milliseconds; a host that is down never responds.
CONNECT_SECONDS = 1.0
# A page of rows has a megabyte, an object 8; changes come in one response.
MAXIMUM_RESPONSE_BYTES = 32 * 1024 * 1024


def decode(body):
    """Return a response's JSON; raise StoreUnavailable if it is not JSON."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise StoreUnavailable(
            f"The platform's response is not JSON: {error}."
        ) from error


class PlatformCaller:
    """Send requests to one base URL; every failure raises StoreUnavailable."""

    __slots__ = ("base_url", "session", "timeout")

    def __init__(self, base_url, session, *, timeout=DEFAULT_TIMEOUT_SECONDS):
        self.base_url = base_url.rstrip("/")
        self.session = session
        self.timeout = timeout

    async def call(self, method, path, *, accept=(), timeout=None, **arguments):
        """Return (status, body); raise StoreUnavailable on any failure.

        Statuses other than 200 are failures unless they are in accept.
        """
        limits = aiohttp.ClientTimeout(
            total=timeout or self.timeout, sock_connect=CONNECT_SECONDS
        )
        try:
            async with self.session.request(
                method,
                self.base_url + path,
                timeout=limits,
                allow_redirects=False,
                **arguments,
            ) as response:
                body = await read_body(response, MAXIMUM_RESPONSE_BYTES)
                if response.status == 200 or response.status in accept:
                    return response.status, body
                raise StoreUnavailable(
                    f"The platform responded with status {response.status}."
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailable(
                f"The platform did not respond: {error!r}."
            ) from error

    async def call_json(self, method, path, **arguments):
        """Return the decoded JSON of a response."""
        _, body = await self.call(method, path, **arguments)
        return decode(body)
