"""Record at an agent which attempts ran and which must never start.

Load pattern: many keys, each run once, some of them repeated. Memory is bounded, and a
key that the ledger forgets could run a second time. So:

- A running key is never forgotten.
- An answer's bytes are freed once the table has them.
- The record that a key ran or was fenced is kept for longer than any frame can be late:
  `mark_seconds` is many times the silence after which a connection is closed.
- If the table doesn't know the end of the key, its record is kept for longer than the
  claim's row (`retention_seconds`).
- A full ledger accepts no new key. A refused request can safely be repeated, a
  forgotten one can't.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from fescuedrum.outcomes import Outcome

MARK_SECONDS = 300.0
RETENTION_SECONDS = 48 * 3600.0


class RecordState(enum.Enum):
    """List what an agent can know of a key."""

    FENCED = enum.auto()
    RUNNING = enum.auto()
    RAN = enum.auto()


class Admission(enum.StrEnum):
    """List how an agent can treat a request with a key."""

    START = "start"
    ATTACH = "attach"
    FENCED = "fenced"
    OTHER_INCARNATION = "other-incarnation"
    FULL = "ledger-full"


class FenceResult(enum.StrEnum):
    """List the answers to an entry that asks to fence attempts up to a number."""

    # None of the attempts ran here, and none can start here from now on.
    FENCED = "fenced"
    RUNNING = "running"
    RAN = "ran"
    # This incarnation of the agent can't know what an earlier one did.
    OTHER_INCARNATION = "other-incarnation"
    # The ledger has no room to record the fence.
    FULL = "ledger-full"


@dataclass(slots=True)
class LedgerRecord:
    """Hold what an agent knows of one key."""

    key: str
    state: RecordState
    attempt: int = 0
    token: str = ""
    # Attempts up to this number never start here.
    fenced: int = 0
    answer: object = None
    size: int = 0
    # Whether the table or the requesting entry has the whole answer.
    recorded: bool = False
    # Loop time of the last change, in seconds.
    changed_at: float = 0.0


class Ledger:
    """Hold a record for each key, within bounds of count and bytes.

    Records are ordered by the time of their last change, oldest first.
    """

    __slots__ = (
        "incarnation",
        "mark_seconds",
        "maximum_bytes",
        "maximum_keys",
        "records",
        "retention_seconds",
        "size",
    )

    def __init__(
        self,
        incarnation,
        maximum_keys,
        maximum_bytes,
        *,
        mark_seconds=MARK_SECONDS,
        retention_seconds=RETENTION_SECONDS,
    ):
        self.incarnation = incarnation
        self.maximum_keys = maximum_keys
        self.maximum_bytes = maximum_bytes
        self.mark_seconds = mark_seconds
        self.retention_seconds = retention_seconds
        self.records = OrderedDict()
        self.size = 0

    def check(self, key, attempt, incarnation):
        """Return how an attempt is to be treated, without changing the ledger."""
        # The claim names an earlier incarnation of this agent, which may have run the
        # attempt; running it here could run it twice.
        if incarnation != self.incarnation:
            return Admission.OTHER_INCARNATION
        record = self.records.get(key)
        if record is None:
            return Admission.FULL if self.is_full else Admission.START
        if record.state is not RecordState.FENCED:
            return Admission.ATTACH
        # A late frame of an entry that was considered dead: another entry has been
        # told that the attempt never runs.
        if attempt <= record.fenced:
            return Admission.FENCED
        return Admission.START

    def start(self, key, attempt, token, now, answer=None):
        """Record that an attempt starts; check() must have returned START."""
        record = self.records.get(key) or self.add(key)
        record.state = RecordState.RUNNING
        record.attempt = attempt
        record.token = token
        record.answer = answer
        self.touch(record, now)
        return record

    def withdraw(self, key):
        """Undo a start that the gate refused at once.

        An earlier fence stays. The refused attempt needs no fence, because the only
        copy of its frame has been received.
        """
        record = self.records[key]
        record.state = RecordState.FENCED
        record.answer = None
        if not record.fenced:
            del self.records[key]

    def fence(self, key, attempt, incarnation, now):
        """Fence all attempts up to this one, or return why that is not possible."""
        if incarnation != self.incarnation:
            return FenceResult.OTHER_INCARNATION
        record = self.records.get(key)
        if record is None:
            if self.is_full:
                return FenceResult.FULL
            record = self.add(key)
        match record.state:
            case RecordState.RUNNING:
                return FenceResult.RUNNING
            case RecordState.RAN:
                return FenceResult.RAN
        record.fenced = max(record.fenced, attempt)
        self.touch(record, now)
        return FenceResult.FENCED

    def finish(self, key, outcome, size, now):
        """Record the end of a running attempt."""
        record = self.records[key]
        if outcome is Outcome.NOT_RUN:
            # It never reached the endpoint and can be fenced like an unsent attempt.
            record.state = RecordState.FENCED
            record.fenced = max(record.fenced, record.attempt)
            record.answer = None
        else:
            record.state = RecordState.RAN
            record.size = size
            self.size += size
        self.touch(record, now)

    def mark_recorded(self, key, now, *, keep_answer=False):
        """Mark the key's end as recorded; free the answer unless it must be kept."""
        record = self.records.get(key)
        if record is None or record.state is not RecordState.RAN or record.recorded:
            return
        record.recorded = True
        if not keep_answer:
            self.free_answer(record)
        self.touch(record, now)

    def has_unacknowledged(self, since):
        """Return whether a key ended since then and no entry has acknowledged it."""
        for record in reversed(self.records.values()):
            if record.changed_at < since:
                return False
            if record.state is RecordState.RAN and not record.recorded:
                return True
        return False

    def sweep(self, now):
        """Delete records that no late frame and no claim can refer to any more."""
        for record in list(self.records.values()):
            if now - record.changed_at < self.mark_seconds:
                return
            if self.may_forget(record, now):
                self.free_answer(record)
                del self.records[record.key]

    def may_forget(self, record, now):
        """Return whether a record older than mark_seconds may be deleted."""
        match record.state:
            case RecordState.RUNNING:
                return False
            case RecordState.RAN if not record.recorded:
                return now - record.changed_at >= self.retention_seconds
        return True

    @property
    def is_full(self):
        """Return whether the ledger has no room for another key."""
        return len(self.records) >= self.maximum_keys or self.size >= self.maximum_bytes

    def add(self, key):
        """Add a record for a new key."""
        record = LedgerRecord(key, RecordState.FENCED)
        self.records[key] = record
        return record

    def touch(self, record, now):
        """Set the time of a record's last change and move it to the end."""
        record.changed_at = now
        self.records.move_to_end(record.key)

    def free_answer(self, record):
        """Drop a record's answer and its bytes from the ledger's size."""
        self.size -= record.size
        record.size = 0
        record.answer = None
