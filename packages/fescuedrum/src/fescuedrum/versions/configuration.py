"""Hold the version of the configuration that is in force at a process."""

import logging
import zlib

from fescuedrum.conf import document as documents
from fescuedrum.events.event import log_event
from fescuedrum.events.tables import (
    DocumentDropped,
    DocumentNotUnderstood,
    VersionInForce,
)
from fescuedrum.wire.gen.members.ttypes import DocumentBody

logger = logging.getLogger(__name__)

MAXIMUM_DOCUMENT_BYTES = 64 * 1024 * 1024


class Configuration:
    """Hold the newest document received, indexed by names.

    Reads of the head can be stale, peers can lag, and frames can arrive late or twice.
    All of them go through update_if_newer(), where the version only rises.
    """

    __slots__ = (
        "body",
        "classes",
        "compressed",
        "document",
        "document_hash",
        "endpoints",
        "listeners",
        "organisations",
        "refused_hash",
        "services",
        "services_by_model",
        "version",
        "zones_out",
    )

    def __init__(self):
        self.version = 0
        self.document_hash = ""
        self.body = b""
        self.compressed = b""
        self.document = None
        self.classes = {}
        self.endpoints = {}
        self.organisations = {}
        self.services = {}
        self.services_by_model = {}
        self.zones_out = frozenset()
        self.refused_hash = ""
        self.listeners = []

    def subscribe(self, listener):
        """Call listener() after each new version comes into force."""
        self.listeners.append(listener)

    def update_if_newer(self, version, document_hash, body):
        """Put a document in force if it is newer and valid; return whether it is."""
        if version <= self.version:
            return False
        if documents.document_hash(body) != document_hash:
            log_event(logger, DocumentDropped(version))
            return False
        decoded = documents.decode(body)
        if decoded.is_err():
            self.refused_hash = document_hash
            faults = [str(finding) for finding in decoded.err_value[:5]]
            log_event(logger, DocumentNotUnderstood(version, faults))
            return False
        self.version = version
        self.document_hash = document_hash
        self.body = body
        self.compressed = b""
        self.activate(decoded.ok_value)
        log_event(logger, VersionInForce(version))
        for listener in self.listeners:
            listener()
        return True

    def activate(self, document):
        """Put a decoded document in force and index its parts by name."""
        self.document = document
        self.classes = {each.name: each for each in document.classes}
        self.endpoints = {each.name: each for each in document.endpoints}
        self.organisations = {each.name: each for each in document.organisations}
        self.services = {each.name: each for each in document.services}
        self.services_by_model = {
            model: each for each in document.services for model in each.models
        }
        self.zones_out = frozenset(
            zone.name
            for zone in document.zones
            if zone.state is documents.ZoneState.OUT
        )

    def is_zone_out(self, name):
        """Return whether operators have taken a zone out of service."""
        return name in self.zones_out

    def update_from_frame(self, frame):
        """Put the document of a peer's frame in force if it is newer and valid."""
        body = frame.body
        if frame.compressed:
            # The limit keeps a faulty peer from exhausting the memory.
            body = zlib.decompressobj().decompress(body, MAXIMUM_DOCUMENT_BYTES)
        return self.update_if_newer(frame.version, frame.document_hash, body)

    def answer(self, pull):
        """Return the frame that a peer's pull requests; None if it is not in force."""
        if not self.body or pull.document_hash not in (None, self.document_hash):
            return None
        if not self.compressed:
            self.compressed = zlib.compress(self.body)
        return DocumentBody(
            self.version, self.document_hash, self.compressed, compressed=True
        )
