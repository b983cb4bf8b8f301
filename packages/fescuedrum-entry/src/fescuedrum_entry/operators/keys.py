"""Show operators what stands under a caller's key."""

from aiohttp import web

from fescuedrum.claims.record import ClaimState
from fescuedrum_entry.operators.access import require_role
from fescuedrum_entry.operators.accounts import Role
from fescuedrum_entry.operators.client import ApiError
from fescuedrum_entry.request.rows import claim_key

ABSENT = "absent"
# What to tell the caller, by the state of the row.
ADVICE = {
    ABSENT: "It never ran, or longer ago than keys are kept. Sending it runs it.",
    ClaimState.OPEN: (
        "It may be running, or its entry died. Sending it again with the same key "
        "finds out and runs it only if it never started."
    ),
    ClaimState.RELEASED: "It did not run. Sending it again with the same key runs it.",
    ClaimState.FINISHED: (
        "It ran once. Sending it again with the same key gives the same answer."
    ),
    ClaimState.LOST: (
        "It may have run, and its agent has restarted: look into the service's own "
        "records. It never runs again under this key; use a new key to order anew."
    ),
}


def add_routes(application, entry):
    """Add the route of keys."""

    async def show(request):
        parts = [request.match_info[name] for name in ("organisation", "service")]
        key = request.match_info["key"]
        claim, version = await entry.claims.read(claim_key(*parts, key))
        return web.json_response(describe_claim(claim, version))

    path = "/operators/keys/{organisation}/{service}/{key}"
    application.router.add_get(path, require_role(entry, Role.VIEWER, show))


def describe_claim(claim, version):
    """Return a row as operators see it: the caller's answer stays untold."""
    if claim is None:
        return {"state": ABSENT, "advice": ADVICE[ABSENT]}
    answer = claim.answer
    return {
        "state": claim.state.value,
        "advice": ADVICE[claim.state],
        "attempt": claim.attempt,
        "agent": claim.agent,
        "agent_incarnation": claim.incarnation,
        "row_version": version,
        "outcome": answer.outcome.value if answer else None,
        "status": answer.status if answer else None,
        "answer_bytes": len(answer.body) if answer else None,
    }


def key_path(name):
    """Return the route of ORGANISATION/SERVICE/KEY; raise ApiError."""
    parts = name.split("/", 2)
    if len(parts) != 3 or not all(parts):
        message = "Name the key as ORGANISATION/SERVICE/KEY."
        raise ApiError({"code": "bad-request", "message": message})
    return f"keys/{name}"


def describe(name, data):
    """Return the lines that tell a reader what stands under a key."""
    yield f"key {name}: {data['state']}"
    if data["state"] != ABSENT:
        yield (
            f"  attempt {data['attempt']} at agent {data['agent']}"
            f" (life {data['agent_incarnation']})"
        )
    if data.get("outcome"):
        size = data["answer_bytes"]
        yield f"  {data['outcome']}, status {data['status']}, {size} bytes recorded"
    yield f"  {data['advice']}"
