"""Serve the status: versions in force, zones out of service, silent members."""

from aiohttp import web

from fescuedrum.conf import schema
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.versions.audit import read_head
from fescuedrum_entry.operators.access import require_role
from fescuedrum_entry.operators.accounts import Role


def add_routes(application, entry):
    """Add the status route."""

    async def show(_):
        return web.json_response(await describe(entry))

    application.router.add_get(
        "/operators/status", require_role(entry, Role.VIEWER, show)
    )


async def describe(entry):
    """Return the status as seen by this entry."""
    try:
        head = (await read_head(entry.platform))[0].version
    except StoreUnavailable:
        head = None
    return {
        "entry": entry.settings.name,
        "zone": entry.settings.zone,
        "in_force": entry.configuration.version,
        # None while the platform does not answer.
        "accepted": head,
        "zones_out": sorted(entry.configuration.zones_out),
        "members": [schema.dump(member) for member in entry.describe_members()],
    }
