"""Open and accept connections between processes with their keys and TLS settings."""

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

# Above the 390 nodes of the largest planned site, and below the 1,024 file descriptors
# that most systems allow a process.
MAXIMUM_ACCEPTED = 768


class Peers:
    """Connect to and listen for peers with a process's keys and TLS contexts."""

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
        """Return the handshake of the side that connects to the addressee."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = self.make_hello()
        return InitiatorHandshake(
            self.keyring, hello, addressee=addressee, nonce=nonce, expected=expected
        )

    def accept_handshake(self):
        """Return the handshake of the side that accepts a connection."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        return ResponderHandshake(self.keyring, self.make_hello(), nonce=nonce)

    async def connect(self, host, port):
        """Return (reader, writer) of a new connection; raise OSError if it fails."""
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

        async def accept(reader, writer):
            # A peer has five seconds to authenticate. If somebody opens thousands of
            # connections, the process runs out of file descriptors and can't serve.
            if self.accepted >= MAXIMUM_ACCEPTED:
                writer.transport.abort()
                return
            self.accepted += 1
            try:
                await serve(reader, writer)
            finally:
                self.accepted -= 1

        return await asyncio.start_server(accept, host, port, ssl=context)
