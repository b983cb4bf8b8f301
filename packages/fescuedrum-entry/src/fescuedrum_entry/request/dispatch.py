"""Choose how a call is carried out: by how often it may run."""

from fescuedrum_entry.request.call import Repetition
from fescuedrum_entry.request.idempotent import IdempotentRun
from fescuedrum_entry.request.keyed import KeyedRun
from fescuedrum_entry.request.selection import Selection


class Dispatcher:
    """Carry one call to its outcome."""

    __slots__ = ("run",)

    def __init__(self, entry, call, reply):
        idempotent = call.repetition is Repetition.IDEMPOTENT
        kind = IdempotentRun if idempotent else KeyedRun
        # Fills the reply with a whole answer or raises a FescuedrumError.
        self.run = kind(entry, call, reply, Selection(entry, call)).run
