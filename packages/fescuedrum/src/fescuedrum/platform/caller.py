"""Make single calls to the platform over HTTP."""

import json

import aiohttp

from fescuedrum.exceptions import StoreUnavailable

# A healthy store answers within milliseconds, one under stress within some tenths.
DEFAULT_TIMEOUT_SECONDS = 2.0
# Connecting within one place takes milliseconds; a machine that is gone never answers.
CONNECT_SECONDS = 1.0


def decode(body):
    """Decode an answer; an answer that is no JSON is none."""
    try:
        return json.loads(body)
    except ValueError as error:
        raise StoreUnavailable(f"The platform's answer is no JSON: {error}.") from error


class PlatformCaller:
    """Make calls to one base URL; every failure is StoreUnavailable."""

    __slots__ = ("base_url", "session", "timeout")

    def __init__(self, base_url, session, *, timeout=DEFAULT_TIMEOUT_SECONDS):
        self.base_url = base_url.rstrip("/")
        self.session = session
        self.timeout = timeout

    async def call(self, method, path, *, accept=(), timeout=None, **arguments):
        """Return (status, body); raise StoreUnavailable on any other ending."""
        limits = aiohttp.ClientTimeout(
            total=timeout or self.timeout, sock_connect=CONNECT_SECONDS
        )
        try:
            async with self.session.request(
                method, self.base_url + path, timeout=limits, **arguments
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
