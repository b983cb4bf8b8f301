"""Choose between idempotent and at-most-once execution of a call."""

from fescuedrum_entry.request.call import Repetition
from fescuedrum_entry.request.idempotent import IdempotentRun
from fescuedrum_entry.request.keyed import KeyedRun
from fescuedrum_entry.request.selection import Selection


class Dispatcher:
    """Run one call in the way that its repetition allows."""

    __slots__ = ("run",)

    def __init__(self, entry, call, reply):
        idempotent = call.repetition is Repetition.IDEMPOTENT
        kind = IdempotentRun if idempotent else KeyedRun
        # Writes the whole answer into the reply or raises a FescuedrumError.
        self.run = kind(entry, call, reply, Selection(entry, call)).run
