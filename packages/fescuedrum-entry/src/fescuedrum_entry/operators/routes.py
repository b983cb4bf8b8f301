"""Add the operators' API to an entry's application."""

from aiohttp import web

from fescuedrum_entry.operators import status
from fescuedrum_entry.operators.access import ACCOUNT, require_role
from fescuedrum_entry.operators.accounts import Role
from fescuedrum_entry.operators.changes import Changes
from fescuedrum_entry.operators.console import routes as console


def add_routes(application, entry):
    """Add the routes of the operators' API."""
    router = application.router
    router.add_get("/operators/me", require_role(entry, Role.VIEWER, show_account))
    Changes(entry).add_routes(router)
    status.add_routes(application, entry)
    console.add_routes(application, entry)


async def show_account(request):
    """Answer with the name and the role of the operator who asks."""
    account = request[ACCOUNT]
    return web.json_response({"name": account.name, "role": account.role})
