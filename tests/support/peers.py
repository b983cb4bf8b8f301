"""Build peer keys, handshakes, certificates and connected pairs."""

import asyncio
import contextlib
import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from fescuedrum.tls import TlsFiles
from fescuedrum.wire.connection import FrameConnection
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum.wire.handshake import (
    NONCE_BYTES,
    InitiatorHandshake,
    PeerKey,
    ResponderHandshake,
)

NOW = datetime.datetime.now(datetime.UTC)
DAY = datetime.timedelta(days=1)


def build_key(name="one"):
    return PeerKey(name, f"{name}-secret".ljust(32, "."))


def build_entry_side(keyring, addressee="agent-1", nonce=b"e" * NONCE_BYTES):
    hello = frames.Hello(role="entry", instance="entry-1")
    return InitiatorHandshake(keyring, hello, addressee=addressee, nonce=nonce)


def build_agent_side(keyring, nonce=b"a" * NONCE_BYTES):
    hello = frames.Hello(role="agent", instance="agent-1")
    return ResponderHandshake(keyring, hello, nonce=nonce)


@contextlib.asynccontextmanager
async def connected():
    """Yield the two FrameConnections of a TCP connection."""
    accepted = asyncio.get_running_loop().create_future()

    async def accept(reader, writer):
        accepted.set_result(FrameConnection(reader, writer))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    near = FrameConnection(*await asyncio.open_connection("127.0.0.1", port))
    far = await accepted
    try:
        yield near, far
    finally:
        near.writer.transport.abort()
        far.writer.transport.abort()
        server.close()


class Authority:
    """Issue certificates and write them to a directory."""

    def __init__(self, directory):
        self.directory = directory
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test")])
        self.certificate = self.build(self.name, self.key, is_authority=True)
        self.path = directory / "authority.pem"
        self.path.write_bytes(pem(self.certificate))

    def build(self, subject, key, *, is_authority=False, names=()):
        """Return a certificate that is valid for a day."""
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(NOW - DAY)
            .not_valid_after(NOW + DAY)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        )
        if names:
            builder = builder.add_extension(x509.SubjectAlternativeName(names), False)
        return builder.sign(self.key, hashes.SHA256())

    def issue(self, name, host="127.0.0.1", dns=""):
        """Write a certificate and its key; return their TlsFiles."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        address = x509.IPAddress(ipaddress.ip_address(host))
        names = [address, *([x509.DNSName(dns)] if dns else [])]
        certificate = self.build(subject, key, names=names)
        paths = [self.directory / f"{name}{end}" for end in (".pem", ".key")]
        paths[0].write_bytes(pem(certificate))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsFiles(*map(str, paths), str(self.path), dns)


def pem(certificate):
    """Return a certificate in PEM form."""
    return certificate.public_bytes(serialization.Encoding.PEM)
