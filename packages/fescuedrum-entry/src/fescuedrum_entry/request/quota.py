"""Enforce the limits of organisations."""

import asyncio
import contextlib
import math

from fescuedrum.decisions.admitting.allowances import OrganisationUsage
from fescuedrum.exceptions import LimitReached


class Quota:
    """Track each organisation's usage at this entry and enforce its limits."""

    __slots__ = ("entry", "usage")

    def __init__(self, entry):
        self.entry = entry
        self.usage = OrganisationUsage()

    @contextlib.contextmanager
    def admit(self, call):
        """Count a call while it runs; raise LimitReached when it exceeds a limit."""
        organisation = self.entry.configuration.organisations.get(call.organisation)
        if organisation is None:
            # The organisation was removed after the call was parsed; no limits apply.
            yield
            return
        exceeded = self.usage.start_request(
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
            self.usage.end_request(call.organisation)
