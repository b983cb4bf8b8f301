"""Decide which endpoints are so much slower than their peers that they get no work.

Load pattern: one endpoint of a dozen runs several times slower, from a bad card or a
noisy neighbour. Choosing by load alone still gives it a share, and with one in twelve
requests going there the slowest hundredth of answers is all its own. An endpoint is
ejected when its delay for each unit of cost is a multiple of its peers' median for
some reports in a row. It comes back gently: after a pause it gets one request at a
time, and only good delays bring it back in full.
"""

import statistics
from dataclasses import dataclass

SLOWER = 2.5
RECOVERED = 1.5
REPORTS = 3
MAXIMUM_SHARE = 1 / 3
MINIMUM_PEERS = 3
MEDIAN_SECONDS = 0.25
PAUSE_SECONDS = 5.0
LONGEST_PAUSE_SECONDS = 60.0
TRIAL_EVERY_SECONDS = 2.0


@dataclass(slots=True)
class Standing:
    """Hold one endpoint's reported delay and whether it is ejected."""

    delay: float = 0.0
    # Answers behind the delay; a report without new ones proves nothing new.
    answers: int = 0
    slow_reports: int = 0
    ejected: bool = False
    ejected_at: float = 0.0
    pause: float = PAUSE_SECONDS
    next_trial_at: float = 0.0


class OutlierDetector:
    """Compare the endpoints of one service; times are loop time in seconds."""

    __slots__ = ("ejected", "median", "median_at", "standings")

    def __init__(self):
        self.standings = {}
        self.ejected = 0
        self.median = None
        self.median_at = None

    def forget(self, name):
        standing = self.standings.pop(name, None)
        if standing is not None and standing.ejected:
            self.ejected -= 1

    def report(self, name, delay, answers, now):
        """Take an endpoint's delay for each unit of cost; return True on a change."""
        standing = self.standings.setdefault(name, Standing())
        fresh = answers != standing.answers
        standing.delay = delay
        standing.answers = answers
        if not fresh or delay <= 0:
            return False
        median = self.current_median(now)
        if median is None:
            return False
        if standing.ejected:
            return self.judge_return(standing, delay, median, now)
        return self.judge_ejection(standing, delay, median, now)

    def current_median(self, now):
        """Return the median delay of those not ejected; sorted once an interval.

        Sorting at every report would make the work grow with the square of the fleet.
        """
        if self.median_at is None or now - self.median_at >= MEDIAN_SECONDS:
            self.median_at = now
            self.median = self.compute_median()
        return self.median

    def compute_median(self):
        delays = [
            each.delay
            for each in self.standings.values()
            if each.delay > 0 and not each.ejected
        ]
        return statistics.median(delays) if len(delays) >= MINIMUM_PEERS else None

    def judge_ejection(self, standing, delay, median, now):
        slow = delay > SLOWER * median
        standing.slow_reports = standing.slow_reports + 1 if slow else 0
        if standing.slow_reports < REPORTS or not self.may_eject():
            return False
        standing.ejected = True
        self.ejected += 1
        standing.ejected_at = now
        standing.next_trial_at = now + standing.pause
        standing.slow_reports = 0
        return True

    def may_eject(self):
        return self.ejected + 1 <= len(self.standings) * MAXIMUM_SHARE

    def judge_return(self, standing, delay, median, now):
        if delay <= RECOVERED * median:
            standing.ejected = False
            self.ejected -= 1
            standing.pause = PAUSE_SECONDS
            return True
        # A trial proved it still slow: the next ones come later.
        if now >= standing.ejected_at + standing.pause:
            standing.pause = min(standing.pause * 2, LONGEST_PAUSE_SECONDS)
            standing.ejected_at = now
            standing.next_trial_at = now + standing.pause
        return False

    def allows(self, name, now):
        """Tell whether an endpoint may get a request; ejected ones only a trial."""
        standing = self.standings.get(name)
        if standing is None or not standing.ejected:
            return True
        return now >= standing.next_trial_at

    def sent(self, name, now):
        """Note a request; to an ejected endpoint it was the trial."""
        standing = self.standings.get(name)
        if standing is not None and standing.ejected:
            standing.next_trial_at = now + TRIAL_EVERY_SECONDS
