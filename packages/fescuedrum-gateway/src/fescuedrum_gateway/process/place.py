"""Define the place of a running request, and a request that waits for one."""

import asyncio
from dataclasses import dataclass

from fescuedrum.decisions.admitting.places import PlaceRequest
from fescuedrum_gateway.process.contested import ContestedService
from fescuedrum_gateway.process.filling import Filling


class Place:
    """Count a running request of a contested service until it ends."""

    __slots__ = ("began", "filling", "loop", "organisation", "service", "was_decided")

    def __init__(
        self,
        service: ContestedService,
        organisation: str,
        filling: Filling | None,
        *,
        was_decided: bool,
    ) -> None:
        self.service = service
        self.organisation = organisation
        # Whether it was granted by urgency; False while a single rank is requested.
        self.was_decided = was_decided
        # The filling that the decision used, if it was made at once.
        self.filling = filling
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        service.enter(organisation)

    def leave(self) -> None:
        """Count the end of the request."""
        self.service.leave(self.organisation, self.loop.time() - self.began)


@dataclass(slots=True, eq=False)
class Waiter:
    """Hold a request that waits for a place."""

    request: PlaceRequest
    # (rank, deadline): the lowest is served first.
    sort_key: tuple[int, float]
    granted: asyncio.Future
