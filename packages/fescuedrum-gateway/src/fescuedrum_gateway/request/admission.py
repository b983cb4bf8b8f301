"""Turn an HTTP request into a call, or refuse it."""

import asyncio

from fescuedrum.conf.routing import choose_service
from fescuedrum.decisions.returns import RETRY_RANK_PENALTY
from fescuedrum.exceptions import (
    BodyTooLarge,
    BodyTooSlow,
    DeadlinePassed,
    ProcessStopping,
    Unavailable,
    UnknownKey,
    UnknownRoute,
)
from fescuedrum.serving import StopDeadlinePassed
from fescuedrum_gateway.request.call import Call

# A process that starts gets its first configuration within about this time.
UNCONFIGURED_RETRY_SECONDS = 0.5
# Another gateway takes the request at once.
STOP_RETRY_SECONDS = 0.05


def find_route(http_request, table):
    """Return the route of a request; raise UnknownRoute."""
    path = http_request.raw_path.partition("?")[0]
    host = (http_request.headers.get("Host") or "").partition(":")[0].lower()
    route = table.find_route(host, path)
    if route is None:
        raise UnknownRoute(f"No route leads from {host}{path}.")
    return route


def authenticate(head, route, table):
    """Return the organisation of a request's key, or None; raise UnknownKey."""
    organisation = table.organisations_by_key.get(head.key) if head.key else None
    if organisation is None and table.needs_keys and not route.public:
        raise UnknownKey("The request's key belongs to no organisation.")
    return organisation


async def read_body_within(gateway, seconds, http_request, limit):
    """Return the whole body; raise BodyTooLarge, BodyTooSlow or ProcessStopping.

    A caller's link may break in the middle of a body. Nothing shows it, and the request
    would hang, and hold up the stop of its process, long after the caller gave it up.
    """
    try:
        async with gateway.callers.body_timeout(seconds):
            return await read_body(http_request, limit)
    except StopDeadlinePassed:
        raise refuse_at_stop() from None
    except TimeoutError:
        raise BodyTooSlow("Not all of it came in the caller's time.") from None


async def read_body(http_request, limit):
    """Return the whole body; raise BodyTooLarge."""
    if (http_request.content_length or 0) > limit:
        raise BodyTooLarge(f"At most {limit} bytes are taken.")
    if not http_request.can_read_body:
        return b""
    body = bytearray()
    while chunk := await http_request.content.readany():
        body.extend(chunk)
        if len(body) > limit:
            raise BodyTooLarge(f"At most {limit} bytes are taken.")
    return bytes(body)


def ends_at(arrived, head, route):
    """Return when a caller, or the operators' timeout, gives the request up."""
    patience = route.timeout if head.patience is None else head.patience
    return arrived + min(patience, route.timeout)


def rank_call(route, organisation, *, is_caller_retry):
    """Return how urgent a call is, 0 being first; callers who come back go behind."""
    priority = route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    return priority + RETRY_RANK_PENALTY if is_caller_retry else priority


def refuse_at_stop():
    """Return the error for work that the end of this process might cut."""
    return ProcessStopping("This process stops.", retry_after=STOP_RETRY_SECONDS)


async def admit(http_request, head, gateway, arrived):
    """Return the call of a request; raise a FescuedrumError that refuses it."""
    table = gateway.configuration.table
    if table is None:
        raise Unavailable(
            "No configuration is in force yet.", retry_after=UNCONFIGURED_RETRY_SECONDS
        )
    route = find_route(http_request, table)
    organisation = authenticate(head, route, table)
    end = ends_at(arrived, head, route)
    plan = gateway.stop_plan
    if plan is not None and not plan.accepts(arrived, end):
        raise refuse_at_stop()
    limit = table.document.limits.maximum_body_bytes
    left = end - asyncio.get_running_loop().time()
    body = await read_body_within(gateway, left, http_request, limit)
    if asyncio.get_running_loop().time() >= end:
        raise DeadlinePassed("The caller's time was over before it was read.")
    is_caller_retry = not gateway.patience[route.name].is_fresh(head.patience)
    return Call(
        head=head,
        route=route,
        service=choose_service(route, gateway.random),
        organisation=organisation.name if organisation else "",
        priority=rank_call(route, organisation, is_caller_retry=is_caller_retry),
        is_caller_retry=is_caller_retry,
        method=http_request.method,
        target=http_request.raw_path,
        body=body,
        arrived=arrived,
        ends_at=end,
    )
