"""Put together the beacon of a gateway from its parts."""

import asyncio

from fescuedrum.wire.gen.gateways.ttypes import Beacon
from fescuedrum_gateway.process.beacons.demand import (
    encode_demand,
    encode_organisations,
)
from fescuedrum_gateway.process.beacons.groups import encode_members, encode_states
from fescuedrum_gateway.process.beacons.limits import encode_limits
from fescuedrum_gateway.process.beacons.loads import encode_loads
from fescuedrum_gateway.process.beacons.quarantine import (
    encode_ended,
    encode_sound,
    encode_suspects,
)


def build_beacon(gateway) -> Beacon:
    """Return a beacon with what a gateway tells the others."""
    now = asyncio.get_running_loop().time()
    operators, endpoints = (each.replica.version for each in gateway.followers)
    leads = gateway.supervisor is not None and gateway.supervisor.leads
    return Beacon(
        leaving=gateway.leaving or None,
        store_answers=gateway.store_answers,
        operators_version=operators,
        endpoints_version=endpoints,
        loads=encode_loads(gateway.directory.own_loads()),
        limits=encode_limits(gateway.directory.rate_limits, now) or None,
        group_members=encode_members(gateway.group_exchange.next_slice(leads=leads)),
        group_states=encode_states(gateway.group_exchange.reports(), now),
        demand=encode_demand(gateway.places.own_demand()) or None,
        organisations=encode_organisations(gateway.places.own_organisations()) or None,
        ended=encode_ended(gateway.quarantine.recently_ended(), now) or None,
        suspects=encode_suspects(gateway.quarantine.quarantine, now) or None,
        sound_parts=encode_sound(gateway.quarantine.quarantine, now) or None,
    )
