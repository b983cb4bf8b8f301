"""Authenticate both ends of a connection by a shared peer key.

The entry connects and the agent answers:

    entry -> Hello (identity, nonce, addressee)
    agent -> Challenge (nonce)           no data about the agent
    entry -> Proof
    agent -> Hello (identity), Proof     only after the entry's proof is valid

A proof is an HMAC over the transcript so far and the role of its sender, so a recorded
proof is invalid on another connection, between other instances and in the other
direction. The entry proves first: a peer without a key learns nothing and is
disconnected.

This module does no I/O; `fescuedrum.wire.connection` sends and receives the frames.
"""

import hashlib
import hmac
from dataclasses import dataclass

from fescuedrum.conf.schema import setting
from fescuedrum.exceptions import IncompatiblePeerError, PeerRefusedError
from fescuedrum.wire.gen.frames import ttypes as frames

PROTOCOL = 1
MINIMUM_PROTOCOL = 1
NONCE_BYTES = 32
ENTRY = "entry"
AGENT = "agent"
# Keeps these proofs apart from other uses of the same key.
CONTEXT = b"fescuedrum-peer-proof-1"


@dataclass(slots=True)
class PeerKey:
    """Hold a key that the processes of a site share."""

    id: str = setting(help="Name of the key, sent unencrypted.")
    secret: str = setting(help="Random text of at least 32 characters.")


class Keyring:
    """Sign with the first key and accept any; without keys accept every peer."""

    __slots__ = ("keys",)

    def __init__(self, keys):
        self.keys = list(keys)

    def find(self, key_id):
        """Return the key with an id, or None."""
        return next((each for each in self.keys if each.id == key_id), None)

    def prove(self, prover, transcript, key_id=None):
        """Return a proof, signed with the key of the given id if it is known."""
        if not self.keys:
            return frames.Proof(key_id="", mac=b"")
        key = self.find(key_id) or self.keys[0]
        return frames.Proof(key_id=key.id, mac=sign(key, prover, transcript))

    def accepts(self, proof, prover, transcript):
        """Return whether a proof is valid under one of the keys."""
        if not self.keys:
            return True
        key = self.find(proof.key_id)
        if key is None:
            return False
        return hmac.compare_digest(
            sign(key, prover, transcript), as_bytes(proof.mac or b"")
        )


def sign(key, prover, transcript):
    """Return the HMAC of a transcript and the role of its prover."""
    message = pack([CONTEXT, prover.encode(), *transcript])
    return hmac.new(key.secret.encode(), message, hashlib.sha256).digest()


def pack(parts):
    """Join parts with length prefixes, so that different lists give different bytes."""
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def as_bytes(value):
    """Return a binary field as bytes; thrift decodes valid text to str."""
    return value.encode() if isinstance(value, str) else value


def signed_fields(hello):
    """Return the fields of a Hello that a proof covers."""
    fields = (
        hello.role,
        hello.instance,
        hello.incarnation,
        hello.zone,
        hello.endpoint,
        hello.service_name,
        hello.addressee,
        hello.protocol,
        hello.minimum_protocol,
    )
    return [str(field).encode() for field in fields] + [as_bytes(hello.nonce or b"")]


def negotiate(peer):
    """Return the common protocol; raise IncompatiblePeerError if there is none."""
    newest, oldest = peer.protocol or 1, peer.minimum_protocol or 1
    if newest < MINIMUM_PROTOCOL or oldest > PROTOCOL:
        raise IncompatiblePeerError(
            f"The peer speaks protocols {oldest} to {newest},"
            f" this process {MINIMUM_PROTOCOL} to {PROTOCOL}."
        )
    return min(newest, PROTOCOL)


class InitiatorHandshake:
    """Run the handshake of the side that connects to a process of a given role."""

    __slots__ = ("expected", "hello", "keyring", "peer", "protocol", "transcript")

    def __init__(self, keyring, hello, *, addressee, nonce, expected=AGENT):
        self.expected = expected
        hello.protocol = PROTOCOL
        hello.minimum_protocol = MINIMUM_PROTOCOL
        hello.nonce = nonce
        hello.addressee = addressee
        self.keyring = keyring
        self.hello = hello
        self.transcript = signed_fields(hello)
        self.peer = None
        self.protocol = None

    def open(self):
        """Return the first frames to send."""
        return [{"hello": self.hello}]

    def receive(self, body):
        """Handle a frame's body and return the frames to send."""
        match body:
            case frames.Challenge() if self.protocol is None:
                self.protocol = negotiate(body)
                self.transcript.append(check_nonce(body.nonce))
                return [{"proof": self.keyring.prove(ENTRY, self.transcript)}]
            case frames.Hello() if self.protocol and self.peer is None:
                self.check_role(body)
                self.check_addressee(body)
                self.peer = body
                self.transcript += signed_fields(body)
                return []
            case frames.Proof() if self.peer and not self.done:
                if not self.keyring.accepts(body, AGENT, self.transcript):
                    raise PeerRefusedError(
                        f"The agent at {body.key_id!r} proved no key."
                    )
                self.transcript = None
                return []
        raise PeerRefusedError(f"The peer sent {type(body).__name__} in the handshake.")

    def check_role(self, hello):
        """Raise PeerRefusedError unless the peer has the expected role."""
        if hello.role != self.expected:
            raise PeerRefusedError(
                f"{hello.instance!r} is {hello.role!r}, not {self.expected!r}."
            )

    def check_addressee(self, hello):
        """Raise PeerRefusedError if the address now belongs to another instance."""
        if hello.instance != self.hello.addressee:
            raise PeerRefusedError(
                f"{hello.instance!r} answers at the address"
                f" of {self.hello.addressee!r}."
            )

    @property
    def done(self):
        """Return whether the peer's proof was accepted."""
        return self.transcript is None


class ResponderHandshake:
    """Run the handshake of the side that accepts the connection."""

    __slots__ = ("done", "hello", "keyring", "nonce", "peer", "protocol", "transcript")

    def __init__(self, keyring, hello, *, nonce):
        hello.protocol = PROTOCOL
        hello.minimum_protocol = MINIMUM_PROTOCOL
        hello.nonce = nonce
        self.keyring = keyring
        self.hello = hello
        self.nonce = nonce
        self.peer = None
        self.protocol = None
        self.transcript = []
        self.done = False

    def open(self):
        """Return the first frames to send: none, as the other side begins."""
        return []

    def receive(self, body):
        """Handle a frame's body and return the frames to send."""
        match body:
            case frames.Hello(role="entry") if self.peer is None:
                return self.challenge(body)
            case frames.Proof() if self.peer and not self.done:
                return self.answer(body)
        raise PeerRefusedError(f"The peer sent {type(body).__name__} in the handshake.")

    def challenge(self, hello):
        """Return the Challenge that answers the peer's Hello."""
        check_nonce(hello.nonce)
        self.peer = hello
        self.transcript = [*signed_fields(hello), self.nonce]
        reply = frames.Challenge(PROTOCOL, MINIMUM_PROTOCOL, self.nonce)
        return [{"challenge": reply}]

    def answer(self, proof):
        """Check the peer's proof and return this side's Hello and proof."""
        # Checked only now, so that an incompatible entry learns why from the challenge.
        self.protocol = negotiate(self.peer)
        if not self.keyring.accepts(proof, ENTRY, self.transcript):
            raise PeerRefusedError(
                f"The entry's proof with key {proof.key_id!r} is wrong."
            )
        if self.peer.addressee != self.hello.instance:
            raise PeerRefusedError(f"The entry addressed {self.peer.addressee!r}.")
        self.done = True
        self.transcript += signed_fields(self.hello)
        # The entry may not have this side's newest key yet.
        made = self.keyring.prove(AGENT, self.transcript, proof.key_id)
        return [{"hello": self.hello}, {"proof": made}]


def check_nonce(nonce):
    """Return a nonce as bytes; raise PeerRefusedError if it is not valid."""
    value = as_bytes(nonce or b"")
    if len(value) != NONCE_BYTES:
        raise PeerRefusedError("The peer sent no nonce.")
    return value
