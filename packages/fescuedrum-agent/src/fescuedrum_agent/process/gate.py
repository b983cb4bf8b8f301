"""Admit no more work than the endpoint can carry, and share it fairly.

The gate stands here and not only at the entries: each entry's view is late, and only
here do the requests of all entries meet. What can't run now waits in a bounded queue
that serves organisations by weight; what can't be in time is refused at once.
"""

from collections import deque
from dataclasses import dataclass

from fescuedrum.decisions.admission import Admission, RefusalReason, Refused
from fescuedrum.decisions.limits import EndpointLimit, Phase

# A leaving endpoint or a zone that is out: others can take the request at once.
ELSEWHERE_SECONDS = 0.0
# An endpoint ends work whose caller left within this time: at its next step or read.
ENDING_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Answered:
    """Say that the endpoint answered, after how long, at which true cost."""

    seconds: float
    cost: float
    size: float


@dataclass(slots=True, frozen=True)
class Failed:
    """Say that the endpoint failed; unavailable when it refused or cut."""

    unavailable: bool


@dataclass(slots=True, frozen=True)
class Abandoned:
    """Say that the caller left or the deadline passed: no word on the endpoint."""


class Gate:
    """Own the endpoint's places and the queue before them.

    The payload of each work has two methods, of which one is called once:
    start(cold=...) when it may run, refuse(Refused) when it waited and is given up.
    """

    __slots__ = (
        "admission",
        "admit_all",
        "answers",
        "ending",
        "leaving",
        "limit",
        "pace",
        "queue",
        "queue_limit",
        "running",
        "wake_after",
        "zone_out",
    )

    def __init__(self, limit: EndpointLimit, queue, admission: Admission, queue_limit):
        self.limit = limit
        self.queue = queue
        self.admission = admission
        self.queue_limit = queue_limit
        self.pace = None
        # Must call admit_waiting after so many seconds.
        self.wake_after = None
        # Baseline for experiments: queue without a prediction.
        self.admit_all = False
        self.running = 0
        # Times at which the endpoint is done with work whose callers left.
        self.ending = deque()
        self.answers = 0
        self.leaving = False
        self.zone_out = False

    def closed(self):
        """Return why no new work may start here at all, or None."""
        if self.leaving:
            return RefusalReason.LEAVING
        if self.zone_out:
            return RefusalReason.ZONE_OUT
        return None

    def close(self, *, leaving=None, zone_out=None):
        """Set why the gate is closed; what waits is refused at once, not run."""
        self.leaving = self.leaving if leaving is None else leaving
        self.zone_out = self.zone_out if zone_out is None else zone_out
        if reason := self.closed():
            for work in self.queue.waiting_requests():
                self.give_up(work, Refused(reason, ELSEWHERE_SECONDS))

    def offer(self, work, now):
        """Start or queue a request and return None, or return why it is refused."""
        if reason := self.closed():
            return Refused(reason, ELSEWHERE_SECONDS)
        if self.may_start(now) and not self.queue.length:
            # With nothing running there is nothing to wait for, and the prediction
            # may stem from a cold start; refusing would let it never be corrected.
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

    def set_pace(self, pace):
        """Follow a change of the pace; None turns it off."""
        same = self.pace and pace and self.pace.count == pace.count
        # A new one would forget what started a moment ago.
        if not same:
            self.pace = pace

    def may_start(self, now):
        return self.has_place(now) and not self.pause(now)

    def has_place(self, now):
        """Tell whether a place is free at the endpoint itself.

        A cold endpoint goes on with abandoned work until its next step. A request that
        took the place at once would be one more than it carries, and it would fall
        over; so for ENDING_SECONDS the place of abandoned work counts as taken.
        """
        while self.ending and self.ending[0] <= now:
            self.ending.popleft()
        return self.running + len(self.ending) < self.limit.limit

    def pause(self, now):
        return self.pace.wait(now) if self.pace else 0.0

    def check_deadline(self, work, cost_ahead, now):
        if self.admit_all:
            return None
        return self.admission.check_deadline(work, cost_ahead, self.limit.limit, now)

    def check_waiting_deadline(self, work, now):
        return (
            None if self.admit_all else self.admission.check_waiting_deadline(work, now)
        )

    def enqueue(self, work):
        self.queue.push(work)
        if self.queue.length <= self.queue_limit:
            return None
        # Refusing the newcomer would let whoever fills the queue shut out all others.
        victim = self.queue.next_to_shed()
        seconds = self.admission.wait(self.queue.backlog, self.limit.limit)
        refused = self.admission.refuse(RefusalReason.SHED, seconds)
        if victim is work:
            self.queue.remove(work)
            return refused
        self.give_up(victim, refused)
        return None

    def give_up(self, work, refused):
        self.queue.remove(work)
        work.payload.refuse(refused)

    def start(self, work, now):
        self.limit.starting(self.running, now)
        self.running += 1
        if self.pace:
            self.pace.started(now)
        work.payload.start(cold=self.limit.phase is Phase.COLD)

    def finish(self, work, result, now):
        """Take back the place of a request that ran."""
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
                self.hold_place(now)
        self.admit_waiting(now)

    def hold_place(self, now):
        self.ending.append(now + ENDING_SECONDS)
        if self.wake_after:
            self.wake_after(ENDING_SECONDS)

    def admit_waiting(self, now):
        """Start waiting requests while there are places."""
        while self.queue.length and self.has_place(now):
            if pause := self.pause(now):
                self.wake_after(pause)
                return
            work = self.queue.pop()
            if refused := self.check_waiting_deadline(work, now):
                # Started now it would end too late and take a place from another.
                self.queue.correct(work, 0.0)
                work.payload.refuse(refused)
                continue
            self.start(work, now)

    def withdraw(self, work):
        """Take out a waiting request whose caller left; True if it waited."""
        if not work.waiting:
            return False
        self.queue.remove(work)
        return True

    def sweep(self, now):
        """Refuse what waits and can't be in time any more, at once."""
        for work in self.queue.waiting_requests():
            if refused := self.check_waiting_deadline(work, now):
                self.give_up(work, refused)

    @property
    def warm(self):
        return self.limit.warm
