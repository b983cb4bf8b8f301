"""Hold requests to the limits of their organisations."""

import asyncio
import contextlib
import math

from fescuedrum.decisions.allowances import OrganisationUsage
from fescuedrum.exceptions import LimitReached


class Quota:
    """Own what organisations use at this entry."""

    __slots__ = ("allowances", "entry")

    def __init__(self, entry):
        self.entry = entry
        self.allowances = OrganisationUsage()

    @contextlib.contextmanager
    def admit(self, call):
        """Count a call while it runs; raise LimitReached when it is one too many."""
        organisation = self.entry.configuration.organisations.get(call.organisation)
        if organisation is None:
            # Removed since the call was parsed; nothing bounds what is under way.
            yield
            return
        exceeded = self.allowances.start_request(
            call.organisation,
            organisation.limits,
            call.cost,
            self.entry.members.count_entries(),
            asyncio.get_running_loop().time(),
        )
        if exceeded is not None:
            raise LimitReached(
                f"The organisation's limit {exceeded.limit} is reached.",
                retry_after=math.ceil(exceeded.seconds),
            )
        try:
            yield
        finally:
            self.allowances.end_request(call.organisation)
