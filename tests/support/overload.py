"""Play callers before a group of engines, with the product's decisions in between."""

import collections
import heapq
import itertools
import random
from dataclasses import dataclass, field

from fescuedrum.decisions.returns import PatienceTracker, retry_delay
from fescuedrum.decisions.rooms import request_limit

ENGINES = 16
SLOTS = 6
EVENTS = 26
PATIENCE_SECONDS = 8.0
# First tries have between this part and all of the usual patience.
LEAST_PATIENCE_PART = 0.9
FIRST_EVENT_SECONDS = 0.4
PAUSE_SECONDS = 0.12
PROMPT_SECONDS = 0.15
# A pass of an idle group, and what a full one takes longer.
PASS_SECONDS = 0.045
FULL_PASS_SECONDS = 0.025


@dataclass(slots=True)
class Caller:
    """Hold one caller; times in seconds from the start of the play."""

    first_at: float
    gives_up_at: float
    is_caller_retry: bool = False


@dataclass(slots=True)
class Engine:
    """Hold the streams that run at one engine, and those that wait for a place."""

    running: int = 0
    waiting: collections.deque = field(default_factory=collections.deque)

    @property
    def requests(self):
        return self.running + len(self.waiting)


class OverloadSimulation:
    """Send callers at a rate that changes; count by second what became of them.

    outcomes[second of the first try] counts "on time", "late" and "refused".
    """

    def __init__(self, rate, seconds, seed=1):
        self.rate = rate
        self.seconds = seconds
        self.random = random.Random(seed)
        self.engines = [Engine() for _ in range(ENGINES)]
        self.usual = PatienceTracker()
        self.outcomes = collections.defaultdict(collections.Counter)
        self.events = []
        self.order = itertools.count()

    def at(self, when, what, *details):
        heapq.heappush(self.events, (when, next(self.order), what, details))

    def run(self):
        self.at(0.0, self.arrive)
        while self.events:
            now, _, what, details = heapq.heappop(self.events)
            what(now, *details)
        return self.outcomes

    def arrive(self, now):
        if now >= self.seconds:
            return
        self.at(now + self.random.expovariate(self.rate(now)), self.arrive)
        patience = PATIENCE_SECONDS * self.random.uniform(LEAST_PATIENCE_PART, 1.0)
        self.ask(now, Caller(now, now + patience))

    def ask(self, now, caller):
        """Place a caller at the least loaded engine, or refuse it at once."""
        left = caller.gives_up_at - now
        is_caller_retry = not self.usual.is_fresh(left)
        engine = min(self.engines, key=lambda each: each.requests)
        strain = self.pass_seconds() / PAUSE_SECONDS
        bound = request_limit(
            SLOTS,
            is_engine=True,
            is_caller_retry=is_caller_retry,
            strain=strain,
            ranks=ENGINES,
        )
        if engine.requests < bound:
            engine.waiting.append(caller)
            self.start(now, engine)
        elif caller.is_caller_retry:
            self.end(caller, "refused")
        else:
            caller.is_caller_retry = True
            self.at(now + retry_delay(left, self.random), self.ask, caller)

    def start(self, now, engine):
        while engine.waiting and engine.running < SLOTS:
            caller = engine.waiting.popleft()
            engine.running += 1
            first_event_at = now + PROMPT_SECONDS
            is_early = first_event_at - caller.first_at <= FIRST_EVENT_SECONDS
            self.end(caller, "on time" if is_early else "late")
            self.at(first_event_at + EVENTS * self.pass_seconds(), self.leave, engine)

    def leave(self, now, engine):
        engine.running -= 1
        self.start(now, engine)

    def end(self, caller, outcome):
        self.outcomes[int(caller.first_at)][outcome] += 1

    def pass_seconds(self):
        running = sum(engine.running for engine in self.engines)
        return PASS_SECONDS + FULL_PASS_SECONDS * running / (ENGINES * SLOTS)


def count(outcomes, seconds):
    """Return what became of the callers who first came in a range of seconds."""
    return sum((outcomes[second] for second in seconds), collections.Counter())
