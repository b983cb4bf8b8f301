"""Hold the configuration version in force at this agent."""

import logging

from fescuedrum.conf import document as documents

logger = logging.getLogger(__name__)


class Configuration:
    """Keep the newest document seen; its version only rises."""

    __slots__ = ("document", "document_hash", "on_change", "version")

    def __init__(self, on_change):
        self.version = 0
        self.document_hash = ""
        self.document = None
        self.on_change = on_change

    def offer(self, body):
        """Take a document from a peer if it is newer and whole."""
        if body.version <= self.version:
            return
        if documents.document_hash(body.body) != body.document_hash:
            logger.warning("document with a wrong hash dropped")
            return
        parsed = documents.parse(body.body)
        if parsed.is_err():
            logger.error("document not understood", extra={"version": body.version})
            return
        self.version = body.version
        self.document_hash = body.document_hash
        self.document = parsed.ok_value
        self.on_change(self.document)

    def zone_is_out(self, name):
        """Tell whether operators have taken a zone out."""
        if self.document is None:
            return False
        return any(
            zone.name == name and zone.state is documents.ZoneState.OUT
            for zone in self.document.zones
        )
