"""Keep quarantined parts in the platform's store, so that they outlive all gateways."""

import asyncio
import datetime
import logging

from fescuedrum.decisions.admitting.suspects import SuspectReport
from fescuedrum.events.event import log_event
from fescuedrum.events.quarantine import (
    QuarantineNotRead,
    QuarantineNotSaved,
    QuarantineRead,
)
from fescuedrum.exceptions import ProtocolError, StoreUnavailable
from fescuedrum.wire.datagrams import decode, encode
from fescuedrum.wire.gen.gateways.ttypes import QuarantinedPart
from fescuedrum_gateway.process.beacons.quarantine import (
    decode_suspects,
    encode_suspect,
    is_age,
)
from fescuedrum_gateway.process.quarantine import GatewayQuarantine

logger = logging.getLogger(__name__)

# Pause after a call to the store that failed.
RETRY_SECONDS = 1.0


def epoch_seconds() -> float:
    """Return the seconds since the epoch, which all gateways have in common."""
    return datetime.datetime.now(datetime.UTC).timestamp()


def encode_row(report: SuspectReport, now: float) -> bytes:
    """Return a quarantined part in the form of a row."""
    row = QuarantinedPart(
        suspect=encode_suspect(report, now), written_at=epoch_seconds()
    )
    return encode(row)


def decode_row(value: bytes, now: float) -> list[SuspectReport]:
    """Return the report in a row, if its part has not been released.

    Raise ProtocolError for a malformed row.
    """
    row = decode(QuarantinedPart, value)
    # The clock of the process that wrote it may be ahead.
    age = max(epoch_seconds() - (row.written_at or 0.0), 0.0)
    if row.suspect is None or not is_age(age):
        return []
    reports = decode_suspects([row.suspect], now - age)
    return [each for each in reports if each.ends]


class QuarantineRows:
    """Read the rows when the process starts, and write one for each change."""

    __slots__ = ("changed", "quarantine", "unsaved")

    def __init__(self, quarantine: GatewayQuarantine) -> None:
        self.quarantine = quarantine
        self.unsaved: set[str] = set()
        self.changed = asyncio.Event()
        quarantine.on_own_change = self.save

    def save(self, parts: set[str]) -> None:
        """Write the state of some parts as soon as the store answers."""
        self.unsaved |= parts
        self.changed.set()

    async def run(self, store, table: str) -> None:
        """Read all rows once, then write changes for ever."""
        await self.restore(store, table)
        while True:
            await self.changed.wait()
            self.changed.clear()
            await self.write(store, table)

    async def restore(self, store, table: str) -> None:
        """Apply the rows of a table; try again until the store answers."""
        while True:
            try:
                rows = (await store.read_table(table)).rows
                break
            except StoreUnavailable as error:
                log_event(logger, QuarantineNotRead(error.detail))
                await asyncio.sleep(RETRY_SECONDS)
        reports = []
        for row in rows:
            try:
                reports += decode_row(row.value or b"", self.quarantine.loop.time())
            except ProtocolError as error:
                log_event(logger, QuarantineNotRead(error.detail))
        if reports:
            log_event(logger, QuarantineRead(len(reports)))
            self.quarantine.merge_reports(reports, [])

    async def write(self, store, table: str) -> None:
        """Write the rows of all parts that have changed."""
        while self.unsaved:
            part = self.unsaved.pop()
            report = self.quarantine.quarantine.report(part)
            try:
                now = self.quarantine.loop.time()
                await store.put_row(table, part, encode_row(report, now))
            except StoreUnavailable as error:
                log_event(logger, QuarantineNotSaved(part, error.detail))
                self.unsaved.add(part)
                await asyncio.sleep(RETRY_SECONDS)
