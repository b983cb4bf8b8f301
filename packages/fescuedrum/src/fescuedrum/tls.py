"""Build TLS contexts from files and reload renewed certificates without a restart."""

import asyncio
import logging
import os
import ssl
from dataclasses import dataclass

from fescuedrum.conf.schema import setting
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import CertificateNotReloaded, CertificateReloaded

logger = logging.getLogger(__name__)

# Certificates are renewed days before they expire, so a minute's delay is harmless.
CHECK_SECONDS = 60.0


@dataclass(slots=True)
class TlsFiles:
    """Name the files of one side of a TLS connection."""

    certificate: str = setting(help="File of the certificate chain (PEM).")
    key: str = setting(help="File of its private key (PEM).")
    authority: str = setting(
        "", help="File of the authorities (PEM) that the other side is checked against."
    )
    server_name: str = setting(
        "", help="Name that the server's certificate must have; empty: its address."
    )

    @property
    def paths(self):
        """Return the paths that are set."""
        return [path for path in (self.certificate, self.key, self.authority) if path]


@dataclass(slots=True)
class LoadedContext:
    """Hold a context, its files and their modification times at loading."""

    context: ssl.SSLContext
    files: TlsFiles
    times: list[int]


class Certificates:
    """Hold a process's TLS contexts and reload their files when they change."""

    __slots__ = ("changed", "contexts")

    def __init__(self):
        self.contexts = []
        self.changed = asyncio.Event()

    def server_context(self, files, *, verify_peer=False):
        """Return the context of a listener; raise OSError if a file can't be loaded."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        if verify_peer:
            context.verify_mode = ssl.CERT_REQUIRED
        return self.add(context, files)

    def client_context(self, files):
        """Return the context of a client, which verifies the server's name."""
        return self.add(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), files)

    def add(self, context, files):
        """Load files into a context and reload them when they change."""
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        load(context, files)
        self.contexts.append(LoadedContext(context, files, modification_times(files)))
        return context

    def reload(self):
        """Request a check of all files now, as on SIGHUP."""
        self.changed.set()

    async def follow(self):
        """Check the files every CHECK_SECONDS, and at once after `reload`."""
        while True:
            try:
                async with asyncio.timeout(CHECK_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                pass
            self.changed.clear()
            self.refresh()

    def refresh(self):
        """Load the files that changed; keep the loaded ones if they are unusable.

        A renewal writes two files, so for a moment certificate and key don't match.
        Loading them into the live context would break every new connection, so they
        are first loaded into a context that is not used.
        """
        for each in self.contexts:
            try:
                times = modification_times(each.files)
                if times == each.times:
                    continue
                load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), each.files)
                load(each.context, each.files)
            except OSError as error:
                log_event(logger, CertificateNotReloaded(str(error)))
                continue
            each.times = times
            log_event(logger, CertificateReloaded(each.files.certificate))


def load(context, files):
    """Load certificate, key and authorities; raise OSError if one can't be loaded."""
    context.load_cert_chain(files.certificate, files.key)
    if files.authority:
        context.load_verify_locations(files.authority)


def modification_times(files):
    """Return the modification times of the files, in nanoseconds."""
    return [os.stat(path).st_mtime_ns for path in files.paths]
