"""Parse and validate a caller's HTTP request into a Call."""

import re

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from fescuedrum.conf.document import ServiceKind
from fescuedrum.exceptions import (
    BadRequest,
    BodyTooLarge,
    BodyTooSlow,
    MethodNotAllowed,
    UnknownKey,
    UnknownService,
)
from fescuedrum.headers import end_to_end_headers, is_valid_utf8
from fescuedrum.serving import StopDeadlinePassed
from fescuedrum_entry.request.call import Call, Repetition
from fescuedrum_entry.request.completion import Completion, parse_completion
from fescuedrum_entry.request.errors import stopping_error

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Fescuedrum-Deadline-Ms"
PRIORITY_HEADER = "Fescuedrum-Priority"
CLASS_HEADER = "Fescuedrum-Class"
SINGLE_HEADERS = (
    "Authorization",
    KEY_HEADER,
    DEADLINE_HEADER,
    PRIORITY_HEADER,
    CLASS_HEADER,
)
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
MAXIMUM_DEADLINE_MS = 3_600_000
MAXIMUM_PRIORITY = 9
DEFAULT_PRIORITY = 5
PLAIN_REQUEST_COST = 1.0
CHAT_PATH = "/v1/chat/completions"
# CONNECT requests a tunnel; TRACE would show the caller headers added on the way.
REFUSED_METHODS = frozenset(("CONNECT", "TRACE"))
NOT_FORWARDED_HEADERS = frozenset(
    (
        "authorization",
        "content-length",
        "expect",
        "host",
        "x-forwarded-for",
        "x-forwarded-host",
        "x-forwarded-proto",
    )
)


async def parse_call(http_request, configuration, settings, now, request_id):
    """Return the Call of an HTTP request; raise a FescuedrumError if invalid."""
    check_head(http_request)
    # Authenticate first, so that the body of an unknown caller isn't read.
    organisation = authenticate(http_request, configuration)
    deadline = now + read_deadline(http_request, settings)
    priority = read_priority(http_request, organisation, configuration)
    service = find_plain_service(http_request, configuration)
    body = await read_body(http_request, settings)
    completion = Completion(model="", streamed=False, cost=PLAIN_REQUEST_COST)
    path = raw_path(http_request)
    if service is None:
        service, completion = find_engine_service(http_request, configuration, body)
    else:
        path = path_below(path)
    if DEADLINE_HEADER not in http_request.headers:
        deadline = now + (service.default_deadline_seconds or deadline - now)
    repetition, key = classify(http_request, service)
    return Call(
        request_id=request_id,
        organisation=organisation.name,
        service=service.name,
        method=http_request.method,
        path=path,
        headers=forwarded_headers(http_request),
        body=body,
        repetition=repetition,
        key=key,
        deadline=deadline,
        priority=priority,
        cost=completion.cost,
        model=completion.model,
        prefix=completion.prefix,
        streamed=completion.streamed,
    )


def check_head(http_request):
    """Raise BadRequest for a head that can't be forwarded unchanged."""
    if http_request.method in REFUSED_METHODS:
        raise MethodNotAllowed(f"{http_request.method} is not allowed.")
    if not http_request.raw_path.isascii():
        raise BadRequest("The path is not percent-encoded.", field="path")
    for name, value in http_request.headers.items():
        if not is_valid_utf8(value):
            raise BadRequest(f"The header {name} is not UTF-8.", field=name)
    for name in SINGLE_HEADERS:
        if len(http_request.headers.getall(name, ())) > 1:
            raise BadRequest(f"The header {name} is given more than once.", field=name)


def raw_path(http_request):
    """Return the path and query with their original percent-encoding."""
    path = http_request.raw_path
    # A client may send an absolute URL, as it would to a proxy.
    return path if path.startswith("/") else http_request.rel_url.raw_path_qs


def path_below(path):
    """Return the path below /services/NAME, as sent to the service."""
    rest = path.split("/", 3)[3:]
    return "/" + "".join(rest)


def forwarded_headers(http_request):
    """Return the headers to send to the endpoint."""
    headers = end_to_end_headers(http_request.headers, without=NOT_FORWARDED_HEADERS)
    received_headers = http_request.headers
    forwarded_for = [
        *received_headers.getall("X-Forwarded-For", ()),
        http_request.remote or "unknown",
    ]
    headers.append(("X-Forwarded-For", ", ".join(forwarded_for)))
    # The platform's load balancer sets it; this process sees only the scheme of the
    # balancer's own connection.
    headers.append(
        (
            "X-Forwarded-Proto",
            received_headers.get("X-Forwarded-Proto", http_request.scheme),
        )
    )
    host = received_headers.get("X-Forwarded-Host") or received_headers.get("Host")
    if host:
        headers.append(("X-Forwarded-Host", host))
    return headers


def authenticate(http_request, configuration):
    """Return the organisation of the request's API key; raise UnknownKey."""
    scheme, _, key = http_request.headers.get("Authorization", "").partition(" ")
    organisation = configuration.organisations.get(key.partition(".")[0])
    if scheme.lower() != "bearer" or organisation is None or not key.isascii():
        raise UnknownKey("The request names no known organisation.")
    if not any(key_hash.matches(key) for key_hash in organisation.keys):
        raise UnknownKey("The key is not valid.")
    return organisation


async def read_body(http_request, settings):
    """Return the whole body; raise an error when it is too large or too slow."""
    maximum = settings.maximum_body_bytes
    if (http_request.content_length or 0) > maximum:
        raise BodyTooLarge(f"The body is over {maximum} bytes.")
    if not http_request.body_exists:
        return b""
    try:
        if http_request.content.is_eof():
            # The body arrived with the head, so no timeout is needed.
            return await read_limited(http_request.content, maximum)
        async with http_request.protocol.server.body_timeout(settings.body_seconds):
            return await read_limited(http_request.content, maximum)
    except StopDeadlinePassed as error:
        raise stopping_error() from error
    except TimeoutError as error:
        raise BodyTooSlow(
            f"The body took over {settings.body_seconds} seconds."
        ) from error
    except (HttpProcessingError, aiohttp.ClientPayloadError) as error:
        raise BadRequest(
            "The body is truncated or incorrectly framed.", field="body"
        ) from error


async def read_limited(content, maximum):
    """Read a body to its end; raise BodyTooLarge over the maximum."""
    body = bytearray()
    while not content.at_eof():
        body += await content.readany()
        if len(body) > maximum:
            raise BodyTooLarge(f"The body is over {maximum} bytes.")
    return bytes(body)


def find_plain_service(http_request, configuration):
    """Return the plain service of the path, or None for an engine's path."""
    name = http_request.match_info.get("service")
    if name is None:
        return None
    service = configuration.services.get(name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise UnknownService(f"There is no plain service {name!r}.")
    return service


def find_engine_service(http_request, configuration, body):
    """Return the service of a request's model, and its parsed Completion."""
    if http_request.headers.get("Content-Encoding", "identity") != "identity":
        raise BadRequest("The body is compressed.", field="Content-Encoding")
    chat = http_request.path == CHAT_PATH
    completion = parse_completion(body, chat=chat)
    service = configuration.services_by_model.get(completion.model)
    if service is None:
        raise UnknownService(f"There is no model {completion.model!r}.", field="model")
    return service, completion


def classify(http_request, service):
    """Return how often the request may run, and its key if it has one."""
    key = http_request.headers.get(KEY_HEADER)
    if key is not None and not KEY_PATTERN.fullmatch(key):
        raise BadRequest(
            f"{KEY_HEADER} must be 1 to 200 visible ASCII characters.", field=KEY_HEADER
        )
    if is_idempotent(service, http_request.method):
        return Repetition.IDEMPOTENT, ""
    return (Repetition.KEYED, key) if key else (Repetition.ONCE, "")


def is_idempotent(service, method):
    """Return whether a service's calls of an HTTP method may be repeated."""
    return service.kind is ServiceKind.ENGINE or method in service.idempotent_methods


def read_deadline(http_request, settings):
    """Return the seconds that the caller allows, or the default."""
    default = int(settings.default_deadline_seconds * 1000)
    given = read_number_header(
        http_request, DEADLINE_HEADER, 1, MAXIMUM_DEADLINE_MS, default
    )
    return given / 1000


def read_priority(http_request, organisation, configuration):
    """Return the caller's priority, or that of its class of work."""
    default = DEFAULT_PRIORITY
    allowed = organisation.classes
    name = http_request.headers.get(CLASS_HEADER) or next(iter(allowed), None)
    if name is not None:
        if name not in configuration.classes or (allowed and name not in allowed):
            raise BadRequest(
                f"There is no class {name!r} for the organisation.", field=CLASS_HEADER
            )
        default = configuration.classes[name].priority
    return read_number_header(
        http_request, PRIORITY_HEADER, 0, MAXIMUM_PRIORITY, default
    )


def read_number_header(http_request, name, minimum, maximum, default):
    """Return the integer in a header, or the default without the header."""
    text = http_request.headers.get(name)
    if text is None:
        return default
    # int() accepts digits of other scripts and raises for very long numbers; both are
    # the caller's mistake.
    digits = text.isascii() and text.isdecimal() and len(text) <= len(str(maximum))
    if not digits or not minimum <= int(text) <= maximum:
        raise BadRequest(
            f"{name} is not a number from {minimum} to {maximum}.", field=name
        )
    return int(text)
