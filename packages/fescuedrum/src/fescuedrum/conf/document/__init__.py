"""Define the configuration document, which holds the whole desired state as JSON."""

from fescuedrum.conf.document.encoding import (
    decode,
    document_hash,
    encode_canonical,
    parse,
)
from fescuedrum.conf.document.model import (
    Adapter,
    Document,
    Endpoint,
    EndpointRole,
    KeyHash,
    Limits,
    Model,
    Organisation,
    RankGroup,
    Service,
    ServiceKind,
    SharingRule,
    WorkClass,
    Zone,
    ZoneState,
    hash_key,
)
from fescuedrum.conf.document.validation import check_document

__all__ = [
    "Adapter",
    "Document",
    "Endpoint",
    "EndpointRole",
    "KeyHash",
    "Limits",
    "Model",
    "Organisation",
    "RankGroup",
    "Service",
    "ServiceKind",
    "SharingRule",
    "WorkClass",
    "Zone",
    "ZoneState",
    "check_document",
    "decode",
    "document_hash",
    "encode_canonical",
    "hash_key",
    "parse",
]
