"""Note what becomes of one attempt: in its request's trace and in the metrics."""

from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum_entry.request.trace import Step

RESULT_ENDED = "ended"
RESULT_REFUSED = "refused"
RESULT_LOST = "lost"
RESULT_LEFT = "left"
MILLISECONDS = 1000


class AttemptTrace:
    """Follow one attempt from its sending to its end."""

    __slots__ = ("agent", "loop", "metrics", "result", "sent_at", "trace", "zone")

    def __init__(self, link, trace):
        self.agent = link.instance.name
        self.loop = link.loop
        self.metrics = link.entry.metrics
        self.trace = trace
        self.zone = link.instance.zone
        # Seconds from the request's head to the sending of this attempt.
        self.sent_at = self.loop.time() - trace.began if trace else 0.0
        self.result = None

    @classmethod
    def begin(cls, link, request):
        """Note that a request is sent, with what spoke for this endpoint."""
        attempt = cls(link, link.entry.traces.running.get(request.request_id))
        attempt.note(
            Step.SENT,
            attempt=request.attempt,
            attach_only=bool(request.attach_only),
            **reasons(link),
        )
        return attempt

    def note(self, step, **details):
        if self.trace is not None:
            now = self.loop.time()
            self.trace.note(step, now, agent=self.agent, **details)

    def received(self, body):
        """Note a frame that came for this attempt."""
        match body:
            case frames.Chunk():
                return
            case frames.ResponseHead():
                self.take_head(body)
            case frames.Refusal():
                self.result = RESULT_REFUSED
                self.metrics.refused(body.reason)
                self.note(Step.REFUSED, reason=body.reason)
            case frames.End():
                self.result = RESULT_ENDED
                self.note(
                    Step.ENDED,
                    outcome=body.outcome,
                    bytes=body.length,
                    reason=body.reason or "",
                )
            case _:
                self.result = RESULT_LOST
                self.note(Step.LOST)

    def take_head(self, head):
        waited_ms = head.waited_ms or 0
        cold = bool(head.cold)
        self.note(Step.HEAD, status=head.status, waited_ms=waited_ms, cold=cold)
        if self.trace is not None:
            self.trace.waited = self.sent_at + waited_ms / 1000
            self.trace.cold = cold
            self.trace.zone = self.zone
            self.trace.endpoint = self.agent

    def closed(self):
        """Note the end of the attempt; one without a result was given up here."""
        if self.result is None:
            self.result = RESULT_LEFT
            self.note(Step.LEFT)
        self.metrics.attempt_ended(self.result)


def reasons(link):
    """Return what this entry knew of an endpoint when it chose it."""
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
