"""Drop frames that a connection delivers a second time."""


class DuplicateFilter:
    """Accept each request number of a connection once; an entry only counts up.

    A refusal is final only if no copy of the refused frame can come after it. The
    ledger keeps no trace of a request that it refused, so a second copy, which finds
    room where the first found none, would run what its entry was told did not run.
    """

    __slots__ = ("highest",)

    def __init__(self):
        self.highest = 0

    def accept(self, number):
        if number <= self.highest:
            return False
        self.highest = number
        return True
