"""Rows and keys of requests that may run at most once."""

import hashlib


class UnsharedRow:
    """Hold in memory the row of a request without a key; no other entry claims it."""

    __slots__ = ("claim", "version")

    def __init__(self):
        self.claim = None
        self.version = 0

    async def read(self, _):
        """Return the claim, or None, and the row's version."""
        return self.claim, self.version

    async def write(self, _, claim, expected_version):
        """Write a claim if the version is as expected; return whether it was."""
        if expected_version != self.version:
            return False
        self.claim = claim
        self.version += 1
        return True


def claim_key(organisation, service, key):
    """Return the row key of a caller's key within an organisation and a service."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"claim/{organisation}/{service}/{digest}"


def unkeyed_request_key(token):
    """Return the key under which an agent records a request without a key."""
    return f"once/{token}"


def body_hash(call):
    """Return the hash of a call's method, path and body."""
    text = f"{call.method} {call.path}\n".encode() + call.body
    return hashlib.sha256(text).hexdigest()
