"""Keep the ledger of this agent's life and the answers it stands for."""

import asyncio

from fescuedrum.claims.ledger import Admission, FenceResult, Ledger, RecordState
from fescuedrum.decisions.admission import RefusalReason
from fescuedrum.faults import ProtocolStep
from fescuedrum.outcomes import Outcome

REASONS = {
    Admission.FENCED: RefusalReason.FENCED,
    Admission.OTHER_INCARNATION: RefusalReason.OTHER_INCARNATION,
    Admission.FULL: RefusalReason.LEDGER_FULL,
}
ARRIVAL_POLL_SECONDS = 0.01
MAXIMUM_PATIENCE_SECONDS = 5.0
# An entry dials three times within this after its connection was lost.
TAKING_SECONDS = 2.0


class KeyedRequests:
    """Decide by the ledger which keyed requests start here."""

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
        return None, REASONS[admission]

    def attach(self, request):
        record = self.ledger.records[request.key]
        answer = record.answer
        if answer is None or (request.resume_offset or 0) < answer.base:
            return None, RefusalReason.KEY_UNKNOWN
        return answer, None

    def start(self, request, answer, now):
        attempt = request.key_attempt or 1
        self.ledger.start(request.key, attempt, request.token, now, answer)
        self.faults.crash_if_set(ProtocolStep.AGENT_STARTED)

    def withdraw(self, request):
        """Take back what the gate refused; the entry is told, no trace is needed."""
        self.ledger.withdraw(request.key)

    def finish(self, request, answer, now):
        outcome = answer.outcome or Outcome.UNKNOWN
        self.ledger.finish(request.key, outcome, len(answer.body), now)
        self.faults.crash_if_set(ProtocolStep.AGENT_ENDED)

    def mark_recorded(self, body, now):
        keep = bool(body.keep_answer)
        self.ledger.mark_recorded(body.key, now, keep_answer=keep)
        self.faults.crash_if_set(ProtocolStep.AGENT_RECORDED)

    def has_unacknowledged(self, now):
        """Tell whether an entry may still come for what ran here a moment ago.

        The failure: an entry's connection is lost while its booking runs at an agent
        that stops. The booking ends, and the agent with it, before the entry is back
        to ask; it ends as unknown. An entry that has an answer says so.
        """
        return self.ledger.has_unacknowledged(now - TAKING_SECONDS)

    def sweep(self, now):
        self.ledger.sweep(now)

    async def fence(self, fence) -> FenceResult:
        """Wait a little for a request on its way, then fence what has not come."""
        loop = asyncio.get_running_loop()
        patience = min((fence.patience_ms or 0) / 1000, MAXIMUM_PATIENCE_SECONDS)
        end = loop.time() + patience
        while not self.knows(fence) and loop.time() < end:
            await asyncio.sleep(ARRIVAL_POLL_SECONDS)
        attempt, life = fence.key_attempt or 1, fence.incarnation
        verdict = self.ledger.fence(fence.key, attempt, life, loop.time())
        self.faults.crash_if_set(ProtocolStep.AGENT_FENCED)
        return verdict

    def knows(self, fence):
        if fence.incarnation != self.ledger.incarnation:
            return True
        record = self.ledger.records.get(fence.key)
        if record is None:
            return False
        return record.state is not RecordState.FENCED or record.fenced >= (
            fence.key_attempt or 1
        )
