"""Serve the API to read, check, compare and apply the configuration document."""

import asyncio
import copy
import datetime
import json

from aiohttp import web

from fescuedrum.conf import document as documents, schema
from fescuedrum.conf.diff import diff
from fescuedrum.conf.safety import Allowance, check_change
from fescuedrum.exceptions import (
    BadRequest,
    ChangeInvalid,
    ChangeRaced,
    StoreUnavailable,
)
from fescuedrum.versions.apply import ChangeApplier, Proposal
from fescuedrum.versions.audit import read_audit_records, read_head, verify_records
from fescuedrum_entry.operators.access import ACCOUNT, require_role
from fescuedrum_entry.operators.accounts import Role
from fescuedrum_entry.request.errors import (
    error_response,
    new_request_id,
    stopping_error,
)

MAXIMUM_DOCUMENT_BYTES = 16 * 1024 * 1024
DEFAULT_AUDIT_ROWS = 50
MAXIMUM_AUDIT_ROWS = 10_000
MAXIMUM_ID_LENGTH = 100
# Upper limit of the time that a change's calls to the platform take.
MAXIMUM_CHANGE_SECONDS = 8.0


class NewestDocument:
    """Hold the newest accepted document that this entry can read."""

    __slots__ = ("document", "document_hash", "from_platform", "version")

    def __init__(self, version, document_hash, document, from_platform):
        self.version = version
        self.document_hash = document_hash
        self.document = document
        self.from_platform = from_platform


class Changes:
    """Handle the requests of the configuration API at one entry."""

    __slots__ = ("entry",)

    def __init__(self, entry):
        self.entry = entry

    def add_routes(self, router):
        """Add the routes of the configuration API, each with its required role."""
        entry = self.entry
        for method, path, role, handler in (
            ("GET", "configuration", Role.VIEWER, self.show),
            ("POST", "check", Role.VIEWER, self.check),
            ("POST", "diff", Role.VIEWER, self.compare),
            ("POST", "apply", Role.OPERATOR, self.apply),
            ("GET", "audit", Role.VIEWER, self.audit),
        ):
            protected = require_role(entry, role, handler)
            router.add_route(method, f"/operators/{path}", protected)

    async def newest(self):
        """Return the head's document, or the one in force if the store is down."""
        configuration = self.entry.configuration
        try:
            head, _ = await read_head(self.entry.platform)
            applier = ChangeApplier(self.entry.platform)
            document = await applier.read_document(head.hash)
            return NewestDocument(head.version, head.hash, document, True)
        except StoreUnavailable:
            if configuration.document is None:
                raise
            return NewestDocument(
                configuration.version,
                configuration.document_hash,
                configuration.document,
                False,
            )

    async def show(self, request):
        """Answer with the newest document, without keys for viewers."""
        newest = await self.newest()
        document = newest.document
        redacted = not request[ACCOUNT].role.includes(Role.OPERATOR)
        if redacted:
            document = copy_without_keys(document)
        return web.json_response(
            {
                "version": newest.version,
                "hash": newest.document_hash,
                "from_platform": newest.from_platform,
                "redacted": redacted,
                "document": schema.dump_non_default(document),
            }
        )

    async def check(self, request):
        """Answer with the findings of a proposed document."""
        data = await read_json(request)
        findings = await self.list_findings(data)
        return web.json_response({"findings": dump_findings(findings)})

    async def list_findings(self, data):
        """Return the findings of a proposed document and of the change to it."""
        decoded = documents.decode(json.dumps(data.get("document")))
        if decoded.is_err():
            return decoded.err_value
        document = decoded.ok_value
        base = (await self.newest()).document
        allowed = read_allowed(data)
        return documents.check_document(document) + check_change(
            base, document, allowed, self.entry.served_zones()
        )

    async def compare(self, request):
        """Answer with the differences of a document from the newest one."""
        data = await read_json(request)
        newest = await self.newest()
        changes = diff(newest.document, load_document(data))
        described = [schema.dump(change) for change in changes]
        return web.json_response({"version": newest.version, "changes": described})

    async def apply(self, request):
        """Apply a change and answer with its version, findings or conflict."""
        data = await read_json(request)
        try:
            proposal = build_proposal(data, request[ACCOUNT].name)
            accepted = await self.accept(proposal)
        except ChangeInvalid as error:
            return error_response(
                error, new_request_id(), findings=dump_findings(error.findings)
            )
        except ChangeRaced as error:
            return error_response(
                error,
                new_request_id(),
                head_version=error.head_version,
                mine=error.mine,
                theirs=error.theirs,
            )
        return web.json_response(
            {
                "version": accepted.version,
                "hash": accepted.document_hash,
                "change": proposal.change,
            }
        )

    def check_stop(self):
        """Raise ProcessStopping if the process may end before a change is written."""
        plan = self.entry.stop_plan
        now = asyncio.get_running_loop().time()
        if plan is not None and not plan.accepts(now, now + MAXIMUM_CHANGE_SECONDS):
            raise stopping_error()

    async def accept(self, proposal):
        """Apply a change and put it in force here; other processes follow.

        Raise ProcessStopping if the process may end before the change is written.
        Otherwise the change could be in force while its operator sees a broken
        connection.
        """
        self.check_stop()
        applier = ChangeApplier(self.entry.platform)
        accepted = await applier.apply(proposal, self.entry.served_zones())
        self.entry.configuration.update_if_newer(
            accepted.version, accepted.document_hash, accepted.body
        )
        return accepted

    async def audit(self, request):
        """Answer with the newest audit records and the findings of their check."""
        count = read_count(request)
        head, _ = await read_head(self.entry.platform)
        records = await read_audit_records(self.entry.platform, head.version, count)
        findings = verify_records(records, head, whole=count >= head.version)
        return web.json_response(
            {
                "version": head.version,
                "records": [schema.dump(record) for record in records],
                "findings": dump_findings(findings),
            }
        )


async def read_json(request):
    """Return the JSON object of a request's body; raise BadRequest."""
    body = await request.content.read(MAXIMUM_DOCUMENT_BYTES + 1)
    while not request.content.at_eof():
        body += await request.content.read(MAXIMUM_DOCUMENT_BYTES + 1)
        if len(body) > MAXIMUM_DOCUMENT_BYTES:
            raise BadRequest(f"The body is over {MAXIMUM_DOCUMENT_BYTES} bytes.")
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequest(f"The body is not JSON: {error}.") from error
    if not isinstance(data, dict):
        raise BadRequest("The body is not a JSON object.")
    return data


def load_document(data):
    """Return the document in a request's data; raise ChangeInvalid."""
    decoded = documents.decode(json.dumps(data.get("document")))
    if decoded.is_err():
        raise ChangeInvalid(findings=decoded.err_value)
    return decoded.ok_value


def read_allowed(data):
    """Return the allowances in a request's data; raise BadRequest."""
    try:
        return [Allowance(word) for word in data.get("allowed", [])]
    except (ValueError, TypeError) as error:
        words = ", ".join(Allowance)
        raise BadRequest(f"The allowances are: {words}.") from error


def read_count(request):
    """Return the number of audit records asked for; raise BadRequest."""
    text = request.query.get("count", str(DEFAULT_AUDIT_ROWS))
    if not text.isdecimal() or not 1 <= int(text) <= MAXIMUM_AUDIT_ROWS:
        raise BadRequest(f"count is not a number from 1 to {MAXIMUM_AUDIT_ROWS}.")
    return int(text)


def build_proposal(data, who):
    """Return the proposal in a request's data; raise BadRequest or ChangeInvalid."""
    base_version, change = data.get("base_version"), data.get("change")
    if type(base_version) is not int or base_version < 0:
        raise BadRequest("base_version is not a version.")
    if not isinstance(change, str) or not 1 <= len(change) <= MAXIMUM_ID_LENGTH:
        raise BadRequest(f"change is not an id of 1 to {MAXIMUM_ID_LENGTH} characters.")
    return Proposal(
        base_version,
        load_document(data),
        change=change,
        who=who,
        when=utc_now(),
        allowed=read_allowed(data),
        note=str(data.get("note", "")),
    )


def utc_now():
    """Return the current time as text for the audit trail; no decision uses it."""
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")


def copy_without_keys(document):
    """Return a copy of a document without the hashes of keys."""
    copied = copy.deepcopy(document)
    for organisation in copied.organisations:
        organisation.keys = []
    return copied


def dump_findings(findings):
    """Return findings as JSON values."""
    return [
        {
            "level": finding.level.name.lower(),
            "id": finding.id,
            "path": finding.path,
            "message": finding.message,
            "hint": finding.hint,
        }
        for finding in findings
    ]
