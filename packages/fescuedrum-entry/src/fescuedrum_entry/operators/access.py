"""Protect the operators' routes with tokens, roles and a sign-in limit."""

import asyncio
import functools

from aiohttp import web

from fescuedrum.exceptions import FescuedrumError, NotSignedIn, TooManySignIns
from fescuedrum_entry.operators.accounts import check_role, find_account
from fescuedrum_entry.request.errors import error_response, new_request_id

ACCOUNT = web.RequestKey("account", object)
FAILURES_BEFORE_LIMIT = 10
FAILURE_WINDOW_SECONDS = 60.0
MAXIMUM_ADDRESSES = 1000


class SignInLimit:
    """Count failed sign-ins of each address and refuse those that guess tokens."""

    __slots__ = ("failures",)

    def __init__(self):
        self.failures = {}

    def check(self, address, now):
        """Raise TooManySignIns if the address failed too often within the window."""
        if len(self.recent_failures(address, now)) >= FAILURES_BEFORE_LIMIT:
            raise TooManySignIns("", retry_after=int(FAILURE_WINDOW_SECONDS))

    def record_failure(self, address, now):
        """Count a failed sign-in; if full, drop the address idle the longest."""
        times = [*self.recent_failures(address, now), now]
        self.failures.pop(address, None)
        self.failures[address] = times
        if len(self.failures) > MAXIMUM_ADDRESSES:
            self.failures.pop(next(iter(self.failures)))

    def recent_failures(self, address, now):
        """Return the times of the address's failures within the window."""
        since = now - FAILURE_WINDOW_SECONDS
        return [
            failed_at
            for failed_at in self.failures.get(address, ())
            if failed_at > since
        ]


def sign_in(entry, request, token):
    """Return the account of a token; raise NotSignedIn or TooManySignIns."""
    now = asyncio.get_running_loop().time()
    limit = entry.sign_in_limit
    limit.check(request.remote, now)
    try:
        return find_account(entry.settings.operators, token)
    except NotSignedIn:
        limit.record_failure(request.remote, now)
        raise


def require_role(entry, role, handler):
    """Return a route's handler that requires an operator of this role or above.

    The handler finds the operator's account in request[ACCOUNT]. A FescuedrumError
    that it raises is answered with the usual error body.
    """

    @functools.wraps(handler)
    async def protected(request):
        try:
            scheme, _, token = request.headers.get("Authorization", "").partition(" ")
            if scheme.lower() != "bearer":
                raise NotSignedIn("The request carries no token.")
            account = sign_in(entry, request, token)
            check_role(account, role)
            request[ACCOUNT] = account
            return await handler(request)
        except FescuedrumError as error:
            return error_response(error, new_request_id())

    return protected
