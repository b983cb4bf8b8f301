"""Follow what the attempts of a call show about the parts of its prompt."""

import asyncio

from fescuedrum.decisions.placing.presence import ListedEndpoint
from fescuedrum.exceptions import AnswerLost
from fescuedrum_gateway.process.quarantine import PromptQuarantine
from fescuedrum_gateway.request.call import Call

# Parts of a prompt in a line of the log.
LOGGED_PARTS = 8


class PromptAttempts:
    """Tell the quarantine how attempts end, and end the call if it is taken back."""

    __slots__ = ("call", "open_request", "quarantine", "taken_back_for", "timeout")

    def __init__(self, call: Call, quarantine: PromptQuarantine) -> None:
        self.call = call
        self.quarantine = quarantine
        # The last attempt, until its endpoint has got over the beginning of an answer.
        self.open_request = None
        # Ends the call at its deadline, or when it is taken back.
        self.timeout = asyncio.timeout_at(call.deadline)
        # Quarantined part for which it was taken back; None if it was not.
        self.taken_back_for: str | None = None

    @property
    def parts(self) -> tuple[str, ...]:
        return self.call.head.prompt_parts

    @property
    def description(self) -> str | None:
        """Return the ids of the parts for a line of the log; None if there are none."""
        return " ".join(self.parts[:LOGGED_PARTS]) or None

    def raise_if_quarantined(self) -> None:
        """Raise PromptQuarantined if the call may not be sent."""
        self.quarantine.raise_if_quarantined(self.parts)

    def sent(self, endpoint: ListedEndpoint) -> None:
        """Record that the call is sent to an endpoint."""
        self.closed()
        request_id = self.call.head.request_id
        self.open_request = self.quarantine.sent(
            request_id, self.parts, endpoint, self.take_back
        )

    def answered(self) -> None:
        """Record that the endpoint has got over the beginning of an answer."""
        self.closed()
        self.quarantine.answered(self.parts)

    def broke(self) -> None:
        """Record that the last attempt broke off before its answer showed anything."""
        if self.open_request is not None:
            self.quarantine.broke(self.open_request)
            self.open_request = None

    def closed(self) -> None:
        """Record that the last attempt is over, whatever its result."""
        if self.open_request is not None:
            self.quarantine.closed(self.open_request)
            self.open_request = None

    def take_back(self, part: str) -> None:
        """End the call, as endpoints end at a part of its prompt."""
        self.taken_back_for = part
        if not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())

    def describe_taking_back(self) -> str | None:
        """Return why the call was taken back from its endpoint; None if it was not."""
        if self.taken_back_for is None:
            return None
        return f"taken back: endpoints end at prompts with part {self.taken_back_for}"

    def raise_if_taken_back(self) -> None:
        """Raise AnswerLost for a call that was taken back from its endpoint."""
        if reason := self.describe_taking_back():
            raise AnswerLost(f"Last attempt: {reason}.")
