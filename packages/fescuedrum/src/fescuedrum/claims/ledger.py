"""Remember at an agent which attempts ran, and which never may.

Load pattern: many keys, each run once, some of them repeated. Memory is bounded, and
what the ledger forgets could run again, so the rules of forgetting are strict: a
running key is never forgotten; an answer's bytes go once the table has them; the mark
that a key ran or was fenced outlives every late frame (`mark_seconds`, many times the
silence after which a connection is closed) and, when the table doesn't know the end,
the claim's own row (`retention_seconds`). When full the ledger takes no new key:
refusing is safe to repeat, forgetting isn't.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from fescuedrum.outcomes import Outcome

MARK_SECONDS = 300.0
RETENTION_SECONDS = 48 * 3600.0


class RecordState(enum.Enum):
    """Say what an agent knows of a key."""

    FENCED = enum.auto()
    RUNNING = enum.auto()
    RAN = enum.auto()


class Admission(enum.StrEnum):
    """Say what becomes of a request that names a key."""

    START = "start"
    ATTACH = "attach"
    FENCED = "fenced"
    OTHER_INCARNATION = "other-incarnation"
    FULL = "ledger-full"


class FenceResult(enum.StrEnum):
    """Answer an entry that asks what became of attempts up to a number."""

    # None of them was seen here, and none can start here from now on.
    FENCED = "fenced"
    RUNNING = "running"
    RAN = "ran"
    # This life of the agent can't know what an earlier one did.
    OTHER_INCARNATION = "other-incarnation"
    # There is no memory left to promise anything.
    FULL = "ledger-full"


@dataclass(slots=True)
class LedgerRecord:
    """Hold what is known of one key."""

    key: str
    state: RecordState
    attempt: int = 0
    token: str = ""
    fenced: int = 0
    answer: object = None
    size: int = 0
    # Whether the table or the entry that asked has the whole answer.
    recorded: bool = False
    # Loop time of the last change, in seconds.
    changed_at: float = 0.0


class Ledger:
    """Map keys to records within bounds of count and bytes."""

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
        """Say what an attempt would get, without a trace in the ledger."""
        # Its claim names a life of this agent that is over. Running it here would
        # let two lives run one attempt.
        if incarnation != self.incarnation:
            return Admission.OTHER_INCARNATION
        record = self.records.get(key)
        if record is None:
            return Admission.FULL if self.full else Admission.START
        if record.state is not RecordState.FENCED:
            return Admission.ATTACH
        # A frame can come after its entry was given up for dead and a successor was
        # promised that it will never run.
        if attempt <= record.fenced:
            return Admission.FENCED
        return Admission.START

    def start(self, key, attempt, token, now, answer=None):
        """Note that an attempt runs from now on; check() has said START."""
        record = self.records.get(key) or self.add(key)
        record.state = RecordState.RUNNING
        record.attempt = attempt
        record.token = token
        record.answer = answer
        self.touch(record, now)
        return record

    def withdraw(self, key):
        """Take back a start that the gate refused in the same moment.

        An earlier fence stays; the refused attempt itself needs none, because the
        only copy of its frame was taken.
        """
        record = self.records[key]
        record.state = RecordState.FENCED
        record.answer = None
        if not record.fenced:
            del self.records[key]

    def fence(self, key, attempt, incarnation, now):
        """Promise that no attempt up to this one starts, or say that one has."""
        if incarnation != self.incarnation:
            return FenceResult.OTHER_INCARNATION
        record = self.records.get(key)
        if record is None:
            if self.full:
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
        """Note the end of a running attempt."""
        record = self.records[key]
        if outcome is Outcome.NOT_RUN:
            # It never reached the endpoint, so its fence is as good as any.
            record.state = RecordState.FENCED
            record.fenced = max(record.fenced, record.attempt)
            record.answer = None
        else:
            record.state = RecordState.RAN
            record.size = size
            self.size += size
        self.touch(record, now)

    def mark_recorded(self, key, now, *, keep_answer=False):
        """Note that the key's row knows the end; free the bytes if it has those too."""
        record = self.records.get(key)
        if record is None or record.state is not RecordState.RAN or record.recorded:
            return
        record.recorded = True
        if not keep_answer:
            self.release(record)
        self.touch(record, now)

    def has_unacknowledged(self, since):
        """Tell whether a key ran to its end since then and no entry says to have it."""
        for record in reversed(self.records.values()):
            if record.changed_at < since:
                return False
            if record.state is RecordState.RAN and not record.recorded:
                return True
        return False

    def sweep(self, now):
        """Forget what no late frame and no claim can ask about any more."""
        for record in list(self.records.values()):
            if now - record.changed_at < self.mark_seconds:
                return
            if self.may_forget(record, now):
                self.release(record)
                del self.records[record.key]

    def may_forget(self, record, now):
        match record.state:
            case RecordState.RUNNING:
                return False
            case RecordState.RAN if not record.recorded:
                return now - record.changed_at >= self.retention_seconds
        return True

    @property
    def full(self):
        return len(self.records) >= self.maximum_keys or self.size >= self.maximum_bytes

    def add(self, key):
        record = LedgerRecord(key, RecordState.FENCED)
        self.records[key] = record
        return record

    def touch(self, record, now):
        record.changed_at = now
        self.records.move_to_end(record.key)

    def release(self, record):
        self.size -= record.size
        record.size = 0
        record.answer = None
