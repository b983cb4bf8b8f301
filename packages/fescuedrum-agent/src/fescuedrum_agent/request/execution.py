"""Run one request at the endpoint and fill in its answer."""

import asyncio
import logging

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from fescuedrum.answers.exceptions import MalformedAnswer
from fescuedrum.headers import end_to_end_headers, replace_invalid_utf8
from fescuedrum.logs import request_context
from fescuedrum.once import SendOnceGuard
from fescuedrum.outcomes import Outcome
from fescuedrum.wire.gen.frames.ttypes import Header

logger = logging.getLogger(__name__)

# Headers that the HTTP client must not add if the caller did not send them.
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
SERVER_ERROR = 500


class Execution:
    """Send one request to the endpoint and write the response to its answer."""

    __slots__ = ("answer", "base_url", "request", "session")

    def __init__(self, session, base_url, request, answer):
        self.session = session
        self.base_url = base_url
        self.request = request
        self.answer = answer

    async def run(self):
        """Send the request and set an outcome of the answer, also on errors."""
        set_request_context(self.request)
        started = False
        try:
            async with self.call() as response:
                started = True
                self.answer.start(response.status, encode_headers(response.headers))
                async for data in response.content.iter_any():
                    self.answer.append(data)
                    await self.answer.wait_for_readers()
            self.answer.finish(*classify_status(response.status))
        except aiohttp.ClientConnectorError as error:
            self.answer.unavailable = True
            # No connection was made, so no byte of the request was sent.
            self.answer.finish(Outcome.NOT_RUN, f"connect: {error}")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.answer.unavailable = not isinstance(error, TimeoutError)
            phase = "answer" if started else "request"
            self.answer.finish(Outcome.UNKNOWN, f"{phase} cut: {describe(error)}")
        except asyncio.CancelledError:
            self.answer.finish(Outcome.UNKNOWN, "cancelled")
            raise

    def call(self):
        """Return the context manager of the HTTP request, within its time budget."""
        headers = CIMultiDict(
            (header.name, header.value) for header in self.request.headers or ()
        )
        timeout = aiohttp.ClientTimeout(total=self.request.budget_ms / 1000)
        return self.session.request(
            self.request.method,
            # The path is encoded already; the endpoint may tell `%2F` from `/`.
            URL(self.base_url + self.request.path, encoded=True),
            headers=headers,
            data=self.request.body or None,
            timeout=timeout,
            allow_redirects=False,
            skip_auto_headers=SKIPPED_HEADERS,
            trace_request_ctx=SendOnceGuard(),
        )


def describe(error):
    """Return an error for callers, who get nothing of a broken answer's bytes."""
    return str(error) if isinstance(error, MalformedAnswer) else type(error).__name__


def set_request_context(request):
    """Add the request's id and organisation to the log lines of this task."""
    context = {"request": request.request_id, "organisation": request.organisation}
    request_context.set(context)


def classify_status(status):
    """Return (outcome, reason) for the status of a complete response."""
    if status >= SERVER_ERROR:
        return Outcome.FAILED, f"the endpoint answered {status}"
    return Outcome.ANSWERED, ""


def encode_headers(headers):
    """Return the end-to-end headers as they are sent in frames."""
    return [
        Header(name, replace_invalid_utf8(value))
        for name, value in end_to_end_headers(headers)
    ]
