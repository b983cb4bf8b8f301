"""Encode documents as bytes and decode them."""

import hashlib
import json

from result import Err

from fescuedrum import checks
from fescuedrum.conf import schema
from fescuedrum.conf.document.model import Document
from fescuedrum.conf.document.validation import check_document


def encode_canonical(document):
    """Return a document as bytes that are equal for equal documents.

    Fields at their default are omitted. A release that adds a field then changes
    neither the bytes nor the hash of a document that does not use it, and processes of
    the previous release can still load the document.
    """
    plain = schema.dump_non_default(document)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def document_hash(body):
    """Return the SHA-256 of a document's canonical bytes, in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def decode(body):
    """Build a document from bytes; return Ok(Document) or Err(findings).

    Only types and ranges are checked. Processes use it for accepted documents, so that
    a check added by a later release can't reject a document that is in force.
    """
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        finding = checks.error(
            "document.E001", "$", f"Not JSON: {error}.", "Correct the JSON."
        )
        return Err([finding])
    return schema.load(Document, data)


def parse(body):
    """Decode and check a document; return Ok(Document) or Err(findings)."""
    decoded = decode(body)
    if decoded.is_err():
        return decoded
    findings = check_document(decoded.ok_value)
    return Err(findings) if checks.has_errors(findings) else decoded
