"""Build error responses in the format of the OpenAI interface."""

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

CALLER_PATH_PREFIXES = ("/v1/", "/services/")
CLIENT_ERRORS = range(400, 500)
ERROR_TYPES = {401: "authentication_error", 429: "rate_limit_error"}
# Retry-After holds whole seconds only. At 0, callers of a zone whose entries are all
# stopping would retry in a tight loop.
STOP_RETRY_SECONDS = 1
ERROR_CLASSES = {
    404: UnknownRoute,
    405: MethodNotAllowed,
    431: HeadersTooLarge,
}


def new_request_id():
    """Return a new random request id."""
    return uuid.uuid4().hex


def error_type(status):
    """Return the OpenAI error type for an HTTP status."""
    default = "invalid_request_error" if status in CLIENT_ERRORS else "server_error"
    return ERROR_TYPES.get(status, default)


def error_body(error, request_id):
    """Return the JSON body of an error response."""
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
    """Return the response to an error; the details are added to its body."""
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
        # The unread rest of the caller's data would be parsed as another request.
        response.force_close()
    return response


def stopping_error():
    """Return the error for a request that the process's stop might interrupt."""
    return ProcessStopping("This process stops.", retry_after=STOP_RETRY_SECONDS)


def error_from_status(status):
    """Return the error for a status that the HTTP library has chosen."""
    return ERROR_CLASSES.get(status, BadRequest)()


async def shape_errors(http_request, serve):
    """Serve a request and answer errors on callers' routes in the common format."""
    try:
        return await serve(http_request)
    except web.HTTPException as error:
        if error.status not in CLIENT_ERRORS or not is_caller_route(http_request):
            raise
        return error_response(error_from_status(error.status), new_request_id())
    except ConnectionError:
        raise
    except Exception as error:
        if not is_caller_route(http_request):
            raise
        request_id = new_request_id()
        log_event(logger, RequestHandlerFailed(request_id), error=error)
        return error_response(FescuedrumError(), request_id)


def is_caller_route(http_request):
    """Return whether a request's path belongs to the callers' interface."""
    return http_request.path.startswith(CALLER_PATH_PREFIXES)
