"""Serve the report of the fairness monitor to operators."""

import asyncio

from aiohttp import web

from fescuedrum_entry.operators.access import require_role
from fescuedrum_entry.operators.accounts import Role


def add_routes(application, entry):
    """Add the route of the fairness report."""

    async def show(_):
        now = asyncio.get_running_loop().time()
        return web.json_response(entry.fairness.report(now))

    application.router.add_get(
        "/operators/fairness", require_role(entry, Role.VIEWER, show)
    )
