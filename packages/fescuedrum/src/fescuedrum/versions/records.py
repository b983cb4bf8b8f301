"""Define the rows that accepted versions leave in the platform's table."""

import hashlib
import json
from dataclasses import dataclass

from fescuedrum.conf import schema
from fescuedrum.conf.schema import setting

HEAD_KEY = "configuration/head"
VERSION_DIGITS = 10
# Audit rows are read a hundred at a time, by the digits that they share.
BLOCK_DIGITS = 8
BLOCK_ROWS = 10 ** (VERSION_DIGITS - BLOCK_DIGITS)


def object_name(document_hash):
    return f"configuration-{document_hash}"


def audit_key(version):
    return f"audit/{version:0{VERSION_DIGITS}d}"


def audit_block(version):
    """Return the prefix of the keys of the block that holds a version."""
    return audit_key(version)[: -(VERSION_DIGITS - BLOCK_DIGITS)]


@dataclass(slots=True)
class Head:
    """Hold the head row: the newest accepted version."""

    version: int = setting(0, help="Number of the version.")
    hash: str = setting("", help="Hash of its document.")
    chain: str = setting("", help="Chained hash of its audit row.")


@dataclass(slots=True)
class AuditRecord:
    """Hold one audit row: who changed what, when, from what to what."""

    version: int = setting(help="Version that the change made.")
    change: str = setting(help="Id of the change, chosen by who asked for it.")
    who: str = setting(help="Name of the operator.")
    when: str = setting(help="Time of the entry that accepted it, in UTC.")
    before: str = setting(help="Hash of the document before.")
    after: str = setting(help="Hash of the document after.")
    words: list[str] = setting(list, help="The change in words.")
    allowed: list[str] = setting(list, help="Harms that were allowed by their word.")
    note: str = setting("", help="Why, in the operator's words.")
    previous: str = setting("", help="Chained hash of the audit row before.")
    chain: str = setting("", help="Hash of all fields above.")

    def compute_chain(self):
        """Hash every field but the chain itself."""
        plain = schema.dump(self)
        del plain["chain"]
        body = json.dumps(plain, sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(body.encode()).hexdigest()


def load_head(row):
    """Build the head from its row; a missing row is version 0."""
    return schema.load(Head, row.value or {}).unwrap()


def load_record(row):
    """Build an audit record from its row; None when there is none."""
    if row.value is None:
        return None
    return schema.load(AuditRecord, row.value).unwrap()
