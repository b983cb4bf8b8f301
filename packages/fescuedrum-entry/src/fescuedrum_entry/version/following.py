"""Follow the head row and the peers' words, so that new versions come in force."""

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
    """Bring newer versions into an entry's configuration from all sides."""

    __slots__ = ("configuration", "loop", "platform", "pulls", "reads")

    def __init__(self, configuration, platform):
        self.configuration = configuration
        self.platform = platform
        self.pulls = PullThrottle()
        self.reads = 0
        self.loop = asyncio.get_running_loop()

    async def run(self, interval):
        """Read the head row, each time after the seconds that interval() returns."""
        while True:
            try:
                await self.refresh()
            except StoreUnavailable as error:
                log_event(logger, HeadNotRead(str(error)))
            await asyncio.sleep(interval())

    async def refresh(self):
        """Read the head once; raise StoreUnavailable."""
        self.reads += 1
        head, _ = await read_head(self.platform)
        if head.version <= self.configuration.version:
            return
        body = await self.platform.get_object(object_name(head.hash))
        if body is not None:
            self.configuration.update_if_newer(head.version, head.hash, body)

    def heard(self, connection, heartbeat):
        """Pull from a peer that announces a newer version."""
        announced = heartbeat.version or 0
        in_force = self.configuration.version
        if self.pulls.should_pull(announced, in_force, self.loop.time()):
            connection.send(pull=Pull())

    def answer(self, connection, pull):
        """Send the document to a peer that asked for its hash."""
        document = self.configuration.answer(pull)
        if document is not None:
            connection.send(document=document)
