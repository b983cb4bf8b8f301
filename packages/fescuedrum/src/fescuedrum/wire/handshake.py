"""Prove to each other that both ends of a connection hold a peer key.

The entry dials and the agent answers:

    entry -> Hello (identity, nonce, addressee)
    agent -> Challenge (nonce)           nothing about the agent
    entry -> Proof
    agent -> Hello (identity), Proof     only after the entry's proof

A proof is an HMAC over all that was said before it and the role of the prover, so a
recorded proof fits no other connection, no other pair of instances and not the other
direction. The entry proves first: a stranger learns nothing and is closed.

This module only decides; `fescuedrum.wire.connection` moves the frames.
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
# What the connection must not repeat in another purpose of the same key.
CONTEXT = b"fescuedrum-peer-proof-1"


@dataclass(slots=True)
class PeerKey:
    """Hold one shared key of the fleet's processes."""

    id: str = setting(help="Name of the key, told in the clear.")
    secret: str = setting(help="Random text of at least 32 characters.")


class Keyring:
    """Prove with the first key and accept each one; without keys accept anybody."""

    __slots__ = ("keys",)

    def __init__(self, keys):
        self.keys = list(keys)

    def find(self, key_id):
        return next((each for each in self.keys if each.id == key_id), None)

    def prove(self, prover, transcript, key_id=None):
        """Return one side's proof, with the key that the other side used if given."""
        if not self.keys:
            return frames.Proof(key_id="", mac=b"")
        key = self.find(key_id) or self.keys[0]
        return frames.Proof(key_id=key.id, mac=sign(key, prover, transcript))

    def accepts(self, proof, prover, transcript):
        """Tell whether a proof was made with one of the keys."""
        if not self.keys:
            return True
        key = self.find(proof.key_id)
        if key is None:
            return False
        return hmac.compare_digest(
            sign(key, prover, transcript), as_bytes(proof.mac or b"")
        )


def sign(key, prover, transcript):
    message = pack([CONTEXT, prover.encode(), *transcript])
    return hmac.new(key.secret.encode(), message, hashlib.sha256).digest()


def pack(parts):
    """Join parts so that no two lists of parts give the same bytes."""
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def as_bytes(value):
    # A peer may have sent any bytes; thrift hands text back where they are text.
    return value.encode() if isinstance(value, str) else value


def identity(hello):
    """Return the parts of a Hello that a proof binds."""
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
    """Return the protocol to speak; raise IncompatiblePeerError when there is none."""
    newest, oldest = peer.protocol or 1, peer.minimum_protocol or 1
    if newest < MINIMUM_PROTOCOL or oldest > PROTOCOL:
        raise IncompatiblePeerError(
            f"The peer speaks protocols {oldest} to {newest},"
            f" this process {MINIMUM_PROTOCOL} to {PROTOCOL}."
        )
    return min(newest, PROTOCOL)


class InitiatorHandshake:
    """Decide the handshake of the side that dials a process of the expected role."""

    __slots__ = ("expected", "hello", "keyring", "peer", "protocol", "transcript")

    def __init__(self, keyring, hello, *, addressee, nonce, expected=AGENT):
        self.expected = expected
        hello.protocol = PROTOCOL
        hello.minimum_protocol = MINIMUM_PROTOCOL
        hello.nonce = nonce
        hello.addressee = addressee
        self.keyring = keyring
        self.hello = hello
        self.transcript = identity(hello)
        self.peer = None
        self.protocol = None

    def open(self):
        return [{"hello": self.hello}]

    def receive(self, body):
        """Take a frame and return those to send; `done` turns true at the end."""
        match body:
            case frames.Challenge() if self.protocol is None:
                self.protocol = negotiate(body)
                self.transcript.append(check_nonce(body.nonce))
                return [{"proof": self.keyring.prove(ENTRY, self.transcript)}]
            case frames.Hello() if self.protocol and self.peer is None:
                self.check_role(body)
                self.check_addressee(body)
                self.peer = body
                self.transcript += identity(body)
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
        if hello.role != self.expected:
            raise PeerRefusedError(
                f"{hello.instance!r} is {hello.role!r}, not {self.expected!r}."
            )

    def check_addressee(self, hello):
        # An address that was given to another instance must not pass for the old one.
        if hello.instance != self.hello.addressee:
            raise PeerRefusedError(
                f"{hello.instance!r} answers at the address"
                f" of {self.hello.addressee!r}."
            )

    @property
    def done(self):
        return self.transcript is None


class ResponderHandshake:
    """Decide the handshake of the side that was dialled."""

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
        return []

    def receive(self, body):
        """Take a frame and return those to send; `done` turns true at the end."""
        match body:
            case frames.Hello(role="entry") if self.peer is None:
                return self.challenge(body)
            case frames.Proof() if self.peer and not self.done:
                return self.answer(body)
        raise PeerRefusedError(f"The peer sent {type(body).__name__} in the handshake.")

    def challenge(self, hello):
        check_nonce(hello.nonce)
        self.peer = hello
        self.transcript = [*identity(hello), self.nonce]
        reply = frames.Challenge(PROTOCOL, MINIMUM_PROTOCOL, self.nonce)
        return [{"challenge": reply}]

    def answer(self, proof):
        # Only now: the challenge has told the entry why, if they are incompatible.
        self.protocol = negotiate(self.peer)
        if not self.keyring.accepts(proof, ENTRY, self.transcript):
            raise PeerRefusedError(
                f"The entry's proof with key {proof.key_id!r} is wrong."
            )
        if self.peer.addressee != self.hello.instance:
            raise PeerRefusedError(f"The entry means {self.peer.addressee!r}.")
        self.done = True
        self.transcript += identity(self.hello)
        # The entry may not hold this side's newest key yet.
        made = self.keyring.prove(AGENT, self.transcript, proof.key_id)
        return [{"hello": self.hello}, {"proof": made}]


def check_nonce(nonce):
    value = as_bytes(nonce or b"")
    if len(value) != NONCE_BYTES:
        raise PeerRefusedError("The peer sent no nonce.")
    return value
