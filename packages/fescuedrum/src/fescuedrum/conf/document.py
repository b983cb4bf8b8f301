"""Define the configuration document: the whole desired state."""

import enum
import hashlib
import hmac
import json
from dataclasses import dataclass

from result import Err, Ok

from fescuedrum import checks
from fescuedrum.conf import schema
from fescuedrum.conf.schema import setting


class ServiceKind(enum.StrEnum):
    """Tell model engines from plain services."""

    ENGINE = "engine"
    PLAIN = "plain"


class ZoneState(enum.StrEnum):
    """Say whether a zone may get new work."""

    IN = "in"
    OUT = "out"


@dataclass(slots=True)
class Service:
    """Describe a service that callers can name."""

    name: str = setting(help="Name by which callers and endpoints know the service.")
    kind: ServiceKind = setting(help="engine or plain.")
    models: list[str] = setting(list, help="Models that its engines serve.")


@dataclass(slots=True)
class KeyHash:
    """Hold a salted hash of one of an organisation's keys."""

    salt: str = setting(help="Random text that goes before the key when it is hashed.")
    sha256: str = setting(help="Hexadecimal SHA-256 of salt and key.")

    def matches(self, key):
        return hmac.compare_digest(hash_key(self.salt, key), self.sha256)


@dataclass(slots=True)
class Organisation:
    """Describe an organisation and its share."""

    name: str = setting(help="Name of the organisation; keys begin with it and a dot.")
    keys: list[KeyHash] = setting(help="Salted hashes of its keys.")
    weight: float = setting(1.0, help="Share relative to others.", minimum=0.01)


@dataclass(slots=True)
class Zone:
    """Describe an availability zone."""

    name: str = setting(help="Name of the zone, as in each process's settings.")
    state: ZoneState = setting(ZoneState.IN, help="in, or out of service.")


@dataclass(slots=True)
class Document:
    """Hold the whole desired state."""

    services: list[Service] = setting(help="All services.")
    organisations: list[Organisation] = setting(help="All organisations.")
    zones: list[Zone] = setting(help="All availability zones.")


def hash_key(salt, key):
    """Hash a caller's key with its salt."""
    return hashlib.sha256(f"{salt}{key}".encode()).hexdigest()


def canonical(document):
    """Encode a document so that equal documents give equal bytes."""
    plain = schema.dump(document)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def document_hash(body):
    """Hash a document's canonical bytes."""
    return hashlib.sha256(body).hexdigest()


def parse(body):
    """Decode and check a document: Ok(Document) or Err(findings)."""
    try:
        data = json.loads(body)
    except ValueError as error:
        finding = checks.error(
            "document.E001", "$", f"Not JSON: {error}.", "Correct the JSON."
        )
        return Err([finding])
    loaded = schema.load(Document, data)
    if loaded.is_err():
        return loaded
    findings = check_names(loaded.ok_value)
    return Err(findings) if checks.has_errors(findings) else Ok(loaded.ok_value)


def check_names(document):
    """Report names that stand twice."""
    findings = []
    for field in ("services", "organisations", "zones"):
        seen = set()
        for index, item in enumerate(getattr(document, field)):
            if item.name in seen:
                findings.append(
                    checks.error(
                        "document.E002",
                        f"$.{field}[{index}].name",
                        f"{item.name!r} stands twice.",
                        "Give each its own name.",
                    )
                )
            seen.add(item.name)
    return findings
