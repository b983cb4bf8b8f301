"""Carry one request through the gate: waiting, running, or refused unrun."""

import asyncio

from fescuedrum.decisions.queueing import Work, priority_class
from fescuedrum.outcomes import Outcome
from fescuedrum_agent.process.gate import Abandoned, Answered, Failed
from fescuedrum_agent.request.cost import estimated_size, true_cost

DEFAULT_PRIORITY = 5
CLIENT_ERROR = 400
UNAVAILABLE = 503


class Ticket:
    """Own one request from its offer to the gate to its end."""

    __slots__ = (
        "answer",
        "execution",
        "on_end",
        "request",
        "started_at",
        "task",
        "work",
    )

    def __init__(self, request, answer, execution, on_end, now):
        self.request = request
        self.answer = answer
        self.execution = execution
        self.on_end = on_end
        self.started_at = None
        self.task = None
        priority = request.priority
        self.work = Work(
            organisation=request.organisation or "",
            cost=max(request.cost or 1.0, 1.0),
            deadline=now + request.budget_ms / 1000,
            arrived=now,
            rank=priority_class(DEFAULT_PRIORITY if priority is None else priority),
            size=estimated_size(request),
            payload=self,
        )

    def start(self, *, cold):
        """Run the request; the gate has given it a place."""
        self.answer.cold = cold
        now = asyncio.get_running_loop().time()
        self.started_at = now
        self.answer.waited_ms = int((now - self.work.arrived) * 1000)
        # The endpoint gets the time that is left, not the time there was at first.
        self.request.budget_ms = max(1, int((self.work.deadline - now) * 1000))
        self.task = asyncio.create_task(self.execution.run())
        self.task.add_done_callback(lambda _: self.on_end(self))

    def refuse(self, refused):
        """End a request that waited; it provably did not run."""
        self.answer.retry_after_ms = int(refused.retry_after * 1000)
        self.answer.finish(Outcome.NOT_RUN, refused.reason.value)
        self.on_end(self)

    @property
    def ran(self):
        return self.started_at is not None

    def result(self, now):
        """Return what the gate learns from the end of a request that ran."""
        answer = self.answer
        if answer.unavailable or answer.status == UNAVAILABLE:
            return Failed(unavailable=True)
        if answer.outcome is Outcome.FAILED:
            return Failed(unavailable=False)
        if answer.outcome is not Outcome.ANSWERED or answer.status >= CLIENT_ERROR:
            return Abandoned()
        cost, size = true_cost(self.request, answer, self.work)
        return Answered(now - self.started_at, cost, size)
