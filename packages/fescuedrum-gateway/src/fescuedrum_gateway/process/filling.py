"""Define how many places of a service there are, and how many are taken."""

from collections.abc import Mapping
from dataclasses import dataclass

from fescuedrum.decisions.placing.placement import Load
from fescuedrum.decisions.placing.presence import ListedEndpoint


@dataclass(slots=True, frozen=True)
class Filling:
    """Hold the places of a service and the requests at them, of all gateways.

    Endpoints that rest or have failed a moment ago, and those of groups that are out,
    get no requests and have no places.
    """

    places: int
    taken: int
    # Number of endpoints that have these places.
    endpoints: int
    # All usable endpoints, and the other gateways' loads by name.
    usable: list[ListedEndpoint]
    loads: Mapping[str, Load]
