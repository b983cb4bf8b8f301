"""Run a request whose answer is not a stream."""

from fescuedrum.exceptions import (
    AnswerLost,
    AnswerOverdue,
    GroupDown,
    Unavailable,
)
from fescuedrum_gateway.request.attempts import Attempts
from fescuedrum_gateway.request.call import Answered, Lost, NotRun

SERVER_ERRORS = range(500, 600)


class PlainRun:
    """Send a call until an endpoint answers or no retry is allowed."""

    __slots__ = ("attempts", "call")

    def __init__(self, call, gateway):
        self.call = call
        self.attempts = Attempts(call, gateway)

    async def run(self):
        """Return an endpoint's answer; raise a FescuedrumError if there is none."""
        try:
            async with self.attempts.evidence.timeout:
                return answer_or_raise(
                    await self.attempts.send_with_retries(
                        self.send_once, self.is_retryable
                    )
                )
        except TimeoutError:
            self.attempts.evidence.raise_if_taken_back()
            self.attempts.record_deadline_passed()
            raise AnswerOverdue("No answer came before the deadline.") from None
        finally:
            self.attempts.end()

    async def send_once(self):
        """Send the call once; return Answered, NotRun or Lost."""
        opened = await self.attempts.open()
        if isinstance(opened, NotRun | Lost):
            return opened
        result = await opened.read()
        if isinstance(result, Lost):
            self.attempts.record_broken_answer(result)
        elif opened.head.succeeded and not opened.ends_with_connection:
            self.attempts.evidence.answered()
        return result

    def is_retryable(self, result):
        """Return whether sending the call again could give a better result."""
        return is_retryable(result, self.call.route.kind)


def is_retryable(result, kind):
    """Return whether sending a call again could give a better result."""
    match result:
        case NotRun(everywhere=everywhere):
            return not everywhere
        case Answered(head):
            return kind.is_repeatable and head.status in SERVER_ERRORS
        case _:
            return kind.is_repeatable


def answer_or_raise(result):
    """Return the Answered for the caller; raise a FescuedrumError if there is none."""
    match result:
        case Answered():
            return result
        case NotRun(reason, everywhere=True):
            raise GroupDown(reason)
        case NotRun(reason):
            raise Unavailable(reason)
        case Lost(reason):
            raise AnswerLost(f"Last attempt: {reason}.")
