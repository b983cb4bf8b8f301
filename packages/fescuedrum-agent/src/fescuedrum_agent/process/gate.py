"""Limit the requests that run at the endpoint and share its capacity fairly.

Load pattern: several entries send requests to one endpoint at the same moment. Each
entry's view of the load is late, and only the agent receives the requests of all
entries; with limits at the entries alone, their sum overloads the endpoint. Requests
that can't run yet wait in a bounded queue that serves organisations by weight; requests
that can't meet their deadlines are refused at once.
"""

from collections import deque
from dataclasses import dataclass

from fescuedrum.decisions.admitting.admission import Admission, RefusalReason, Refused
from fescuedrum.decisions.admitting.limits import EndpointLimit, Phase

# Retry delay when the agent is leaving or its zone is out: other endpoints can take the
# request at once.
CLOSED_RETRY_SECONDS = 0.0
# Time within which an endpoint ends work whose caller left: it does so at its next step
# or read.
ABANDONED_SLOT_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Answered:
    """Result of a request that was answered, with its run time, true cost and size."""

    seconds: float
    cost: float
    size: float


@dataclass(slots=True, frozen=True)
class Failed:
    """Result of a failed request; unavailable if the endpoint refused or cut it."""

    unavailable: bool


@dataclass(slots=True, frozen=True)
class Abandoned:
    """Result without information on the endpoint: cancelled, timed out or rejected."""


class Gate:
    """Hold the slots of the endpoint and the queue of requests that wait for one.

    The payload of each work has two methods, of which exactly one is called, once:
    start(cold=...) when it may run, refuse(Refused) when it waited and is refused.
    """

    __slots__ = (
        "admission",
        "admit_all",
        "answers",
        "held_until",
        "leaving",
        "limit",
        "queue",
        "queue_limit",
        "running",
        "schedule_admission",
        "start_limiter",
        "zone_out",
    )

    def __init__(self, limit: EndpointLimit, queue, admission: Admission, queue_limit):
        self.limit = limit
        self.queue = queue
        self.admission = admission
        self.queue_limit = queue_limit
        self.start_limiter = None
        # Callback that must call admit_waiting after the given number of seconds.
        self.schedule_admission = None
        # Baseline for experiments: queue without predicting whether deadlines are met.
        self.admit_all = False
        self.running = 0
        # Times until which the slots of abandoned requests count as taken, in order.
        self.held_until = deque()
        self.answers = 0
        self.leaving = False
        self.zone_out = False

    def closed_reason(self):
        """Return why the gate admits no new work at all, or None if it does."""
        if self.leaving:
            return RefusalReason.LEAVING
        if self.zone_out:
            return RefusalReason.ZONE_OUT
        return None

    def close(self, *, leaving=None, zone_out=None):
        """Set whether the gate is closed; if it is, refuse all waiting requests."""
        self.leaving = self.leaving if leaving is None else leaving
        self.zone_out = self.zone_out if zone_out is None else zone_out
        if reason := self.closed_reason():
            for work in self.queue.waiting_requests():
                self.refuse_waiting(work, Refused(reason, CLOSED_RETRY_SECONDS))

    def offer(self, work, now):
        """Start or queue a request and return None, or return why it is refused."""
        if reason := self.closed_reason():
            return Refused(reason, CLOSED_RETRY_SECONDS)
        if self.can_start(now) and not self.queue.length:
            # With nothing running there is nothing to wait for. The prediction may come
            # from a cold start, and it can't be corrected if all requests are refused.
            if self.running and (refused := self.check_deadline(work, 0.0, now)):
                return refused
            self.queue.charge_unqueued(work)
            self.start(work, now)
            return None
        if refused := self.check_deadline(work, self.queue.cost_ahead(work), now):
            return refused
        refused = self.enqueue(work)
        self.admit_waiting(now)
        return refused

    def set_start_limiter(self, start_limiter):
        """Set the limiter of starts; None turns it off."""
        same = (
            self.start_limiter
            and start_limiter
            and self.start_limiter.count == start_limiter.count
        )
        # A new limiter would not count the requests that have just started.
        if not same:
            self.start_limiter = start_limiter

    def can_start(self, now):
        """Return whether a request may start now."""
        return self.has_free_slot(now) and not self.start_delay(now)

    def has_free_slot(self, now):
        """Return whether the endpoint has a free slot.

        A cold endpoint works on abandoned requests until its next step. If another
        request took the slot at once, the endpoint would run more than it can carry and
        fail; so the slot counts as taken for ABANDONED_SLOT_SECONDS.
        """
        while self.held_until and self.held_until[0] <= now:
            self.held_until.popleft()
        return self.running + len(self.held_until) < self.limit.limit

    def start_delay(self, now):
        """Return the seconds until the start limiter allows a start."""
        return self.start_limiter.wait(now) if self.start_limiter else 0.0

    def check_deadline(self, work, cost_ahead, now):
        """Return why a new request is refused, or None if it is expected in time."""
        if self.admit_all:
            return None
        return self.admission.check_deadline(work, cost_ahead, self.limit.limit, now)

    def check_waiting_deadline(self, work, now):
        """Return why a waiting request is refused, or None if it can be in time."""
        return (
            None if self.admit_all else self.admission.check_waiting_deadline(work, now)
        )

    def enqueue(self, work):
        """Queue a request; return why it is refused if the full queue sheds it."""
        self.queue.push(work)
        if self.queue.length <= self.queue_limit:
            return None
        # If the newest request were always refused, one organisation that fills the
        # queue would shut out all others.
        victim = self.queue.next_to_shed()
        seconds = self.admission.wait(self.queue.backlog, self.limit.limit)
        refused = self.admission.refuse(RefusalReason.SHED, seconds)
        if victim is work:
            self.queue.remove(work)
            return refused
        self.refuse_waiting(victim, refused)
        return None

    def refuse_waiting(self, work, refused):
        """Remove a waiting request from the queue and refuse it."""
        self.queue.remove(work)
        work.payload.refuse(refused)

    def start(self, work, now):
        """Start a request in a free slot."""
        self.limit.starting(self.running, now)
        self.running += 1
        if self.start_limiter:
            self.start_limiter.started(now)
        work.payload.start(cold=self.limit.phase is Phase.COLD)

    def finish(self, work, result, now):
        """Free the slot of a request that ran and learn from its result."""
        self.running -= 1
        match result:
            case Answered(seconds, cost, size):
                self.answers += 1
                self.queue.correct(work, cost)
                self.admission.observe(seconds, cost, size)
                self.limit.answered(seconds / max(size, 1.0), now)
            case Failed(unavailable):
                self.limit.failed(now, unavailable=unavailable)
            case Abandoned() if self.limit.phase is Phase.COLD:
                self.hold_slot(now)
        self.admit_waiting(now)

    def hold_slot(self, now):
        """Count the slot of an abandoned request as taken for a while."""
        self.held_until.append(now + ABANDONED_SLOT_SECONDS)
        if self.schedule_admission:
            self.schedule_admission(ABANDONED_SLOT_SECONDS)

    def admit_waiting(self, now):
        """Start waiting requests while slots are free and the start limiter allows."""
        while self.queue.length and self.has_free_slot(now):
            if delay := self.start_delay(now):
                self.schedule_admission(delay)
                return
            work = self.queue.pop()
            if refused := self.check_waiting_deadline(work, now):
                # It would end too late and use a slot that another could have.
                self.queue.correct(work, 0.0)
                work.payload.refuse(refused)
                continue
            self.start(work, now)

    def withdraw(self, work):
        """Remove a request whose caller left; return whether it was waiting."""
        if not work.waiting:
            return False
        self.queue.remove(work)
        return True

    def sweep(self, now):
        """Refuse the waiting requests that can't be in time any more."""
        for work in self.queue.waiting_requests():
            if refused := self.check_waiting_deadline(work, now):
                self.refuse_waiting(work, refused)

    @property
    def warm(self):
        """Return whether the endpoint is known to be warm."""
        return self.limit.warm
