"""Read HTTP answers whose heads were checked and whose bodies are known to end."""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

from fescuedrum.answer_heads import HeadReader, MalformedAnswer


class AnswerConnection(ResponseHandler):
    """Pass to the library's parser only answers that HTTP allows."""

    def __init__(self, loop):
        super().__init__(loop)
        self.heads = HeadReader()

    def set_response_params(self, **params):
        """Prepare for the answer to the next request."""
        self.heads = HeadReader()
        super().set_response_params(**params)

    def data_received(self, data):
        """Check the head of an answer before any of it is parsed."""
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


class AnswerConnector(aiohttp.TCPConnector):
    """Open an AnswerConnection for each connection."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(AnswerConnection, loop=self._loop)
