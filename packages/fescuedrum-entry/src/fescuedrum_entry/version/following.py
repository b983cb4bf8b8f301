"""Apply new configuration versions from the store's head row and from peers."""

import asyncio
import logging

from fescuedrum.events.event import log_event
from fescuedrum.events.tables import HeadNotRead
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.versions.audit import read_head
from fescuedrum.versions.pulling import PullThrottle
from fescuedrum.versions.records import object_name
from fescuedrum.wire.gen.members.ttypes import Pull

logger = logging.getLogger(__name__)


class ConfigurationFollower:
    """Update an entry's configuration from the store and from peers' announcements."""

    __slots__ = ("configuration", "loop", "platform", "pulls", "reads")

    def __init__(self, configuration, platform):
        self.configuration = configuration
        self.platform = platform
        self.pulls = PullThrottle()
        self.reads = 0
        self.loop = asyncio.get_running_loop()

    async def run(self, interval):
        """Read the head row repeatedly, waiting interval() seconds between reads."""
        while True:
            try:
                await self.refresh()
            except StoreUnavailable as error:
                log_event(logger, HeadNotRead(str(error)))
            await asyncio.sleep(interval())

    async def refresh(self):
        """Read the head row once and apply its version if it is newer.

        Raise StoreUnavailable when the store gives no answer.
        """
        self.reads += 1
        head, _ = await read_head(self.platform)
        if head.version <= self.configuration.version:
            return
        body = await self.platform.get_object(object_name(head.hash))
        if body is not None:
            self.configuration.update_if_newer(head.version, head.hash, body)

    def handle_heartbeat(self, connection, heartbeat):
        """Request the document from a peer that announces a newer version."""
        announced = heartbeat.version or 0
        in_force = self.configuration.version
        if self.pulls.should_pull(announced, in_force, self.loop.time()):
            connection.send(pull=Pull())

    def answer_pull(self, connection, pull):
        """Send the document to a peer that requested it by its hash."""
        document = self.configuration.answer(pull)
        if document is not None:
            connection.send(document=document)
