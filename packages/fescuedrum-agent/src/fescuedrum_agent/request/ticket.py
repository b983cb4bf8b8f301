"""Track one request at the gate: waiting, running, or refused without a run."""

import asyncio

from fescuedrum.decisions.admitting.queueing import Work, priority_class
from fescuedrum.outcomes import Outcome
from fescuedrum_agent.process.gate import Abandoned, Answered, Failed
from fescuedrum_agent.request.cost import estimate_size, measure_cost

DEFAULT_PRIORITY = 5
CLIENT_ERROR = 400
UNAVAILABLE = 503


class Ticket:
    """Hold a request, its answer and its task from the offer to the end."""

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
            size=estimate_size(request),
            payload=self,
        )

    def start(self, *, cold):
        """Start the request, which the gate has admitted."""
        self.answer.cold = cold
        now = asyncio.get_running_loop().time()
        self.started_at = now
        self.answer.waited_ms = int((now - self.work.arrived) * 1000)
        # Waiting used up a part of the request's time budget.
        self.request.budget_ms = max(1, int((self.work.deadline - now) * 1000))
        self.task = asyncio.create_task(self.execution.run())
        self.task.add_done_callback(lambda _: self.on_end(self))

    def refuse(self, refused):
        """End a waiting request that was refused, as not run."""
        self.answer.retry_after_ms = int(refused.retry_after * 1000)
        self.answer.finish(Outcome.NOT_RUN, refused.reason.value)
        self.on_end(self)

    @property
    def was_started(self):
        """Return whether the request was sent to the endpoint."""
        return self.started_at is not None

    def result(self, now):
        """Return the result of a request that ran, for the gate."""
        answer = self.answer
        if answer.unavailable or answer.status == UNAVAILABLE:
            return Failed(unavailable=True)
        if answer.outcome is Outcome.FAILED:
            return Failed(unavailable=False)
        if answer.outcome is not Outcome.ANSWERED or answer.status >= CLIENT_ERROR:
            return Abandoned()
        cost, size = measure_cost(self.request, answer, self.work)
        return Answered(now - self.started_at, cost, size)
