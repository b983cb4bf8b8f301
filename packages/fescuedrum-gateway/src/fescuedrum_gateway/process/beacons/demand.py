"""Encode and decode what gateways tell each other of the demand for services."""

import collections
from collections.abc import Iterable, Mapping

from fescuedrum.decisions.admitting.demand import is_valid
from fescuedrum.wire.gen.gateways.ttypes import OrganisationLoad, RankDemand

# Entries that still leave room for the loads in one packet.
MAXIMUM_RATES = 18
MAXIMUM_ORGANISATIONS = 12
ORGANISATIONS_PER_SERVICE = 4
# Higher reported counts of running requests are invalid.
MAXIMUM_RUNNING = 10_000


def encode_demand(demand: Mapping[str, Mapping[int, float]]) -> list[RankDemand]:
    """Return the requests per second by service and rank in the form of a beacon."""
    rates = [
        RankDemand(service=service, rank=rank, per_second=per_second)
        for service, by_rank in demand.items()
        for rank, per_second in sorted(by_rank.items())
    ]
    return rates[:MAXIMUM_RATES]


def decode_demand(rates: Iterable[RankDemand]) -> dict[str, dict[int, float]]:
    """Return the rates in a beacon by service and rank, without impossible ones."""
    demand = collections.defaultdict(dict)
    for each in rates:
        if is_valid(each.rank, each.per_second):
            demand[each.service or ""][each.rank] = each.per_second
    return dict(demand)


def encode_organisations(
    running: Mapping[str, collections.Counter[str]],
) -> list[OrganisationLoad]:
    """Return the organisations with the most running requests of each service."""
    loads = [
        OrganisationLoad(service=service, organisation=name, requests=requests)
        for service, counts in running.items()
        for name, requests in counts.most_common(ORGANISATIONS_PER_SERVICE)
        if requests > 0
    ]
    return loads[:MAXIMUM_ORGANISATIONS]


def decode_organisations(
    loads: Iterable[OrganisationLoad],
) -> dict[str, dict[str, int]]:
    """Return the running requests in a beacon by service and organisation."""
    running = collections.defaultdict(dict)
    for each in loads:
        if 0 < (each.requests or 0) <= MAXIMUM_RUNNING:
            running[each.service or ""][each.organisation or ""] = each.requests
    return dict(running)
