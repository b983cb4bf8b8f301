"""Let one call wait at the gateway while its service is down."""

import asyncio
import enum
import logging

from fescuedrum.decisions.returning.waiting import Waiter, wait_end
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import GroupAwaited, WaitingForGroup
from fescuedrum.exceptions import GroupDown, Overloaded, ProcessStopping
from fescuedrum_gateway.request.call import Answered, NotRun

logger = logging.getLogger(__name__)


class WaitResult(enum.StrEnum):
    """Say what became of a request that waited."""

    SERVED = "served"
    REFUSED = "refused"
    LEFT = "left"


class ServiceWait:
    """The waits of one call for its service, which together have one limit."""

    __slots__ = (
        "attempts",
        "is_due",
        "lacked_budget",
        "loop",
        "refusal",
        "result",
        "seconds",
        "until",
    )

    def __init__(self, attempts):
        self.attempts = attempts
        self.loop = asyncio.get_running_loop()
        # End of all its waits; None before the first one.
        self.until = None
        # Whether it was refused and is to wait before it is sent again.
        self.is_due = False
        # Whether the retry budget had nothing left when it was last released.
        self.lacked_budget = False
        # The error to raise when the wait ends in vain.
        self.refusal = None
        self.seconds = 0.0
        self.result = None

    @property
    def returns(self):
        return self.attempts.gateway.returns

    @property
    def is_probe(self) -> bool:
        """Return whether the call is sent to find out if its service is back.

        A refusal then means that the service is still down, however long ago other
        endpoints refused.
        """
        if self.until is None:
            return False
        return not self.returns.is_answering(self.attempts.call.service)

    def may_wait(self) -> bool:
        """Return whether the call may wait, and may still be sent after it.

        Only a caller that was refused before waits, as it does not retry again. A call
        that may have run is never held, as it could not be reported as not run.
        """
        attempts, call = self.attempts, self.attempts.call
        if not call.is_caller_retry or attempts.possible_run is not None:
            return False
        if not self.returns.is_in_force(call.service):
            return False
        if attempts.gateway.stop_plan is not None or attempts.attempts_left < 1:
            return False
        until = self.limit()
        return (
            self.loop.time() < until
            and attempts.has_time_left(until)
            and self.returns.has_room(call.service)
        )

    def limit(self) -> float:
        """Return until when the call may wait."""
        if self.until is not None:
            return self.until
        call = self.attempts.call
        return wait_end(call.arrived, self.loop.time(), call.deadline)

    def follows(self, result) -> bool:
        """Return whether the call waits after a result or an error of an attempt.

        A service that is only full is not waited for, except by a call that has waited
        for it to come back.
        """
        match result:
            case NotRun(everywhere=True):
                self.is_due = self.may_wait()
            case NotRun(answer=Answered()) if self.keeps_last_attempt():
                self.is_due = self.may_wait()
            case GroupDown() if self.until is not None:
                self.refusal = result
                self.is_due = self.may_wait()
            case Overloaded() if type(result) is Overloaded and self.until is not None:
                self.refusal = result
                self.is_due = self.may_wait()
            case _:
                self.is_due = False
        return self.is_due

    def keeps_last_attempt(self) -> bool:
        """Return whether the last attempt is kept until the service answers again.

        A gateway with few requests learns of an outage by the refusals of this one
        call. Sent at once, its last attempt would meet the same outage.
        """
        is_last = self.attempts.attempts_left == 1
        return is_last and not self.returns.has_groups(self.attempts.call.service)

    async def until_answering(self) -> None:
        """Wait if the service is down; raise an Overloaded if that is in vain."""
        attempts, call = self.attempts, self.attempts.call
        if not self.is_due:
            is_first = attempts.attempt_count == 0 and self.until is None
            if not is_first or not call.is_caller_retry:
                return
            if not self.returns.is_awaited(call.service) or not self.may_wait():
                return
        attempts.raise_if_too_slow(call.head.last_event_id)
        # While it waits, the request is at no endpoint.
        attempts.release()
        self.is_due = False
        self.begin()
        while await self.wait_once():
            if attempts.may_retry():
                attempts.tried.clear()
                self.lacked_budget = False
                return
            self.lacked_budget = True
        if self.refusal is not None:
            raise self.refusal
        if self.returns.is_answering(call.service):
            raise Overloaded(f"{call.service}: no place in {self.seconds:.1f} s.")
        raise GroupDown(f"{call.service} did not answer in {self.seconds:.1f} s.")

    def begin(self) -> None:
        """Log the first wait of the call and set the limit of all its waits."""
        if self.until is not None:
            return
        call = self.attempts.call
        self.until = self.limit()
        event = WaitingForGroup(
            request=call.head.request_id,
            service=call.service,
            rank=self.returns.rank(call),
            longest=round(self.until - self.loop.time(), 3),
        )
        log_event(logger, event)

    async def wait_once(self) -> bool:
        """Wait until the call may be sent; return False if its time is over."""
        call, began = self.attempts.call, self.loop.time()
        waiter = Waiter(
            self.returns.rank(call),
            call.deadline,
            began,
            self.until,
            self.attempts.attempts_left,
            self.lacked_budget,
        )
        # The caller leaves if the wait is cancelled.
        self.result = WaitResult.LEFT
        try:
            is_released = await self.returns.wait(call.service, waiter)
            self.result = WaitResult.REFUSED
        except ProcessStopping:
            self.result = WaitResult.REFUSED
            raise
        finally:
            self.seconds += self.loop.time() - began
        return is_released

    def record_taken(self) -> None:
        """Record that an endpoint took the request."""
        if self.until is not None:
            self.result = WaitResult.SERVED

    def end(self) -> None:
        """Count and log the wait of a call that has ended."""
        if self.until is None:
            return
        call, metrics = self.attempts.call, self.attempts.gateway.metrics.returns
        metrics.waits.labels(call.service, self.result).inc()
        metrics.wait_seconds.labels(call.service).observe(self.seconds)
        seconds = round(self.seconds, 3)
        log_event(logger, GroupAwaited(call.head.request_id, seconds, self.result))
