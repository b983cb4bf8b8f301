"""Choose an endpoint for a request.

Load pattern: many entries choose among the same endpoints on reports that lag.
Without care all entries pick the endpoint that looked idle last and overrun it.
Two random candidates compared by reported load plus own unanswered sends keep the
choices of different entries apart; two already gives most of the gain of asking all.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Candidate:
    """Hold what an entry knows of one endpoint."""

    name: str
    zone: str
    running: int = 0
    limit: int = 1
    unanswered: int = 0
    warm: bool = True

    @property
    def load(self):
        """Return the share of the limit in use, own unanswered sends included."""
        return max(self.running, self.unanswered) / max(self.limit, 1)


def choose(candidates, zone, random):
    """Return the better of two random candidates of the nearest usable zone."""
    if not candidates:
        return None
    near = [each for each in candidates if each.zone == zone and each.load < 1]
    pool = near or candidates
    if len(pool) == 1:
        return pool[0]
    first, second = random.sample(pool, 2)
    return min(first, second, key=lambda candidate: candidate.load)
