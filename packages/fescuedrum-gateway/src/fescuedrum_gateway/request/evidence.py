"""Follow what the attempts of a call show about what ends endpoints."""

import asyncio

from fescuedrum.decisions.placing.presence import ListedEndpoint
from fescuedrum.exceptions import AnswerLost
from fescuedrum_gateway.process.quarantine import GatewayQuarantine
from fescuedrum_gateway.request.call import Call

# Parts of a prompt in a line of the log.
LOGGED_PARTS = 8


class CallEvidence:
    """Tell the quarantine how attempts end, and end the call if it is taken back."""

    __slots__ = ("call", "open_request", "quarantine", "taken_back_for", "timeout")

    def __init__(self, call: Call, quarantine: GatewayQuarantine) -> None:
        self.call = call
        self.quarantine = quarantine
        # The last attempt, until its answer is whole or has broken off.
        self.open_request = None
        # Ends the call at its deadline, or when it is taken back.
        self.timeout = asyncio.timeout_at(call.deadline)
        # Quarantined trait for which it was taken back; None if it was not.
        self.taken_back_for: str | None = None

    @property
    def parts(self) -> str | None:
        """Return the ids of the parts for a line of the log; None if there are none."""
        return " ".join(self.call.head.prompt_parts[:LOGGED_PARTS]) or None

    async def until_checked(self) -> None:
        """Wait until it is known whether endpoints have ended at the call.

        It waits only if that decides whether the call may be sent once more.
        """
        await self.quarantine.until_checked(self.call.fingerprint)

    def raise_if_quarantined(self) -> None:
        """Raise Quarantined if the call may not be sent."""
        self.quarantine.raise_if_quarantined(self.call.traits)

    def sent(self, endpoint: ListedEndpoint) -> None:
        """Record that the call is sent to an endpoint."""
        self.closed()
        head, own = self.call.head, self.call.fingerprint
        self.open_request = self.quarantine.sent(
            head.request_id, head.prompt_parts, own, endpoint, self.take_back
        )

    def begun(self) -> None:
        """Record that the endpoint has got over the beginning of an answer."""
        if self.open_request is not None:
            self.quarantine.begun(self.open_request)

    def answered(self) -> None:
        """Record that the answer is whole."""
        if self.open_request is not None:
            self.quarantine.answered(self.open_request)
            self.open_request = None

    def broke(self) -> None:
        """Record that the last attempt broke off."""
        if self.open_request is not None:
            self.quarantine.broke(self.open_request)
            self.open_request = None

    def closed(self) -> None:
        """Record that the last attempt is over, whatever its result."""
        if self.open_request is not None:
            self.quarantine.closed(self.open_request)
            self.open_request = None

    def take_back(self, trait: str) -> None:
        """End the call, as endpoints end at something in it."""
        self.taken_back_for = trait
        if not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())

    def describe_taking_back(self) -> str | None:
        """Return why the call was taken back from its endpoint; None if it was not."""
        if self.taken_back_for is None:
            return None
        return f"taken back: endpoints end at requests with {self.taken_back_for}"

    def raise_if_taken_back(self) -> None:
        """Raise AnswerLost for a call that was taken back from its endpoint."""
        if reason := self.describe_taking_back():
            raise AnswerLost(f"Last attempt: {reason}.")
