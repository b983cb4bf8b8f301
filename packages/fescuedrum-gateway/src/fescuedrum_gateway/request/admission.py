"""Turn an HTTP request into a Call, or refuse it."""

import asyncio

from aiohttp import web

from fescuedrum.conf.routing import choose_service
from fescuedrum.decisions.admitting.fingerprints import fingerprint
from fescuedrum.decisions.admitting.memory import (
    count_tokens,
    is_too_large,
    token_bound,
)
from fescuedrum.decisions.returning.returns import RETRY_RANK_PENALTY
from fescuedrum.exceptions import (
    BodyTooLarge,
    BodyTooSlow,
    DeadlinePassed,
    ProcessStopping,
    RequestTooLarge,
    Unavailable,
    UnknownKey,
    UnknownRoute,
)
from fescuedrum.serving import StopDeadlinePassed
from fescuedrum_gateway.process.holders import HeldRequest
from fescuedrum_gateway.request.call import Call

# Key of what counts the bytes that a request holds.
HELD = web.RequestKey("held", HeldRequest)

# A starting process receives its first configuration within about this time.
UNCONFIGURED_RETRY_SECONDS = 0.5
# Another gateway accepts the request at once.
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
    """Return the organisation of a request's key or None; raise UnknownKey.

    UnknownKey is raised only where keys are needed and the route is not public.
    """
    organisation = table.organisations_by_key.get(head.key) if head.key else None
    if organisation is None and table.needs_keys and not route.public:
        raise UnknownKey("The request's key belongs to no organisation.")
    return organisation


async def read_body_within(gateway, seconds, http_request, limit):
    """Return the whole body; raise an error if it can't be read.

    Raise BodyTooLarge, BodyTooSlow, Overloaded for lack of memory or ProcessStopping.

    A caller's link may break in the middle of a body without any sign of it. Without a
    time limit the request would hang, and delay the stop of the process, long after the
    caller has given up.
    """
    try:
        async with gateway.caller_server.body_timeout(seconds):
            return await read_body(http_request, limit, gateway.memory)
    except StopDeadlinePassed:
        raise build_stopping_error() from None
    except TimeoutError:
        raise BodyTooSlow("It did not arrive before the caller's deadline.") from None


async def read_body(http_request, limit, memory):
    """Return the whole body; raise BodyTooLarge, or Overloaded for lack of memory."""
    if (http_request.content_length or 0) > limit:
        raise BodyTooLarge(f"At most {limit} bytes are taken.")
    if not http_request.can_read_body:
        return b""
    chunks, size = [], 0
    content = http_request.content
    async with memory.reading(content, http_request.content_length) as reading:
        while chunk := await content.readany():
            chunks.append(chunk)
            size += len(chunk)
            memory.received(reading)
            if size > limit:
                raise BodyTooLarge(f"At most {limit} bytes are taken.")
    return b"".join(chunks)


def count_call_tokens(head, service, gateway):
    """Return how many tokens a call holds at an engine; raise RequestTooLarge."""
    tokens = count_tokens(head.prompt_tokens, head.maximum_tokens, head.expected_tokens)
    capacity = gateway.configuration.table.token_capacity(service)
    if is_too_large(tokens, capacity):
        gateway.metrics.requests_too_large.labels(service).inc()
        raise RequestTooLarge(
            f"It needs {tokens} tokens; an engine of {service} has room for "
            f"{token_bound(capacity)}."
        )
    return tokens


def compute_deadline(arrived, head, route):
    """Return the caller's deadline, or that of the route's timeout if it is earlier."""
    seconds_left = route.timeout if head.seconds_left is None else head.seconds_left
    return arrived + min(seconds_left, route.timeout)


def call_priority(route, organisation, *, is_caller_retry):
    """Return the priority of a call, 0 being the most urgent.

    Calls of callers who retry are less urgent, as they are late in any case.
    """
    priority = route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    return priority + RETRY_RANK_PENALTY if is_caller_retry else priority


def build_stopping_error():
    """Return the error for work that the end of this process might cut off."""
    return ProcessStopping("This process stops.", retry_after=STOP_RETRY_SECONDS)


async def admit(http_request, head, gateway, arrived):
    """Return the Call of a request; raise a FescuedrumError to refuse it."""
    table = gateway.configuration.table
    if table is None:
        raise Unavailable(
            "No configuration is in force yet.", retry_after=UNCONFIGURED_RETRY_SECONDS
        )
    route = find_route(http_request, table)
    organisation = authenticate(head, route, table)
    deadline = compute_deadline(arrived, head, route)
    plan = gateway.stop_plan
    if plan is not None and not plan.accepts(arrived, deadline):
        raise build_stopping_error()
    service = choose_service(route, gateway.random)
    tokens = count_call_tokens(head, service, gateway)
    limit = table.document.limits.maximum_body_bytes
    seconds_left = deadline - asyncio.get_running_loop().time()
    held = http_request[HELD] = gateway.memory.hold_request()
    held.keep_body(await read_body_within(gateway, seconds_left, http_request, limit))
    if asyncio.get_running_loop().time() >= deadline:
        raise DeadlinePassed("The caller's deadline passed before it was read.")
    is_caller_retry = not gateway.patience_trackers[route.name].is_fresh(
        head.seconds_left
    )
    name = organisation.name if organisation else ""
    method, target = http_request.method, http_request.raw_path
    call = Call(
        head=head,
        route=route,
        service=service,
        organisation=name,
        priority=call_priority(route, organisation, is_caller_retry=is_caller_retry),
        is_caller_retry=is_caller_retry,
        method=method,
        target=target,
        fingerprint=fingerprint(name, head.own_part, method, target, held.body),
        held=held,
        tokens=tokens,
        arrived=arrived,
        deadline=deadline,
    )
    gateway.quarantine.raise_if_quarantined(call.traits)
    return call
