"""Tell callers of errors, each in the one shape of the OpenAI interface."""

import logging
import uuid

from aiohttp import web

from fescuedrum.events.event import log_event
from fescuedrum.events.requests import RequestHandlerFailed
from fescuedrum.exceptions import (
    BadRequest,
    FescuedrumError,
    HeadersTooLarge,
    MethodNotAllowed,
    ProcessStopping,
    UnknownRoute,
)
from fescuedrum.outcomes import OUTCOME_HEADER, REQUEST_ID_HEADER

logger = logging.getLogger(__name__)

CALLERS_PATHS = ("/v1/", "/services/")
CLIENT_ERRORS = range(400, 500)
TYPES = {401: "authentication_error", 429: "rate_limit_error"}
# The header knows whole seconds only, and at 0 the callers of a zone whose entries all
# stop would turn in a circle.
STOP_RETRY_SECONDS = 1
ERROR_KINDS = {
    404: UnknownRoute,
    405: MethodNotAllowed,
    431: HeadersTooLarge,
}


def new_request_id():
    return uuid.uuid4().hex


def error_type(status):
    default = "invalid_request_error" if status in CLIENT_ERRORS else "server_error"
    return TYPES.get(status, default)


def error_body(error, request_id):
    """Describe an error for a caller's program and for a reader."""
    return {
        "error": {
            "message": str(error),
            "type": error_type(error.status),
            "param": error.field,
            "code": error.code,
            "outcome": error.outcome.value,
            "request_id": request_id,
        }
    }


def error_response(error, request_id, **details):
    """Answer with an error; details are added to its body."""
    headers = {
        OUTCOME_HEADER: error.outcome.value,
        REQUEST_ID_HEADER: request_id,
    }
    if error.retry_after is not None:
        headers["Retry-After"] = str(error.retry_after)
    body = error_body(error, request_id)
    body["error"] |= details
    response = web.json_response(body, status=error.status, headers=headers)
    if error.closes_connection:
        # The rest of what the caller sends would be read as another request.
        response.force_close()
    return response


def stopping_error():
    """Return the refusal of what the end of this process might cut."""
    return ProcessStopping("This process stops.", retry_after=STOP_RETRY_SECONDS)


def from_status(status):
    """Return the error kind for a status that the HTTP library chose."""
    return ERROR_KINDS.get(status, BadRequest)()


async def shape_errors(http_request, serve):
    """Give the library's own refusals on the callers' routes the common shape."""
    try:
        return await serve(http_request)
    except web.HTTPException as error:
        if error.status not in CLIENT_ERRORS or not is_callers(http_request):
            raise
        return error_response(from_status(error.status), new_request_id())
    except ConnectionError:
        raise
    except Exception as error:
        if not is_callers(http_request):
            raise
        request_id = new_request_id()
        log_event(logger, RequestHandlerFailed(request_id), error=error)
        return error_response(FescuedrumError(), request_id)


def is_callers(http_request):
    return http_request.path.startswith(CALLERS_PATHS)
