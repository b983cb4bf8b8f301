"""Hold the configuration version in force at this entry."""

import asyncio
import logging

from fescuedrum.conf import document as documents
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.wire.gen.members.ttypes import DocumentBody

logger = logging.getLogger(__name__)

HEAD_KEY = "configuration/head"


def object_name(document_hash):
    return f"configuration-{document_hash}"


class Configuration:
    """Keep the newest document seen; its version only rises."""

    __slots__ = (
        "body",
        "document",
        "document_hash",
        "organisations",
        "services",
        "services_by_model",
        "version",
        "zones_out",
    )

    def __init__(self):
        self.version = 0
        self.document_hash = ""
        self.body = b""
        self.document = None
        self.organisations = {}
        self.services = {}
        self.services_by_model = {}
        self.zones_out = frozenset()

    async def follow(self, platform, interval):
        """Read the head row at an interval and take newer versions."""
        while True:
            try:
                await self.refresh(platform)
            except StoreUnavailable as error:
                logger.info("head not read", extra={"error": str(error)})
            await asyncio.sleep(interval)

    async def refresh(self, platform):
        row = await platform.get(HEAD_KEY)
        if row.value is None or row.value["version"] <= self.version:
            return
        body = await platform.get_object(object_name(row.value["hash"]))
        if body is not None:
            self.offer(row.value["version"], row.value["hash"], body)

    def offer(self, version, document_hash, body):
        """Take a document if it is newer, whole and valid."""
        if version <= self.version or documents.document_hash(body) != document_hash:
            return
        parsed = documents.parse(body)
        if parsed.is_err():
            logger.error("document not understood", extra={"version": version})
            return
        self.version = version
        self.document_hash = document_hash
        self.body = body
        self.take(parsed.ok_value)
        logger.info("version in force", extra={"version": version})

    def take(self, document):
        self.document = document
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

    def answer_pull(self, link, pull):
        """Send the document to a peer that asked for its hash."""
        if pull.document_hash == self.document_hash:
            body = DocumentBody(self.version, self.document_hash, self.body)
            link.send(document=body)
