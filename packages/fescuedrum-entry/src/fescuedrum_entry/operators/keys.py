"""Serve the stored claim of an idempotency key to operators."""

from aiohttp import web

from fescuedrum.claims import record
from fescuedrum.claims.record import ClaimState
from fescuedrum.exceptions import BadRequest, UnknownClaim
from fescuedrum_entry.operators.access import require_role
from fescuedrum_entry.operators.accounts import Role
from fescuedrum_entry.request.rows import claim_key

PARAMETERS = ("organisation", "service", "key")
MEANINGS = {
    ClaimState.OPEN: (
        "It may be running at its agent or may have run there. A repeat under the key "
        "asks that agent and gets the answer."
    ),
    ClaimState.RELEASED: "It never ran; a repeat under the key may run it.",
    ClaimState.FINISHED: "It ran to its end; a repeat under the key runs nothing.",
    ClaimState.LOST: (
        "It may have run, and its agent's memory is gone; it will not be run again. "
        "Look at the service's own records."
    ),
}


def add_routes(application, entry):
    """Add the route that looks up idempotency keys."""

    async def show(request):
        names = [request.query.get(name, "") for name in PARAMETERS]
        if not all(names):
            raise BadRequest(f"Name {', '.join(PARAMETERS)} in the query.")
        row = await entry.platform.get(claim_key(*names))
        if row.value is None:
            raise UnknownClaim("Nothing was dispatched under this key.")
        return web.json_response(describe_claim(record.parse(row.value)))

    application.router.add_get(
        "/operators/keys", require_role(entry, Role.VIEWER, show)
    )


def describe_claim(claim):
    """Return a claim as JSON values, without the answer's body (private data)."""
    described = {
        "state": claim.state.value,
        "meaning": MEANINGS[claim.state],
        "attempt": claim.attempt,
        "agent": claim.agent,
        "incarnation": claim.incarnation,
    }
    if claim.answer is not None:
        described |= {
            "status": claim.answer.status,
            "outcome": claim.answer.outcome.value,
            "bytes": len(claim.answer.body),
        }
    return described
