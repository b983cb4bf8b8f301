"""Open and accept connections between processes as the settings say."""

import asyncio
import secrets

from fescuedrum.tls import Certificates
from fescuedrum.wire.handshake import (
    AGENT,
    NONCE_BYTES,
    InitiatorHandshake,
    Keyring,
    ResponderHandshake,
)

# Above the 390 nodes of the largest site that is planned for, and below the 1,024
# files that a process may have open on most systems.
MAXIMUM_ACCEPTED = 768


class Peers:
    """Hold a process's peer keys and TLS contexts."""

    __slots__ = (
        "accepted",
        "certificates",
        "client_context",
        "files",
        "keyring",
        "make_hello",
    )

    def __init__(self, keys, files, make_hello):
        self.keyring = Keyring(keys)
        self.files = files
        self.make_hello = make_hello
        self.certificates = Certificates()
        self.client_context = None
        self.accepted = 0

    def initiate_handshake(self, addressee, expected=AGENT):
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = self.make_hello()
        return InitiatorHandshake(
            self.keyring, hello, addressee=addressee, nonce=nonce, expected=expected
        )

    def accept_handshake(self):
        nonce = secrets.token_bytes(NONCE_BYTES)
        return ResponderHandshake(self.keyring, self.make_hello(), nonce=nonce)

    async def connect(self, host, port):
        """Return (reader, writer); raise OSError when there is no connection."""
        if self.files is None:
            return await asyncio.open_connection(host, port)
        if self.client_context is None:
            self.client_context = self.certificates.client_context(self.files)
        name = self.files.server_name or host
        return await asyncio.open_connection(
            host, port, ssl=self.client_context, server_hostname=name
        )

    async def listen(self, serve, host, port):
        """Return a listening server that hands each connection to `serve`."""
        context = None
        if self.files is not None:
            context = self.certificates.server_context(self.files, verify_peer=True)

        async def admit(reader, writer):
            # A stranger has five seconds for each connection that proves nothing. If
            # it opens thousands, the process runs out of files and can serve nobody.
            if self.accepted >= MAXIMUM_ACCEPTED:
                writer.transport.abort()
                return
            self.accepted += 1
            try:
                await serve(reader, writer)
            finally:
                self.accepted -= 1

        return await asyncio.start_server(admit, host, port, ssl=context)
