"""Name the row that stands for a request which may run at most once."""

import hashlib


class PrivateRow:
    """Stand for the row of a request without a key: nobody else can claim it."""

    __slots__ = ("claim", "version")

    def __init__(self):
        self.claim = None
        self.version = 0

    async def read(self, _):
        return self.claim, self.version

    async def write(self, _, claim, expected_version):
        if expected_version != self.version:
            return False
        self.claim = claim
        self.version += 1
        return True


def claim_key(organisation, service, key):
    """Return the row of a caller's key; a key means nothing outside its service."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"claim/{organisation}/{service}/{digest}"


def unkeyed_key(token):
    """Return the name under which an agent remembers a request without a key."""
    return f"once/{token}"


def body_hash(call):
    text = f"{call.method} {call.path}\n".encode() + call.body
    return hashlib.sha256(text).hexdigest()
