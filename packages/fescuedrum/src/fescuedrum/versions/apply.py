"""Accept changes of the document: check them, then compare and set the head."""

import asyncio
import logging
from dataclasses import dataclass, field

from fescuedrum import checks
from fescuedrum.conf import document as documents, schema
from fescuedrum.conf.diff import diff
from fescuedrum.conf.safety import check_change
from fescuedrum.events.event import log_event
from fescuedrum.events.tables import ChangeAccepted
from fescuedrum.exceptions import (
    ChangeInvalid,
    ChangeRaced,
    ChangeUnsettled,
    StoreUnavailable,
)
from fescuedrum.platform.interfaces import Write
from fescuedrum.versions.audit import read_head
from fescuedrum.versions.records import (
    HEAD_KEY,
    AuditRecord,
    Head,
    audit_key,
    load_record,
    object_name,
)

logger = logging.getLogger(__name__)

# An operator waits this long at most to learn whether a change was accepted.
COMMIT_TIMEOUT_SECONDS = 10.0
RETRY_SECONDS = 0.1
MAXIMUM_LISTED_CHANGES = 50


@dataclass(slots=True)
class Proposal:
    """Hold a requested change; change is its id, the same when repeated."""

    base_version: int
    document: documents.Document
    change: str
    who: str
    when: str
    allowed: list[str] = field(default_factory=list)
    note: str = ""


@dataclass(slots=True, frozen=True)
class AcceptedChange:
    """Hold the version that an accepted change created."""

    version: int
    document_hash: str
    body: bytes


class ChangeApplier:
    """Accept changes through the platform's table and object store."""

    __slots__ = ("loop", "platform")

    def __init__(self, platform):
        self.platform = platform
        self.loop = asyncio.get_running_loop()

    async def apply(self, proposal, served=None):
        """Make a proposal the next version and return it as an AcceptedChange.

        Raise ChangeInvalid or ChangeRaced if the change was not accepted,
        StoreUnavailable if it was not attempted, and ChangeUnsettled if it may still
        turn out to be accepted.
        """
        head, row_version = await read_head(self.platform)
        body = documents.encode_canonical(proposal.document)
        if head.version != proposal.base_version:
            return await self.find_accepted(proposal, head, body)
        base = await self.read_document(head.hash)
        changes = diff(base, proposal.document)
        check_proposal(base, proposal, changes, served)
        record = build_record(proposal, head, documents.document_hash(body), changes)
        await self.platform.put_object(object_name(record.after), body)
        new_head = Head(record.version, record.after, record.chain)
        writes = [
            Write(HEAD_KEY, schema.dump(new_head), row_version),
            Write(audit_key(record.version), schema.dump(record), 0),
        ]
        await self.commit(writes, record, proposal)
        log_event(logger, ChangeAccepted(record.version, record.change, record.who))
        return AcceptedChange(record.version, record.after, body)

    async def find_accepted(self, proposal, head, body):
        """Return the change if it was accepted before; raise ChangeRaced otherwise."""
        version = proposal.base_version + 1
        record = load_record(await self.platform.get(audit_key(version)))
        if record is not None and record.change == proposal.change:
            return AcceptedChange(version, record.after, body)
        raise await self.build_race_error(proposal, head)

    async def commit(self, writes, record, proposal):
        """Write until it is known whose change became the version.

        A response can be lost after the write took effect, and a write without a
        response can still take effect late. Writing again is safe: the expected
        versions let it take effect once, and the audit row then shows whose change was
        accepted.
        """
        deadline = self.loop.time() + COMMIT_TIMEOUT_SECONDS
        while True:
            try:
                if await self.platform.transact(writes):
                    return
                row = await self.platform.get(audit_key(record.version))
                break
            except StoreUnavailable as error:
                if self.loop.time() >= deadline:
                    raise ChangeUnsettled(f"Change {record.change}.") from error
                await asyncio.sleep(RETRY_SECONDS)
        winner = load_record(row)
        if winner is None or winner.change != record.change:
            head, _ = await read_head(self.platform)
            raise await self.build_race_error(proposal, head)

    async def build_race_error(self, proposal, head):
        """Return a ChangeRaced that lists the changes of both sides."""
        base_record = load_record(
            await self.platform.get(audit_key(proposal.base_version))
        )
        base = await self.read_document(base_record.after if base_record else "")
        theirs = await self.read_document(head.hash)
        return ChangeRaced(
            f"Version {head.version} is in force; the change is based on version"
            f" {proposal.base_version}.",
            head_version=head.version,
            mine=[str(each) for each in diff(base, proposal.document)],
            theirs=[str(each) for each in diff(base, theirs)],
        )

    async def read_document(self, document_hash):
        """Return the accepted document with a hash; an empty one for an empty hash."""
        if not document_hash:
            return documents.Document([], [], [])
        body = await self.platform.get_object(object_name(document_hash))
        if body is None:
            raise StoreUnavailable(f"The object store has no document {document_hash}.")
        return documents.decode(body).unwrap()


def check_proposal(base, proposal, changes, served):
    """Raise ChangeInvalid with all findings if one of them is an error."""
    findings = documents.check_document(proposal.document)
    findings += check_change(base, proposal.document, proposal.allowed, served)
    if not changes:
        findings.append(
            checks.error(
                "change.E003", "$", "The change has no effect.", "Change something."
            )
        )
    if checks.has_errors(findings):
        raise ChangeInvalid(findings=findings)


def build_record(proposal, head, document_hash, changes):
    """Return the audit record of a proposal that follows the head's version."""
    descriptions = [str(change) for change in changes]
    if len(descriptions) > MAXIMUM_LISTED_CHANGES:
        more = len(descriptions) - MAXIMUM_LISTED_CHANGES
        descriptions = [
            *descriptions[:MAXIMUM_LISTED_CHANGES],
            f"and {more} more changes",
        ]
    record = AuditRecord(
        version=head.version + 1,
        change=proposal.change,
        who=proposal.who,
        when=proposal.when,
        before=head.hash,
        after=document_hash,
        words=descriptions,
        allowed=list(proposal.allowed),
        note=proposal.note,
        previous=head.chain,
    )
    record.chain = record.compute_chain()
    return record
