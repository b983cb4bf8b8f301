"""Turn a caller's HTTP request into a call, or refuse it before it costs anything."""

import json
import uuid

from fescuedrum.conf.document import ServiceKind
from fescuedrum.exceptions import BadRequest, BodyTooLarge, UnknownKey, UnknownService
from fescuedrum_entry.request.call import Call, Repetition

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Fescuedrum-Deadline-Ms"
PRIORITY_HEADER = "Fescuedrum-Priority"
MAXIMUM_KEY_LENGTH = 200
BYTES_PER_TOKEN = 4
DEFAULT_GENERATED_TOKENS = 64
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
OWN_HEADERS = frozenset(("host", "authorization", "content-length", "connection"))


async def parse_call(http_request, configuration, settings, now):
    """Build the call; raise BadRequest or a kind of it."""
    organisation = authenticate(http_request, configuration)
    body = await read_body(http_request, settings.maximum_body_bytes)
    service, path, cost = find_service(http_request, configuration, body)
    repetition, key = classify(http_request, service)
    return Call(
        request_id=uuid.uuid4().hex,
        organisation=organisation.name,
        service=service.name,
        method=http_request.method,
        path=path,
        headers=[
            (name, value)
            for name, value in http_request.headers.items()
            if name.lower() not in OWN_HEADERS
        ],
        body=body,
        repetition=repetition,
        key=key,
        deadline=now + read_deadline(http_request, settings),
        priority=read_number(http_request, PRIORITY_HEADER, 0, 9, 5),
        cost=cost,
    )


def authenticate(http_request, configuration):
    scheme, _, key = http_request.headers.get("Authorization", "").partition(" ")
    organisation = configuration.organisations.get(key.partition(".")[0])
    if scheme.lower() != "bearer" or organisation is None:
        raise UnknownKey("The request names no known organisation.")
    if not any(key_hash.matches(key) for key_hash in organisation.keys):
        raise UnknownKey("The key is not valid.")
    return organisation


async def read_body(http_request, maximum):
    if (http_request.content_length or 0) > maximum:
        raise BodyTooLarge(f"The body is over {maximum} bytes.")
    body = await http_request.content.read(maximum + 1)
    while not http_request.content.at_eof():
        body += await http_request.content.read(maximum + 1)
        if len(body) > maximum:
            raise BodyTooLarge(f"The body is over {maximum} bytes.")
    return body


def find_service(http_request, configuration, body):
    name = http_request.match_info.get("service")
    if name is None:
        return find_engine(http_request, configuration, body)
    service = configuration.services.get(name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise UnknownService(f"There is no plain service {name!r}.")
    path = "/" + http_request.match_info["rest"]
    if http_request.query_string:
        path += "?" + http_request.query_string
    return service, path, 1.0


def find_engine(http_request, configuration, body):
    try:
        data = json.loads(body)
        model = data["model"]
        generated = int(data.get("max_tokens", DEFAULT_GENERATED_TOKENS))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadRequest(f"The body is no completion request: {error!r}.") from error
    service = configuration.services_by_model.get(model)
    if service is None:
        raise UnknownService(f"There is no model {model!r}.")
    return service, http_request.path, len(body) / BYTES_PER_TOKEN + generated


def classify(http_request, service):
    key = http_request.headers.get(KEY_HEADER, "")
    if len(key) > MAXIMUM_KEY_LENGTH:
        raise BadRequest(f"{KEY_HEADER} is over {MAXIMUM_KEY_LENGTH} characters.")
    if service.kind is ServiceKind.ENGINE or http_request.method in IDEMPOTENT_METHODS:
        return Repetition.IDEMPOTENT, ""
    return (Repetition.KEYED, key) if key else (Repetition.ONCE, "")


def read_deadline(http_request, settings):
    default = int(settings.default_deadline_seconds * 1000)
    return read_number(http_request, DEADLINE_HEADER, 1, 3_600_000, default) / 1000


def read_number(http_request, name, minimum, maximum, default):
    text = http_request.headers.get(name)
    if text is None:
        return default
    if not text.isdecimal() or not minimum <= int(text) <= maximum:
        raise BadRequest(f"{name} is not a number from {minimum} to {maximum}.")
    return int(text)
