"""Send requests as callers do and record their outcomes."""

import asyncio
import json

import aiohttp

from fescuedrum.outcomes import OUTCOME_HEADER, Outcome
from fescuedrum_bench.checker import Record
from fescuedrum_bench.standins.engine import completion_text

STREAMING = "streaming"
MODEL = "advice-1"


class Caller:
    """Send the requests of one organisation through one entry."""

    __slots__ = ("headers", "organisation", "session", "timeout", "url")

    def __init__(self, session, url, organisation, key):
        self.session = session
        self.url = url
        self.organisation = organisation
        # Longest wait for an answer, in seconds; None is unlimited.
        self.timeout = None
        self.headers = {"Authorization": f"Bearer {key}"}

    async def complete(self, prompt, tokens=8):
        """Request a completion and check every token of the answer."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens}
        status, outcome, text, seconds = await self.send("/v1/completions", body)
        whole = status == 200 and text_of(text) == completion_text(prompt, tokens)
        return self.record("completion", outcome, status, seconds, whole=whole)

    async def stream(self, prompt, tokens=8):
        """Request a streamed completion and check every token of the answer."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
        status, outcome, text, seconds = await self.send("/v1/completions", body)
        whole = status == 200 and streamed_text(text) == completion_text(prompt, tokens)
        return self.record("stream", outcome, status, seconds, whole=whole)

    async def look_up(self, item):
        """Look up an item at the plain service, which is safe to repeat."""
        path = f"/services/bookings/stock/{item}"
        status, outcome, text, seconds = await self.send(path, None, method="GET")
        whole = status == 200 and json.loads(text)["item"] == item
        return self.record("lookup", outcome, status, seconds, whole=whole)

    async def book(self, reference, *, keyed=True):
        """Make a booking, which must not be executed twice."""
        headers = {"Idempotency-Key": reference} if keyed else {}
        path = "/services/bookings/bookings"
        began = asyncio.get_running_loop().time()
        status, outcome, text, seconds = await self.send(
            path, {"reference": reference}, headers=headers
        )
        whole = status == 201 and json.loads(text)["booked"] == reference
        record = self.record("booking", outcome, status, seconds, reference, whole)
        record.keyed, record.began = keyed, began
        record.code = error_code(status, text)
        return record

    def record(self, kind, outcome, status, seconds, reference="", whole=True):
        """Return the record of a request."""
        return Record(
            kind, self.organisation, outcome, status, seconds, reference, whole
        )

    async def send(self, path, body, *, method="POST", headers=None):
        """Send a request; return status, outcome, body and seconds."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        try:
            async with self.session.request(
                method,
                self.url + path,
                json=body,
                headers=self.headers | (headers or {}),
                timeout=aiohttp.ClientTimeout(total=self.timeout),
            ) as response:
                text = await response.text()
                outcome = response.headers.get(OUTCOME_HEADER, Outcome.UNKNOWN)
                # A stream that was received to its last chunk was answered.
                outcome = Outcome.ANSWERED if outcome == STREAMING else outcome
                return response.status, outcome, text, loop.time() - begin
        except (TimeoutError, aiohttp.ClientError, OSError):
            return 0, Outcome.UNKNOWN, "", loop.time() - begin


def error_code(status, text):
    """Return the error code in a body, or an empty string."""
    if status < 400:
        return ""
    try:
        return json.loads(text)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return ""


def text_of(body):
    """Return the text of a completion."""
    return json.loads(body)["choices"][0]["text"]


def streamed_text(body):
    """Return the text of a streamed completion, or an empty string if cut off."""
    events = [line[6:] for line in body.splitlines() if line.startswith("data: ")]
    if not events or events[-1] != "[DONE]":
        return ""
    return "".join(json.loads(event)["choices"][0]["text"] for event in events[:-1])
