"""Build TLS contexts from files and load renewed certificates without a restart."""

import asyncio
import logging
import os
import ssl
from dataclasses import dataclass

from fescuedrum.conf.schema import setting
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import CertificateNotReloaded, CertificateReloaded

logger = logging.getLogger(__name__)

# Certificates are renewed days before they end; a minute late is no matter.
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
        "", help="Name that the server's certificate must carry; empty: its address."
    )

    @property
    def paths(self):
        return [path for path in (self.certificate, self.key, self.authority) if path]


@dataclass(slots=True)
class Loaded:
    """Hold a context, its files and their times of change when they were read."""

    context: ssl.SSLContext
    files: TlsFiles
    times: list[int]


class Certificates:
    """Own the contexts of one process and reload their files when they change."""

    __slots__ = ("changed", "loaded")

    def __init__(self):
        self.loaded = []
        self.changed = asyncio.Event()

    def server_context(self, files, *, verify_peer=False):
        """Return the context of a listener; raise OSError when a file is unfit."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        if verify_peer:
            context.verify_mode = ssl.CERT_REQUIRED
        return self.add(context, files)

    def client_context(self, files):
        """Return the context of the side that dials; it checks the server's name."""
        return self.add(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), files)

    def add(self, context, files):
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        load(context, files)
        self.loaded.append(Loaded(context, files, change_times(files)))
        return context

    def reload(self):
        """Ask for a check of all files now, as on SIGHUP."""
        self.changed.set()

    async def follow(self):
        """Check the files at an interval, and at once after `reload`."""
        while True:
            try:
                async with asyncio.timeout(CHECK_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                pass
            self.changed.clear()
            self.refresh()

    def refresh(self):
        """Load the files that changed; keep what is in force when they are unfit.

        A renewal writes two files, so for a moment certificate and key don't fit
        each other. Loaded into the live context, that would break every new
        connection; so they are tried on a context that nobody uses.
        """
        for each in self.loaded:
            try:
                times = change_times(each.files)
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
    """Load certificate, key and authorities; raise OSError when one is unfit."""
    context.load_cert_chain(files.certificate, files.key)
    if files.authority:
        context.load_verify_locations(files.authority)


def change_times(files):
    return [os.stat(path).st_mtime_ns for path in files.paths]
