"""Admit no more work than the endpoint can carry.

The gate stands here and not only at the entries: each entry's view is late, and
only here do the requests of all entries meet. A cold endpoint stays at its floor
until it has given enough answers in a row; then each answer raises the limit by one.
"""


class Gate:
    """Count running requests against a limit that follows the endpoint's warmth."""

    __slots__ = (
        "answers",
        "cold_limit",
        "leaving",
        "limit",
        "running",
        "warm_after",
        "warm_limit",
        "zone_out",
    )

    def __init__(self, cold_limit, warm_limit, warm_after):
        self.answers = 0
        self.warm_after = warm_after
        self.cold_limit = cold_limit
        self.warm_limit = warm_limit
        self.limit = cold_limit
        self.running = 0
        self.leaving = False
        self.zone_out = False

    def refusal(self):
        """Return why new work is refused, or None."""
        if self.leaving:
            return "leaving"
        if self.zone_out:
            return "zone-out"
        if self.running >= self.limit:
            return "full"
        return None

    def enter(self):
        self.running += 1

    def exit(self, answered):
        self.running -= 1
        if not answered:
            return
        self.answers += 1
        if self.answers >= self.warm_after:
            self.limit = min(self.limit + 1, self.warm_limit)

    def collapse(self):
        """Return to the cold floor on a sign that the endpoint is cold again."""
        self.limit = self.cold_limit
        self.answers = 0

    @property
    def warm(self):
        return self.limit >= self.warm_limit
