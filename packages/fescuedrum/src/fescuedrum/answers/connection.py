"""Read HTTP answers whose heads were checked and whose bodies are known to end."""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

from fescuedrum.answers.heads import HeadReader, MalformedAnswer

SUCCESS_STATUS = 200


class AnswerConnection(ResponseHandler):
    """Pass to the library's parser only answers that HTTP allows."""

    def __init__(self, loop):
        super().__init__(loop)
        self.heads = HeadReader()
        # Whether the peer has closed its side in order. What fails here after that,
        # such as sending the rest of a request, takes nothing from its answer.
        self.peer_closed = False

    def set_response_params(self, **params):
        """Prepare for the answer to the next request."""
        self.heads = HeadReader()
        super().set_response_params(**params)

    @property
    def awaits_nothing(self):
        """Return whether the answer to the last request is complete."""
        return self.heads.is_done and (self._payload is None or self._payload.is_eof())

    def data_received(self, data):
        """Check the head of an answer before any of it is parsed.

        What arrives after a whole answer belongs to no request. On a kept connection it
        would be read as the answer to the next one.
        """
        if data and self.awaits_nothing:
            self.transport.close()
            return
        if data and not self.heads.is_done:
            try:
                data = self.heads.feed(data)
            except MalformedAnswer as error:
                if self.transport is not None:
                    self.transport.close()
                self.set_exception(error)
                return
            if not data:
                return
        super().data_received(data)

    def eof_received(self):
        """Record that the peer has sent everything."""
        self.peer_closed = True
        return super().eof_received()

    def connection_lost(self, exc):
        """Fail a body that has not ended, unless the peer closed in order.

        The library takes any end of the connection for that of a body without a length.
        """
        body = self._payload
        if not self.peer_closed and body is not None and not body.is_eof():
            body.set_exception(
                aiohttp.ClientPayloadError("the connection was reset in the body")
            )
        super().connection_lost(exc)


class UnusableAnswer(aiohttp.ClientError):
    """Report an answer with another status or a longer body than its reader takes."""


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


class AnswerConnector(aiohttp.TCPConnector):
    """Open an AnswerConnection for each connection."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(AnswerConnection, loop=self._loop)
