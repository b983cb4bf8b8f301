"""Eject endpoints that are much slower than their peers (outlier detection).

Load pattern: one endpoint of a dozen is several times slower, because of a faulty card
or a noisy neighbour. Choosing by load alone still gives it a share of the requests, and
with one request in twelve going there it causes the whole 99th percentile of delays. An
endpoint is ejected when its delay per unit of cost is a multiple of its peers' median
in several consecutive reports. It returns gradually: after a pause it gets one trial
request at a time, and only good delays end the ejection.
"""

import statistics
from dataclasses import dataclass

SLOW_FACTOR = 2.5
RECOVERED_FACTOR = 1.5
SLOW_REPORTS = 3
MAXIMUM_EJECTED_SHARE = 1 / 3
MINIMUM_PEERS = 3
MEDIAN_INTERVAL_SECONDS = 0.25
PAUSE_SECONDS = 5.0
LONGEST_PAUSE_SECONDS = 60.0
TRIAL_INTERVAL_SECONDS = 2.0


@dataclass(slots=True)
class DelayRecord:
    """Reported delay of one endpoint, and whether it is ejected."""

    delay: float = 0.0
    # Answers that the delay was computed from; a report without new ones is ignored.
    answers: int = 0
    slow_reports: int = 0
    ejected: bool = False
    ejected_at: float = 0.0
    pause: float = PAUSE_SECONDS
    next_trial_at: float = 0.0


class OutlierDetector:
    """Compare the delays of one service's endpoints; times are loop time in seconds."""

    __slots__ = ("ejected", "median", "median_at", "records")

    def __init__(self):
        self.records = {}
        self.ejected = 0
        self.median = None
        self.median_at = None

    def forget(self, name):
        """Remove an endpoint."""
        record = self.records.pop(name, None)
        if record is not None and record.ejected:
            self.ejected -= 1

    def report(self, name, delay, answers, now):
        """Process an endpoint's delay per unit of cost.

        Return whether the endpoint was ejected or restored by it.
        """
        record = self.records.setdefault(name, DelayRecord())
        has_new_answers = answers != record.answers
        record.delay = delay
        record.answers = answers
        if not has_new_answers or delay <= 0:
            return False
        median = self.current_median(now)
        if median is None:
            return False
        if record.ejected:
            return self.check_recovery(record, delay, median, now)
        return self.check_ejection(record, delay, median, now)

    def current_median(self, now):
        """Return the median delay of the endpoints not ejected, or None.

        It is computed once per MEDIAN_INTERVAL_SECONDS: sorting at every report would
        make the work grow with the square of the fleet.
        """
        if self.median_at is None or now - self.median_at >= MEDIAN_INTERVAL_SECONDS:
            self.median_at = now
            self.median = self.compute_median()
        return self.median

    def compute_median(self):
        """Return the median delay of endpoints not ejected, or None if they are few."""
        delays = [
            each.delay
            for each in self.records.values()
            if each.delay > 0 and not each.ejected
        ]
        return statistics.median(delays) if len(delays) >= MINIMUM_PEERS else None

    def check_ejection(self, record, delay, median, now):
        """Eject the endpoint after several slow reports; return whether it was."""
        slow = delay > SLOW_FACTOR * median
        record.slow_reports = record.slow_reports + 1 if slow else 0
        if record.slow_reports < SLOW_REPORTS or not self.may_eject():
            return False
        record.ejected = True
        self.ejected += 1
        record.ejected_at = now
        record.next_trial_at = now + record.pause
        record.slow_reports = 0
        return True

    def may_eject(self):
        """Return whether one more ejection keeps within the maximum share."""
        return self.ejected + 1 <= len(self.records) * MAXIMUM_EJECTED_SHARE

    def check_recovery(self, record, delay, median, now):
        """Restore an ejected endpoint if its delay is good; return whether it was."""
        if delay <= RECOVERED_FACTOR * median:
            record.ejected = False
            self.ejected -= 1
            record.pause = PAUSE_SECONDS
            return True
        # The endpoint is still slow: wait longer before the next trials.
        if now >= record.ejected_at + record.pause:
            record.pause = min(record.pause * 2, LONGEST_PAUSE_SECONDS)
            record.ejected_at = now
            record.next_trial_at = now + record.pause
        return False

    def allows(self, name, now):
        """Return whether an endpoint may get a request; ejected ones only for trial."""
        record = self.records.get(name)
        if record is None or not record.ejected:
            return True
        return now >= record.next_trial_at

    def sent(self, name, now):
        """Record a sent request; if the endpoint is ejected, it was a trial."""
        record = self.records.get(name)
        if record is not None and record.ejected:
            record.next_trial_at = now + TRIAL_INTERVAL_SECONDS
