"""Detect frames that a connection delivers a second time."""


class DuplicateFilter:
    """Accept each request number of a connection once; entries only count up.

    The ledger keeps no record of a request that it refused. If a second copy of a
    refused frame were accepted, it could run when the ledger has room again, although
    its entry was told that the request did not run.
    """

    __slots__ = ("highest",)

    def __init__(self):
        self.highest = 0

    def accept(self, number):
        """Return whether a request number is new, and remember it."""
        if number <= self.highest:
            return False
        self.highest = number
        return True
