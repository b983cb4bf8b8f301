"""Record the course of one attempt in its request's trace and in the metrics."""

from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum_entry.request.trace import Step

RESULT_ENDED = "ended"
RESULT_REFUSED = "refused"
RESULT_LOST = "lost"
RESULT_ABANDONED = "left"
MILLISECONDS = 1000


class AttemptTrace:
    """Record one attempt of a request from sending it until its exchange closes."""

    __slots__ = ("agent", "loop", "metrics", "result", "sent_at", "trace", "zone")

    def __init__(self, link, trace):
        self.agent = link.instance.name
        self.loop = link.loop
        self.metrics = link.entry.metrics
        self.trace = trace
        self.zone = link.instance.zone
        # Seconds between receiving the request's head and sending this attempt.
        self.sent_at = self.loop.time() - trace.began if trace else 0.0
        self.result = None

    @classmethod
    def begin(cls, link, request):
        """Record that a request is sent, with the endpoint's state at that time."""
        attempt = cls(link, link.entry.traces.running.get(request.request_id))
        attempt.add_step(
            Step.SENT,
            attempt=request.attempt,
            attach_only=bool(request.attach_only),
            **describe_endpoint(link),
        )
        return attempt

    def add_step(self, step, **details):
        """Add a step of this attempt to the request's trace, if it has one."""
        if self.trace is not None:
            now = self.loop.time()
            self.trace.add_step(step, now, agent=self.agent, **details)

    def record_frame(self, body):
        """Record a frame received for this attempt."""
        match body:
            case frames.Chunk():
                return
            case frames.ResponseHead():
                self.record_head(body)
            case frames.Refusal():
                self.result = RESULT_REFUSED
                self.metrics.count_refusal(body.reason)
                self.add_step(Step.REFUSED, reason=body.reason)
            case frames.End():
                self.result = RESULT_ENDED
                self.add_step(
                    Step.ENDED,
                    outcome=body.outcome,
                    bytes=body.length,
                    reason=body.reason or "",
                )
            case _:
                self.result = RESULT_LOST
                self.add_step(Step.LOST)

    def record_head(self, head):
        """Record the head of the answer, its queueing time and its endpoint."""
        waited_ms = head.waited_ms or 0
        cold = bool(head.cold)
        self.add_step(Step.HEAD, status=head.status, waited_ms=waited_ms, cold=cold)
        if self.trace is not None:
            self.trace.waited = self.sent_at + waited_ms / 1000
            self.trace.cold = cold
            self.trace.zone = self.zone
            self.trace.endpoint = self.agent

    def record_close(self):
        """Count the attempt by its result.

        An attempt without a result was abandoned by this entry.
        """
        if self.result is None:
            self.result = RESULT_ABANDONED
            self.add_step(Step.LEFT)
        self.metrics.count_attempt(self.result)


def describe_endpoint(link):
    """Return a link's zone, its unanswered requests and its last reported load."""
    same_zone = link.instance.zone == link.entry.settings.zone
    found = {
        "zone": link.instance.zone,
        "same_zone": same_zone,
        "unanswered": len(link.exchanges),
    }
    if (beat := link.last_heartbeat) is not None and beat.load is not None:
        load = beat.load
        found |= {"running": load.running, "limit": load.limit, "warm": bool(load.warm)}
    return found
