"""Tell a slow rank from an overloaded one, and a stalled rank from a slow one.

Load pattern: one rank's accelerator runs hot and slows down. Its steps last long
although its share of the tokens is ordinary; taking more of the popular experts from
it as if it were overloaded would not end, since its measured load never was the cause.
A rank's time divided by its tokens shows its speed; its share then shrinks with it.
"""

import statistics

SPEED_WEIGHT = 0.3
# Speeds within this of 1 count as 1: measured times wobble.
NORMAL_TOLERANCE = 0.05
# Speeds are rounded to these steps, so that wobble alone plans nothing.
SPEED_STEP = 0.05
# A rank slower than this holds the group up whatever its share: it counts as lost.
MIN_SPEED = 0.2


class SpeedMeter:
    """Follow the speed of each rank relative to the group's median."""

    __slots__ = ("speeds",)

    def __init__(self, ranks):
        self.speeds = [1.0] * ranks

    def observe(self, tokens, seconds):
        """Take each rank's tokens and time of an interval; None is a stalled rank."""
        rates = [
            count / time if time and count else None
            for count, time in zip(tokens, seconds, strict=True)
        ]
        known = [rate for rate in rates if rate]
        if not known:
            return
        usual = statistics.median(known)
        for rank, rate in enumerate(rates):
            if seconds[rank] is None:
                self.speeds[rank] = 0.0
            elif rate:
                step = rate / usual - self.speeds[rank]
                # A clear change is no wobble: it is taken at once.
                weight = 1.0 if abs(step) > 4 * NORMAL_TOLERANCE else SPEED_WEIGHT
                self.speeds[rank] += weight * step

    def rounded_speeds(self):
        """Return the speeds to plan with; 0 is a rank that gets no work."""
        return tuple(round_speed(speed) for speed in self.speeds)


def round_speed(speed):
    if speed < MIN_SPEED:
        return 0.0
    if abs(speed - 1) <= NORMAL_TOLERANCE:
        return 1.0
    return round(speed / SPEED_STEP) * SPEED_STEP
