"""Build the frame that sends a call to an agent."""

from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum_entry.request.call import Repetition


def build_request(call, attempt, now):
    """Return the Request frame of a call.

    The frame holds the time left until the deadline, never a clock reading.
    """
    return frames.Request(
        attempt=attempt,
        request_id=call.request_id,
        organisation=call.organisation,
        service_name=call.service,
        method=call.method,
        path=call.path,
        headers=[frames.Header(name, value) for name, value in call.headers],
        body=call.body,
        budget_ms=max(1, int((call.deadline - now) * 1000)),
        idempotent=call.repetition is Repetition.IDEMPOTENT,
        priority=call.priority,
        cost=call.cost,
    )
