"""Turn documents into bytes and back."""

import hashlib
import json

from result import Err

from fescuedrum import checks
from fescuedrum.conf import schema
from fescuedrum.conf.document.model import Document
from fescuedrum.conf.document.validation import check_document


def encode_canonical(document):
    """Encode a document so that equal documents give equal bytes.

    Fields at their default are left out: a release that adds a field then changes
    neither the bytes nor the hash of a document that does not use it, and processes
    of the release before go on understanding it.
    """
    plain = schema.dump_non_default(document)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def document_hash(body):
    """Hash a document's canonical bytes."""
    return hashlib.sha256(body).hexdigest()


def decode(body):
    """Build a document from bytes: Ok(Document) or Err(findings).

    Checks types and ranges only. Processes use it on accepted documents, so that
    a check added by a later release can't turn away what is in force already.
    """
    try:
        data = json.loads(body)
    except ValueError as error:
        finding = checks.error(
            "document.E001", "$", f"Not JSON: {error}.", "Correct the JSON."
        )
        return Err([finding])
    return schema.load(Document, data)


def parse(body):
    """Decode and check a document: Ok(Document) or Err(findings)."""
    decoded = decode(body)
    if decoded.is_err():
        return decoded
    findings = check_document(decoded.ok_value)
    return Err(findings) if checks.has_errors(findings) else decoded
