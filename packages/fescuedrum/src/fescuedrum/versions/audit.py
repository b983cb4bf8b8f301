"""Read the audit records and find gaps and changed rows."""

from fescuedrum import checks
from fescuedrum.versions.records import (
    HEAD_KEY,
    audit_block_prefix,
    load_head,
    load_record,
)

HINT = "Compare with the platform's own backups and find who changed the table."


async def read_audit_records(table, newest, count):
    """Return up to count audit records, newest first; raise StoreUnavailable."""
    records = []
    version = newest
    while version > 0 and len(records) < count:
        prefix = audit_block_prefix(version)
        rows = await table.scan(prefix)
        block = [load_record(row) for row in rows if row.value is not None]
        records += sorted(
            (each for each in block if each.version <= version),
            key=lambda record: -record.version,
        )
        # The previous block ends just below the lowest version of this one.
        version = first_version_of_block(version) - 1
    return records[:count]


def first_version_of_block(version):
    """Return the lowest version in the block of audit rows that holds a version."""
    return next(
        lower
        for lower in range(version, -1, -1)
        if lower == 0 or audit_block_prefix(lower - 1) != audit_block_prefix(lower)
    )


async def read_head(table):
    """Return the head and the version of its row; raise StoreUnavailable."""
    row = await table.get(HEAD_KEY)
    return load_head(row), row.version


def verify_records(records, head, *, whole):
    """Return a finding for each missing or changed row among records, newest first.

    whole requires the records to reach back to version 1.
    """
    findings = []
    expected_version, expected_chain = head.version, head.chain
    for record in records:
        for version in range(expected_version, record.version, -1):
            findings.append(build_missing_finding(version))
            # The chained hash that a missing row held is unknown.
            expected_chain = None
        findings += check_record(record, expected_chain)
        expected_version, expected_chain = record.version - 1, record.previous
    if whole:
        findings += [
            build_missing_finding(version) for version in range(expected_version, 0, -1)
        ]
    return findings


def build_missing_finding(version):
    """Return the finding for a missing audit row."""
    return checks.error(
        "audit.E001", f"version {version}", "The audit row is missing.", HINT
    )


def check_record(record, expected_chain):
    """Yield findings if a record was changed or is not the one that was chained to."""
    path = f"version {record.version}"
    if record.compute_chain() != record.chain:
        yield checks.error(
            "audit.E002", path, "The row was changed after it was written.", HINT
        )
    if expected_chain is not None and record.chain != expected_chain:
        message = "The row is not the one that the next row is chained to."
        yield checks.error("audit.E003", path, message, HINT)
