"""Keep the ledger of this agent's incarnation and the answers of its keys."""

import asyncio

from fescuedrum.claims.ledger import Admission, FenceResult, Ledger, RecordState
from fescuedrum.decisions.admitting.admission import RefusalReason
from fescuedrum.faults import ProtocolStep
from fescuedrum.outcomes import Outcome

REFUSAL_REASONS = {
    Admission.FENCED: RefusalReason.FENCED,
    Admission.OTHER_INCARNATION: RefusalReason.OTHER_INCARNATION,
    Admission.FULL: RefusalReason.LEDGER_FULL,
}
ARRIVAL_POLL_SECONDS = 0.01
MAXIMUM_FENCE_WAIT_SECONDS = 5.0
# An entry that lost its connection connects three times within this time.
RECONNECT_SECONDS = 2.0


class KeyedRequests:
    """Decide by the ledger which keyed requests start at this agent."""

    __slots__ = ("faults", "ledger")

    def __init__(self, settings, incarnation, faults):
        self.faults = faults
        self.ledger = Ledger(incarnation, settings.ledger_keys, settings.ledger_bytes)

    def find(self, request):
        """Return (answer, None), (None, reason), or (None, None) to start it."""
        admission = self.ledger.check(
            request.key, request.key_attempt or 1, request.incarnation
        )
        match admission:
            case Admission.ATTACH:
                return self.attach(request)
            case Admission.START if not request.attach_only:
                return None, None
            case Admission.START:
                return None, RefusalReason.KEY_UNKNOWN
        return None, REFUSAL_REASONS[admission]

    def attach(self, request):
        """Return (answer, None) of the recorded key, or (None, reason) if dropped."""
        record = self.ledger.records[request.key]
        answer = record.answer
        if answer is None or (request.resume_offset or 0) < answer.base:
            return None, RefusalReason.KEY_UNKNOWN
        return answer, None

    def start(self, request, answer, now):
        """Record that a keyed request starts."""
        attempt = request.key_attempt or 1
        self.ledger.start(request.key, attempt, request.token, now, answer)
        self.faults.crash_if_set(ProtocolStep.AGENT_STARTED)

    def withdraw(self, request):
        """Remove a request that the gate refused; the refusal is sent to its entry."""
        self.ledger.withdraw(request.key)

    def finish(self, request, answer, now):
        """Record the outcome of a keyed request."""
        outcome = answer.outcome or Outcome.UNKNOWN
        self.ledger.finish(request.key, outcome, len(answer.body), now)
        self.faults.crash_if_set(ProtocolStep.AGENT_ENDED)

    def mark_recorded(self, body, now):
        """Record that the entry has stored the outcome of a key."""
        keep = bool(body.keep_answer)
        self.ledger.mark_recorded(body.key, now, keep_answer=keep)
        self.faults.crash_if_set(ProtocolStep.AGENT_RECORDED)

    def has_unacknowledged(self, now):
        """Return whether an entry may still request an answer that ended recently.

        An entry acknowledges each answer that it has received. Without this check, an
        entry that loses its connection while its booking runs at a stopping agent finds
        the agent gone when it reconnects, and the booking ends as unknown.
        """
        return self.ledger.has_unacknowledged(now - RECONNECT_SECONDS)

    def sweep(self, now):
        """Drop the records of the ledger that have expired."""
        self.ledger.sweep(now)

    async def fence(self, fence) -> FenceResult:
        """Wait a short time for a request on its way, then fence its key."""
        loop = asyncio.get_running_loop()
        timeout = min((fence.patience_ms or 0) / 1000, MAXIMUM_FENCE_WAIT_SECONDS)
        end = loop.time() + timeout
        while not self.can_fence_at_once(fence) and loop.time() < end:
            await asyncio.sleep(ARRIVAL_POLL_SECONDS)
        attempt, incarnation = fence.key_attempt or 1, fence.incarnation
        result = self.ledger.fence(fence.key, attempt, incarnation, loop.time())
        self.faults.crash_if_set(ProtocolStep.AGENT_FENCED)
        return result

    def can_fence_at_once(self, fence):
        """Return whether waiting for the request can't change the fence's result."""
        if fence.incarnation != self.ledger.incarnation:
            return True
        record = self.ledger.records.get(fence.key)
        if record is None:
            return False
        return record.state is not RecordState.FENCED or record.fenced >= (
            fence.key_attempt or 1
        )
