"""Distinguish slow ranks from overloaded ones, and stalled ranks from slow ones.

Load pattern: an accelerator overheats and slows down. The rank's steps take long
although its share of the tokens is normal. If it were treated as overloaded, popular
experts would be moved away from it again and again, because load is not the cause. The
speed of a rank is measured from its tokens and its time, and its share of the tokens is
reduced accordingly.
"""

import statistics

# Weight of a new measurement in the speed.
SPEED_WEIGHT = 0.3
# Speeds that differ from 1 by less count as 1, because measured times vary.
NORMAL_TOLERANCE = 0.05
# Speeds are rounded to multiples of this, so that variations alone cause no plan.
SPEED_STEP = 0.05
# A slower rank counts as lost, because it delays the group even with a small share.
MIN_SPEED = 0.2


class SpeedMeter:
    """Measure the speed of each rank relative to the group's median."""

    __slots__ = ("speeds",)

    def __init__(self, ranks):
        self.speeds = [1.0] * ranks

    def observe(self, tokens, seconds):
        """Record the ranks' tokens and times of an interval; None means stalled."""
        rates = [
            count / time if time and count else None
            for count, time in zip(tokens, seconds, strict=True)
        ]
        known = [rate for rate in rates if rate]
        if not known:
            return
        median_rate = statistics.median(known)
        for rank, rate in enumerate(rates):
            if seconds[rank] is None:
                self.speeds[rank] = 0.0
            elif rate:
                step = rate / median_rate - self.speeds[rank]
                # A large change is not a variation of measured times; apply it fully.
                weight = 1.0 if abs(step) > 4 * NORMAL_TOLERANCE else SPEED_WEIGHT
                self.speeds[rank] += weight * step

    def rounded_speeds(self):
        """Return the speeds for planning; 0 means that a rank gets no tokens."""
        return tuple(round_speed(speed) for speed in self.speeds)


def round_speed(speed):
    """Return a speed rounded to SPEED_STEP, 0 if too low, 1 if about normal."""
    if speed < MIN_SPEED:
        return 0.0
    if abs(speed - 1) <= NORMAL_TOLERANCE:
        return 1.0
    return round(speed / SPEED_STEP) * SPEED_STEP
