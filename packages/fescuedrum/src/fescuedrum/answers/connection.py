"""Open connections on which only answers are read that HTTP allows."""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

from fescuedrum.answers.exceptions import MalformedAnswer, UnusableAnswer
from fescuedrum.answers.reader import AnswerReader

SUCCESS_STATUS = 200


class AnswerConnection(ResponseHandler):
    """Pass to the library's parser the bytes that are the answer to its request."""

    def __init__(self, loop):
        super().__init__(loop)
        self.answer = AnswerReader()
        # Whether the peer has closed its side in order. What fails here after that,
        # such as sending the rest of a request, takes nothing from its answer.
        self.peer_closed = False

    def set_response_params(self, *, skip_payload=False, **params):
        """Prepare for the answer to the next request."""
        self.answer = AnswerReader(has_no_body=skip_payload)
        super().set_response_params(skip_payload=skip_payload, **params)

    def data_received(self, data):
        """Check bytes before they are parsed; leave out what belongs to no request.

        On a kept connection that would be read as the answer to the next one.
        """
        if not data:
            # The library goes on with what it holds back.
            super().data_received(data)
            return
        try:
            allowed = self.answer.feed(data)
        except MalformedAnswer as error:
            self.fail(error)
            return
        if allowed:
            super().data_received(allowed)
        if self.answer.is_done and len(allowed) < len(data):
            self.end_after_answer()

    def fail(self, error):
        """Close the connection and fail the answer that is read."""
        self.fail_body(error)
        if self.transport is not None:
            self.transport.close()
        self.set_exception(error)

    def fail_body(self, error):
        """Fail a body that has not ended."""
        body = self._payload
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(error)

    def end_after_answer(self):
        """Use the connection for no other request.

        It is closed at once only if the whole answer was parsed: the library drops at
        its end what it holds back while a body is read slowly.
        """
        self.force_close()
        is_parsed = self._payload is None or self._payload.is_eof()
        if is_parsed and self.transport is not None:
            self.transport.close()

    def eof_received(self):
        """Record that the peer has sent everything."""
        self.peer_closed = True
        return super().eof_received()

    def connection_lost(self, exc):
        """Fail a body that has not ended, unless the peer closed in order.

        The library takes any end of the connection for that of a body without a length.
        """
        if not self.peer_closed:
            self.fail_body(
                aiohttp.ClientPayloadError("the connection was reset in the body")
            )
        super().connection_lost(exc)


class AnswerConnector(aiohttp.TCPConnector):
    """Open an AnswerConnection for each connection."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(AnswerConnection, loop=self._loop)


async def read_success(response, limit: int) -> bytes:
    """Return the whole body of an answer with status 200.

    Raise UnusableAnswer, or another ClientError if the body breaks off.
    """
    if response.status != SUCCESS_STATUS:
        raise UnusableAnswer(f"status {response.status}")
    return await read_body(response, limit)


async def read_body(response, limit: int) -> bytes:
    """Return the whole body of an answer of at most limit bytes.

    Raise UnusableAnswer, or another ClientError if the body breaks off.
    """
    chunks, size = [], 0
    async for chunk in response.content.iter_any():
        chunks.append(chunk)
        size += len(chunk)
        if size > limit:
            raise UnusableAnswer(f"the answer has more than {limit} bytes")
    return b"".join(chunks)
