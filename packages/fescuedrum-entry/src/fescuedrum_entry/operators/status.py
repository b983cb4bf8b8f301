"""Tell operators who runs which version and who is silent."""

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
    """Return the status as this entry sees it."""
    try:
        head = (await read_head(entry.platform))[0].version
    except StoreUnavailable:
        head = None
    return {
        "entry": entry.settings.name,
        "zone": entry.settings.zone,
        "in_force": entry.configuration.version,
        # None while the platform gives no answer.
        "accepted": head,
        "zones_out": sorted(entry.configuration.zones_out),
        "members": [schema.dump(member) for member in entry.describe_members()],
    }
