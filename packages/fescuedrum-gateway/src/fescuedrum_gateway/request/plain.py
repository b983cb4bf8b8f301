"""Carry out a request whose answer comes in one piece."""

import asyncio

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
    """Send a call until an endpoint answers or no further sending is allowed."""

    __slots__ = ("attempts", "call")

    def __init__(self, call, gateway):
        self.call = call
        self.attempts = Attempts(call, gateway)

    async def run(self):
        """Return the endpoint's answer; raise a FescuedrumError instead."""
        try:
            async with asyncio.timeout_at(self.call.ends_at):
                return settle(
                    await self.attempts.send_until_settled(self.send_once, self.is_open)
                )
        except TimeoutError:
            raise AnswerOverdue("No answer came in the caller's time.") from None
        finally:
            self.attempts.release()

    async def send_once(self):
        opened = await self.attempts.open()
        if isinstance(opened, NotRun | Lost):
            return opened
        return await opened.read()

    def is_open(self, result):
        return is_open(result, self.call.route.kind)


def is_open(result, kind):
    """Tell whether sending a call again could give a better result."""
    match result:
        case NotRun(everywhere=everywhere):
            return not everywhere
        case Answered(head):
            return kind.is_repeatable and head.status in SERVER_ERRORS
        case _:
            return kind.is_repeatable


def settle(result):
    """Return the answer that a caller gets; raise when there is none."""
    match result:
        case Answered():
            return result
        case NotRun(reason, everywhere=True):
            raise GroupDown(reason)
        case NotRun(reason):
            raise Unavailable(reason)
        case Lost(reason):
            raise AnswerLost(f"Its last sending: {reason}.")
