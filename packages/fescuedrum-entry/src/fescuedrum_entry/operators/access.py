"""Protect the operators' routes with tokens, roles and a limit on sign-ins."""

import asyncio
import functools

from aiohttp import web

from fescuedrum.exceptions import FescuedrumError, NotSignedIn, TooManySignIns
from fescuedrum_entry.operators.accounts import check_role, find_account
from fescuedrum_entry.request.errors import error_response, new_request_id

ACCOUNT = web.RequestKey("account", object)
FAILURES_BEFORE_LIMIT = 10
FAILURE_WINDOW_SECONDS = 60.0
REMEMBERED_ADDRESSES = 1000


class SignInLimit:
    """Refuse an address that failed to sign in too often; guards against guessing."""

    __slots__ = ("failures",)

    def __init__(self):
        self.failures = {}

    def check(self, address, now):
        """Raise TooManySignIns when the address has used up its failures."""
        if len(self.recent(address, now)) >= FAILURES_BEFORE_LIMIT:
            raise TooManySignIns("", retry_after=int(FAILURE_WINDOW_SECONDS))

    def failed(self, address, now):
        """Count a failed sign-in; the address seen longest ago is forgotten first."""
        times = [*self.recent(address, now), now]
        self.failures.pop(address, None)
        self.failures[address] = times
        if len(self.failures) > REMEMBERED_ADDRESSES:
            self.failures.pop(next(iter(self.failures)))

    def recent(self, address, now):
        since = now - FAILURE_WINDOW_SECONDS
        return [moment for moment in self.failures.get(address, ()) if moment > since]


def sign_in(entry, request, token):
    """Return the account that a token names; raise NotSignedIn or TooManySignIns."""
    now = asyncio.get_running_loop().time()
    limit = entry.sign_in_limit
    limit.check(request.remote, now)
    try:
        return find_account(entry.settings.operators, token)
    except NotSignedIn:
        limit.failed(request.remote, now)
        raise


def require_role(entry, role, handler):
    """Wrap a route's handler: it runs only for operators of this role or above.

    The handler finds the operator's account in request[ACCOUNT]. A FescuedrumError
    that it raises becomes an error body of the usual shape.
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
