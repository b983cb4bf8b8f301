"""Keep what became of recent requests: where each waited and why it went there.

Load pattern: thousands of requests a second, of which operators ask for a few, mostly
for those that went wrong. One ring of the last requests would be overwritten within
seconds by the ones that went well. So requests that went wrong, that took more than
one attempt or that were slow have a ring of their own, in which they last for as long
as there are few of them.
"""

import collections
import enum
from dataclasses import dataclass, field

from fescuedrum.outcomes import Outcome

CODE_OK = "ok"
# A request that retries without end must not fill the memory with its own trace.
MAXIMUM_EVENTS = 100


class Step(enum.StrEnum):
    """Name what can happen to a request."""

    PARSED = "parsed"
    # A step of a request that may run once, such as the write of its claim.
    KEYED = "keyed"
    SENT = "sent"
    REFUSED = "refused"
    HEAD = "head"
    ENDED = "ended"
    LOST = "lost"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Event:
    """Hold one step: its time in seconds since the request's head, and its details."""

    at: float
    step: Step
    details: dict


@dataclass(slots=True)
class Trace:
    """Follow one request; all times are of the loop's clock, in seconds."""

    request_id: str
    began: float
    organisation: str = ""
    service: str = ""
    method: str = ""
    repetition: str = ""
    priority: int = 0
    budget: float = 0.0
    version: int = 0
    outcome: str = ""
    code: str = ""
    message: str = ""
    # Seconds since the head; None while it has not happened.
    first_byte: float | None = None
    seconds: float | None = None
    attempts: int = 0
    cost: float = 0.0
    streamed: bool = False
    # Of the attempt that was answered: its queue, in seconds, and its endpoint.
    waited: float = 0.0
    cold: bool = False
    zone: str = ""
    endpoint: str = ""
    # Whether the request runs on after its caller left.
    detached: bool = False
    events: list[Event] = field(default_factory=list)

    def take_call(self, call, version, now):
        """Note what the entry read from the request."""
        self.organisation = call.organisation
        self.service = call.service
        self.method = call.method
        self.repetition = call.repetition.value
        self.priority = call.priority
        self.budget = call.deadline - self.began
        self.version = version
        self.cost = call.cost
        self.streamed = call.streamed
        self.note(Step.PARSED, now, body_bytes=len(call.body), cost=call.cost)

    def note(self, step, now, **details):
        """Add a step; count attempts and the first byte by it."""
        at = now - self.began
        if step is Step.SENT:
            self.attempts += 1
        elif step is Step.HEAD and self.first_byte is None:
            self.first_byte = at
        if len(self.events) < MAXIMUM_EVENTS:
            self.events.append(Event(at, step, details))

    def end(self, now, outcome, code=CODE_OK, message=""):
        self.outcome = str(outcome)
        self.code = code
        self.message = message
        self.seconds = now - self.began

    def fail(self, now, error):
        """Note an error as the end, unless an earlier one is noted already."""
        if self.seconds is None:
            self.end(now, error.outcome.value, error.code, str(error))


class TraceBuffer:
    """Hold the traces of running requests and of recent ones, within bounds."""

    __slots__ = ("notable", "plain", "running", "size", "slow_seconds")

    def __init__(self, size, slow_seconds):
        self.size = size
        self.slow_seconds = slow_seconds
        self.running = {}
        self.plain = collections.OrderedDict()
        self.notable = collections.OrderedDict()

    def begin(self, request_id, now):
        trace = Trace(request_id, now)
        self.running[request_id] = trace
        return trace

    def finish(self, trace):
        """Move a request that came to its end into one of the rings."""
        self.running.pop(trace.request_id, None)
        ring = self.notable if self.is_notable(trace) else self.plain
        ring[trace.request_id] = trace
        if len(ring) > self.size:
            ring.popitem(last=False)

    def is_notable(self, trace):
        if not trace.organisation:
            # A stranger could otherwise wash out what operators look for.
            return False
        wrong = trace.outcome != Outcome.ANSWERED
        return wrong or trace.attempts > 1 or trace.seconds >= self.slow_seconds

    def find(self, request_id):
        """Return the trace of a request, or None when it is not held any more."""
        for ring in (self.running, self.notable, self.plain):
            if trace := ring.get(request_id):
                return trace
        return None

    def recent(self, limit, organisation=""):
        """Return the newest notable traces, newest first."""
        found = [
            trace
            for trace in reversed(self.notable.values())
            if organisation in ("", trace.organisation)
        ]
        return found[:limit]
