"""Define the classes of the configuration document.

Each field added after the first release has a default, so that older documents load.
"""

import enum
import hashlib
import hmac
from dataclasses import dataclass

from fescuedrum.conf.schema import setting

DEFAULT_PRIORITY = 5


class ServiceKind(enum.StrEnum):
    """Distinguish model engines from plain services."""

    ENGINE = "engine"
    PLAIN = "plain"


class ZoneState(enum.StrEnum):
    """Say whether a zone receives new requests."""

    IN = "in"
    OUT = "out"


class EndpointRole(enum.StrEnum):
    """Say which phases of a request an engine runs."""

    GENERAL = "general"
    PREFILL = "prefill"
    DECODE = "decode"


def idempotent_by_default():
    """Return the methods that HTTP defines as safe."""
    return ["GET", "HEAD", "OPTIONS"]


@dataclass(slots=True)
class Service:
    """Describe a service that callers can name."""

    name: str = setting(help="Name by which callers and endpoints know the service.")
    kind: ServiceKind = setting(help="engine or plain.")
    models: list[str] = setting(list, help="Models that its engines serve.")
    idempotent_methods: list[str] = setting(
        idempotent_by_default,
        help="HTTP methods of a plain service whose calls may be repeated.",
    )
    default_deadline_seconds: float | None = setting(
        None,
        help="Deadline of a request that names none; null takes the entry's setting.",
        minimum=0.001,
        unit="s",
    )


@dataclass(slots=True)
class Adapter:
    """Describe an adapter of a model."""

    name: str = setting(help="Name by which callers know the adapter.")
    version: str = setting(help="Version that engines load.")
    organisations: list[str] = setting(
        list, help="Organisations that may use it; empty allows all."
    )


@dataclass(slots=True)
class Model:
    """Describe a model, the version in use and its adapters."""

    name: str = setting(help="Name by which callers and services know the model.")
    version: str = setting(help="Version that engines are meant to serve.")
    versions: list[str] = setting(
        list, help="Versions in the weight store; empty allows any."
    )
    adapters: list[Adapter] = setting(list, help="Adapters of the model.")


@dataclass(slots=True)
class WorkClass:
    """Describe a class of work, such as interactive or overnight."""

    name: str = setting(help="Name by which organisations refer to the class.")
    priority: int = setting(
        DEFAULT_PRIORITY,
        help="7 to 9 urgent, 3 to 6 normal, 0 to 2 batch.",
        minimum=0,
        maximum=9,
    )


@dataclass(slots=True)
class KeyHash:
    """Hold a salted hash of a key or token; the key itself is not stored."""

    salt: str = setting(help="Random text that is prepended to the key before hashing.")
    sha256: str = setting(help="Hexadecimal SHA-256 of salt and key.")

    def matches(self, key):
        """Return whether this is the hash of a key, compared in constant time."""
        return hmac.compare_digest(hash_key(self.salt, key), self.sha256)


@dataclass(slots=True)
class Limits:
    """Limit what an organisation may use; null sets no limit."""

    requests_per_second: float | None = setting(
        None, help="Sustained rate of requests.", minimum=0.001, unit="1/s"
    )
    tokens_per_second: float | None = setting(
        None, help="Sustained rate of tokens, prompt included.", minimum=1, unit="1/s"
    )
    concurrent_requests: int | None = setting(
        None, help="Concurrent requests.", minimum=1
    )


@dataclass(slots=True)
class Organisation:
    """Describe an organisation, its keys, its share and its limits."""

    name: str = setting(help="Name of the organisation; keys begin with it and a dot.")
    keys: list[KeyHash] = setting(help="Salted hashes of its keys.")
    weight: float = setting(1.0, help="Share relative to others.", minimum=0.01)
    classes: list[str] = setting(
        list, help="Classes of work that it may send; empty allows all."
    )
    limits: Limits = setting(Limits, help="Limits on what it may use.")


@dataclass(slots=True)
class Zone:
    """Describe an availability zone."""

    name: str = setting(help="Name of the zone, as in each process's settings.")
    state: ZoneState = setting(ZoneState.IN, help="in, or out of service.")
    region: str = setting("", help="Region of the zone.")


@dataclass(slots=True)
class Endpoint:
    """Describe an endpoint that operators list, for example with limits of its own.

    Endpoints that announce themselves need no entry here.
    """

    name: str = setting(help="Name of the endpoint, as in its agent's settings.")
    service: str = setting(help="Service that it offers.")
    zone: str = setting(help="Availability zone that it is in.")
    roles: list[EndpointRole] = setting(
        lambda: [EndpointRole.GENERAL], help="general, prefill or decode."
    )
    checks_orders: bool = setting(
        False, help="Whether it rejects orders with an old fencing number itself."
    )
    cold_limit: int | None = setting(
        None, help="Concurrent requests when cold; null takes the agent's.", minimum=1
    )
    warm_limit: int | None = setting(
        None, help="Concurrent requests when warm; null takes the agent's.", minimum=1
    )


@dataclass(slots=True)
class SharingRule:
    """Limit the share of a service that some organisations get together."""

    name: str = setting(help="Name of the rule.")
    service: str = setting(help="Service that is shared.")
    organisations: list[str] = setting(help="Organisations that the rule applies to.")
    minimum_share: float = setting(
        0.0,
        help="Share kept for them when all demand more.",
        minimum=0.0,
        maximum=1.0,
    )
    maximum_share: float = setting(
        1.0, help="Largest share they get while others wait.", minimum=0.0, maximum=1.0
    )


@dataclass(slots=True)
class RankGroup:
    """Describe a group of ranks that run in lockstep on one expert map."""

    name: str = setting(help="Name of the group, as in its agents' settings.")
    service: str = setting(help="Service that the group offers.")
    ranks: int = setting(help="Ranks in the group.", minimum=1)
    experts: int = setting(help="Experts in each layer.", minimum=1)
    layers: int = setting(help="Layers that have experts.", minimum=1)
    slots: int = setting(help="Experts that a rank holds in each layer.", minimum=1)
    endpoints: list[str] = setting(
        list, help="Endpoints in rank order; empty takes those that agents announce."
    )


@dataclass(slots=True)
class Document:
    """Hold the whole desired state of a site."""

    services: list[Service] = setting(help="All services.")
    organisations: list[Organisation] = setting(help="All organisations.")
    zones: list[Zone] = setting(help="All availability zones.")
    endpoints: list[Endpoint] = setting(
        list, help="Endpoints with roles or limits of their own."
    )
    models: list[Model] = setting(list, help="Models and their adapters.")
    classes: list[WorkClass] = setting(list, help="Classes of work.")
    sharing_rules: list[SharingRule] = setting(
        list, help="Rules for sharing services among organisations."
    )
    rank_groups: list[RankGroup] = setting(list, help="Groups of ranks.")


def hash_key(salt, key):
    """Return the SHA-256 of a salt and a caller's key, in hexadecimal."""
    return hashlib.sha256(f"{salt}{key}".encode()).hexdigest()
