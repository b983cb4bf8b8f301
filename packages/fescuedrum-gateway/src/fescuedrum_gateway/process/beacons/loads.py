"""Encode and decode what gateways tell each other of their loads at endpoints."""

from collections.abc import Iterable

from fescuedrum.decisions.placing.placement import Load
from fescuedrum.wire.gen.gateways.ttypes import EndpointLoad

# Callers state numbers of tokens, and a larger one would not fit into the field.
MAXIMUM_TOKENS = 2**31 - 1


def encode_loads(pairs: Iterable[tuple[str, Load]]) -> list[EndpointLoad]:
    """Return pairs of an endpoint's name and a Load in the form of a beacon."""
    return [
        EndpointLoad(
            endpoint=name,
            requests=load.requests,
            unread_tokens=min(load.unread_tokens, MAXIMUM_TOKENS) or None,
            tokens=min(load.tokens, MAXIMUM_TOKENS) or None,
        )
        for name, load in pairs
    ]


def decode_loads(loads: Iterable[EndpointLoad]) -> dict[str, Load]:
    """Return the loads in a beacon by the endpoint's name."""
    return {
        each.endpoint: Load(
            each.requests or 0, each.unread_tokens or 0, max(each.tokens or 0, 0)
        )
        for each in loads
    }
