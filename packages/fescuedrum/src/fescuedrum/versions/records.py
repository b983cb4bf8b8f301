"""Define the rows of accepted versions in the platform's table."""

import hashlib
import json
from dataclasses import dataclass

from fescuedrum.conf import schema
from fescuedrum.conf.schema import setting
from fescuedrum.exceptions import StoreUnavailable

HEAD_KEY = "configuration/head"
VERSION_DIGITS = 10
# Audit rows are read in blocks of a hundred, by the leading digits that they share.
BLOCK_DIGITS = 8
BLOCK_ROWS = 10 ** (VERSION_DIGITS - BLOCK_DIGITS)


def object_name(document_hash):
    """Return the name of a document in the object store."""
    return f"configuration-{document_hash}"


def audit_key(version):
    """Return the key of a version's audit row."""
    return f"audit/{version:0{VERSION_DIGITS}d}"


def audit_block_prefix(version):
    """Return the key prefix of the block of audit rows that holds a version."""
    return audit_key(version)[: -(VERSION_DIGITS - BLOCK_DIGITS)]


@dataclass(slots=True)
class Head:
    """Hold the head row, which names the newest accepted version."""

    version: int = setting(0, help="Number of the newest version.")
    hash: str = setting("", help="Hash of its document.")
    chain: str = setting("", help="Chained hash of its audit row.")


@dataclass(slots=True)
class AuditRecord:
    """Hold one audit row: who changed the document, when and how."""

    version: int = setting(help="Version that the change created.")
    change: str = setting(help="Id of the change, chosen by the client.")
    who: str = setting(help="Name of the operator.")
    when: str = setting(help="Time of the entry that accepted it, in UTC.")
    before: str = setting(help="Hash of the previous document.")
    after: str = setting(help="Hash of the new document.")
    words: list[str] = setting(list, help="Description of the changes.")
    allowed: list[str] = setting(
        list, help="Harmful effects that the operator allowed explicitly."
    )
    note: str = setting("", help="The operator's reason for the change.")
    previous: str = setting("", help="Chained hash of the previous audit row.")
    chain: str = setting("", help="Hash of all fields above.")

    def compute_chain(self):
        """Return the hash of all fields except the chain itself."""
        plain = schema.dump(self)
        del plain["chain"]
        body = json.dumps(plain, sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(body.encode()).hexdigest()


def load_head(row):
    """Return the head that a row holds; version 0 if the row is missing.

    Raise StoreUnavailable if it is malformed.
    """
    return load_row(Head, row.key, row.value or {})


def load_record(row):
    """Return the audit record that a row holds; None if the row is missing.

    Raise StoreUnavailable if it is malformed.
    """
    if row.value is None:
        return None
    return load_row(AuditRecord, row.key, row.value)


def load_row(cls, key, value):
    """Return what a row holds; raise StoreUnavailable if it is malformed."""
    loaded = schema.load(cls, value)
    if loaded.is_err():
        finding = loaded.err_value[0]
        raise StoreUnavailable(f"The row {key} is malformed: {finding}.")
    return loaded.ok_value
