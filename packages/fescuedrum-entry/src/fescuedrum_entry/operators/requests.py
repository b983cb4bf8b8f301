"""Serve the traces of requests to operators."""

from aiohttp import web

from fescuedrum.conf import schema
from fescuedrum.exceptions import UnknownRequest
from fescuedrum_entry.operators.access import require_role
from fescuedrum_entry.operators.accounts import Role

MAXIMUM_LISTED = 200


def add_routes(application, entry):
    """Add the routes that list and show traces."""
    router = application.router
    traces = entry.traces

    async def show(request):
        trace = traces.find(request.match_info["id"])
        if trace is None:
            raise UnknownRequest(f"{entry.settings.name} holds no such request.")
        return web.json_response({"entry": entry.settings.name} | schema.dump(trace))

    async def list_kept(request):
        organisation = request.query.get("organisation", "")
        found = traces.recent(MAXIMUM_LISTED, organisation)
        return web.json_response({"requests": [summarise(trace) for trace in found]})

    router.add_get("/operators/requests", require_role(entry, Role.VIEWER, list_kept))
    router.add_get("/operators/requests/{id}", require_role(entry, Role.VIEWER, show))


def summarise(trace):
    """Return the summary of a trace for a list."""
    return {
        "request_id": trace.request_id,
        "organisation": trace.organisation,
        "service": trace.service,
        "outcome": trace.outcome,
        "code": trace.code,
        "attempts": trace.attempts,
        "seconds": trace.seconds,
    }


def describe(data):
    """Yield lines of text that show where a request waited and why."""
    budget = data["budget"]
    yield f"request {data['request_id']} at entry {data['entry']}"
    yield (
        f"  {data['organisation'] or 'unknown organisation'}, service"
        f" {data['service'] or 'unknown'}, {data['method']}, {data['repetition']},"
        f" priority {data['priority']}, {budget:.1f} s given, version {data['version']}"
    )
    last = 0.0
    for event in data["events"]:
        details = ", ".join(
            f"{name} {value}" for name, value in event["details"].items()
        )
        waited = event["at"] - last
        last = event["at"]
        yield f"  {event['at']:9.4f} s (+{waited:.4f})  {event['step']:8} {details}"
    if data["seconds"] is None:
        yield "  still running"
        return
    yield (
        f"  {data['seconds']:9.4f} s  {data['outcome']} ({data['code']})"
        f" after {data['attempts']} attempts {data['message']}".rstrip()
    )
