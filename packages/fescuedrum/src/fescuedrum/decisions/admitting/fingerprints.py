"""Identify a request by its content, so that a repeat of it is recognised.

Load pattern: a caller sends a request again after each failure, at any gateway and with
a new request id. Without an identity of the content, gateways can't tell that the same
request has failed at several endpoints.

The last part of a prompt belongs to one request or session, so it identifies the
request whatever else its caller changes, such as a time in its body. A request without
a prompt is identified by its method, target and body. Both count within one
organisation only, so that no organisation can affect the requests of another.
"""

import hashlib

DIGEST_BYTES = 8
# Not allowed in the ids of parts, which are separated from their sizes by it.
PREFIX = "request:"


def fingerprint(
    organisation: str, own_part: str, method: str, target: str, body: bytes
) -> str:
    """Return the identity of a request, which is the same in all gateways."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    if own_part:
        add_texts(digest, "prompt", organisation, own_part)
    else:
        add_texts(digest, "content", organisation, method, target)
        digest.update(body)
    return PREFIX + digest.hexdigest()


def add_texts(digest, *texts: str) -> None:
    """Add texts to a digest, each with its length so that none runs into the next."""
    for text in texts:
        encoded = text.encode(errors="surrogateescape")
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)


def is_fingerprint(name: str) -> bool:
    """Return whether a name is that of a request rather than of a part of prompts."""
    return name.startswith(PREFIX)
