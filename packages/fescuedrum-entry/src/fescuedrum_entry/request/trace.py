"""Keep traces of recent requests: their steps, waits and chosen endpoints.

Load pattern: thousands of requests per second, of which operators look up a few, mostly
failed ones. In a single ring buffer, the successful requests would overwrite the failed
ones within seconds. Requests that failed, took more than one attempt or were slow
therefore have a ring of their own, in which they stay for as long as they are few.
"""

import collections
import enum
from dataclasses import dataclass, field

from fescuedrum.outcomes import Outcome

CODE_OK = "ok"
# Limits the memory that the trace of an endlessly retried request can take.
MAXIMUM_EVENTS = 100


class Step(enum.StrEnum):
    """Name the steps of a request."""

    PARSED = "parsed"
    # A step of an at-most-once request, such as writing its claim.
    KEYED = "keyed"
    SENT = "sent"
    REFUSED = "refused"
    HEAD = "head"
    ENDED = "ended"
    LOST = "lost"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Event:
    """Hold one step, its time in seconds since the request's head, and its details."""

    at: float
    step: Step
    details: dict


@dataclass(slots=True)
class Trace:
    """Hold the course of one request; times are in seconds of event loop time."""

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
    # Seconds from the request's head to the event; None before it.
    first_byte: float | None = None
    seconds: float | None = None
    attempts: int = 0
    cost: float = 0.0
    streamed: bool = False
    # Of the answered attempt: seconds in the endpoint's queue, and the endpoint.
    waited: float = 0.0
    cold: bool = False
    zone: str = ""
    endpoint: str = ""
    # Whether the request goes on running after its caller has left.
    detached: bool = False
    events: list[Event] = field(default_factory=list)

    def record_call(self, call, version, now):
        """Copy the fields of the parsed call and add the PARSED step."""
        self.organisation = call.organisation
        self.service = call.service
        self.method = call.method
        self.repetition = call.repetition.value
        self.priority = call.priority
        self.budget = call.deadline - self.began
        self.version = version
        self.cost = call.cost
        self.streamed = call.streamed
        self.add_step(Step.PARSED, now, body_bytes=len(call.body), cost=call.cost)

    def add_step(self, step, now, **details):
        """Add a step; count attempts and set the time of the first byte."""
        at = now - self.began
        if step is Step.SENT:
            self.attempts += 1
        elif step is Step.HEAD and self.first_byte is None:
            self.first_byte = at
        if len(self.events) < MAXIMUM_EVENTS:
            self.events.append(Event(at, step, details))

    def end(self, now, outcome, code=CODE_OK, message=""):
        """Set the outcome and the duration of the request."""
        self.outcome = str(outcome)
        self.code = code
        self.message = message
        self.seconds = now - self.began

    def fail(self, now, error):
        """End the trace with an error, unless it has ended already."""
        if self.seconds is None:
            self.end(now, error.outcome.value, error.code, str(error))


class TraceBuffer:
    """Hold the traces of running requests and a limited number of recent ones."""

    __slots__ = ("notable", "ordinary", "running", "size", "slow_seconds")

    def __init__(self, size, slow_seconds):
        self.size = size
        self.slow_seconds = slow_seconds
        self.running = {}
        self.ordinary = collections.OrderedDict()
        self.notable = collections.OrderedDict()

    def begin(self, request_id, now):
        """Return a new trace for a request that starts now."""
        trace = Trace(request_id, now)
        self.running[request_id] = trace
        return trace

    def finish(self, trace):
        """Move an ended request's trace to the notable or the ordinary ring."""
        self.running.pop(trace.request_id, None)
        ring = self.notable if self.is_notable(trace) else self.ordinary
        ring[trace.request_id] = trace
        if len(ring) > self.size:
            ring.popitem(last=False)

    def is_notable(self, trace):
        """Return whether a trace goes to the ring of notable requests."""
        if not trace.organisation:
            # Unauthenticated requests could otherwise push out the ones operators need.
            return False
        went_wrong = trace.outcome != Outcome.ANSWERED
        return went_wrong or trace.attempts > 1 or trace.seconds >= self.slow_seconds

    def find(self, request_id):
        """Return the trace of a request, or None if it is unknown or overwritten."""
        for ring in (self.running, self.notable, self.ordinary):
            if trace := ring.get(request_id):
                return trace
        return None

    def recent(self, limit, organisation=""):
        """Return the newest notable traces, of one organisation or of all."""
        found = [
            trace
            for trace in reversed(self.notable.values())
            if organisation in ("", trace.organisation)
        ]
        return found[:limit]
