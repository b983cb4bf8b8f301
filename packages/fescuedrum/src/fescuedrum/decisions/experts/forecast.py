"""Forecast the loads of experts and how long the forecast will hold.

Load patterns, and what happens without this module: a daily drift would be answered
only after ranks have become slow, a shift at noon one interval late every day, and
random flapping with a change at every interval, each of them too late.

Drift is modelled by a level and a damped trend. A shift that occurred at this time on
earlier days is expected again if those days were similar to today. The number of shifts
in the last hour determines how long a forecast holds. After two shifts popularity is
considered unstable, and the forecast is the mean of the hour, which suits all of the
states between which popularity flaps.
"""

from collections import deque
from dataclasses import dataclass

# Smoothing weights. Half of the level's weight is on the last three intervals, because
# the noise is 1 %.
LEVEL_WEIGHT = 0.25
TREND_WEIGHT = 0.05
# The trend is damped because drift changes direction within hours.
TREND_DAMPING = 0.98
# A forecast holds until drift has moved this fraction of the tokens to other experts.
DRIFT_LIMIT = 0.03
WINDOW_SECONDS = 3600.0
# Fraction of the tokens that moves to other experts between two intervals. Noise and
# drift are below 2 %, shifts of popularity above 10 %.
SHIFT_THRESHOLD = 0.05
# Shifts within the window after which popularity is considered unstable.
UNSTABLE_SHIFTS = 2
# Intervals without reports after which older observations are discarded.
MAX_GAP_INTERVALS = 3
DAY_SECONDS = 86400.0
# Resolution of the loads that are kept by time of day.
BUCKET_SECONDS = 300.0
ERROR_WEIGHT = 0.2
# A shift of earlier days is expected again only while the error of their loads is below
# this limit. Flapping never repeats that exactly. Between shifts, level and trend give
# better forecasts.
MAX_DAILY_ERROR = SHIFT_THRESHOLD / 2


@dataclass(slots=True, frozen=True)
class Forecast:
    """Hold expected loads as fractions of a layer, and how long they are valid.

    Loads are indexed as loads[layer][expert].
    """

    loads: list[list[float]]
    valid_seconds: float
    is_stable: bool
    # Loads of the last interval, or of all intervals of the last hour if unstable.
    recent: list[list[list[float]]]


@dataclass(slots=True, frozen=True)
class Observation:
    """Hold the loads of one interval as fractions of a layer."""

    at: float
    loads: list[list[float]]
    has_shifted: bool


@dataclass(slots=True)
class DailyLoads:
    """Hold the loads at one time of day, separately for today and for earlier days.

    Today's loads are compared with earlier days, so they must not be part of these.
    """

    day: int
    today: list[list[float]]
    earlier: list[list[float]] | None = None

    def update(self, fractions, day):
        """Blend loads into those of today, starting a new day if needed."""
        if day != self.day:
            known = self.earlier
            self.earlier = (
                self.today if known is None else blend(known, self.today, 0.5)
            )
            self.day = day
            self.today = fractions
            return
        self.today = blend(self.today, fractions, 0.5)

    def loads_before(self, day):
        """Return the loads of the days before the given day, or None if unknown."""
        return self.earlier if day == self.day else self.today


class Forecaster:
    """Record the loads of one group and forecast them."""

    __slots__ = (
        "daily_error",
        "daily_loads",
        "interval_seconds",
        "level",
        "trend",
        "window",
    )

    def __init__(self, interval_seconds):
        self.interval_seconds = interval_seconds
        self.window = deque()
        self.level = None
        self.trend = None
        self.daily_loads = {}
        # None until a day has passed.
        self.daily_error = None

    def observe(self, loads, now):
        """Record the loads of the interval that ends now."""
        fractions = [normalise(layer) for layer in loads]
        if (
            self.window
            and now - self.window[-1].at > MAX_GAP_INTERVALS * self.interval_seconds
        ):
            # Neither drift nor shifts can be measured across a gap in the reports.
            self.window.clear()
            self.level = None
        last = self.window[-1].loads if self.window else fractions
        has_shifted = moved_fraction(fractions, last) > SHIFT_THRESHOLD
        self.update_daily_error(fractions, now)
        self.update_trend(fractions, has_shifted)
        self.update_daily_loads(fractions, now)
        self.window.append(Observation(now, fractions, has_shifted))
        while now - self.window[0].at >= WINDOW_SECONDS:
            self.window.popleft()

    def update_daily_error(self, fractions, now):
        """Update the mean difference between the loads of today and earlier days."""
        expected = self.loads_of_earlier_days(now)
        if expected is None:
            return
        error = moved_fraction(fractions, expected)
        if self.daily_error is None:
            self.daily_error = error
        self.daily_error += ERROR_WEIGHT * (error - self.daily_error)

    def loads_of_earlier_days(self, at):
        """Return the loads of earlier days at this time of day, or None if unknown."""
        bucket = self.daily_loads.get(bucket_of(at))
        return bucket.loads_before(day_of(at)) if bucket else None

    def update_trend(self, fractions, has_shifted):
        """Update level and trend, or restart them after a shift."""
        if self.level is None or has_shifted:
            self.level = fractions
            self.trend = [[0.0] * len(layer) for layer in fractions]
            return
        expected = self.expected_loads()
        level = blend(expected, fractions, LEVEL_WEIGHT)
        step = weighted_sum(level, self.level, 1.0, -1.0)
        damped = weighted_sum(self.trend, self.trend, TREND_DAMPING, 0.0)
        self.trend = blend(damped, step, TREND_WEIGHT)
        self.level = level

    def update_daily_loads(self, fractions, now):
        """Record loads under the current time of day."""
        bucket = self.daily_loads.get(bucket_of(now))
        if bucket is None:
            self.daily_loads[bucket_of(now)] = DailyLoads(day_of(now), fractions)
        else:
            bucket.update(fractions, day_of(now))

    def expected_loads(self):
        """Return the loads expected for the next interval from level and trend."""
        loads = weighted_sum(self.level, self.trend, 1.0, TREND_DAMPING)
        return [[max(load, 0.0) for load in layer] for layer in loads]

    def forecast(self):
        """Return the forecast for the time that begins now."""
        shifts = sum(each.has_shifted for each in self.window)
        recent = [each.loads for each in self.window]
        coming = self.upcoming_shift()
        if coming is not None:
            return Forecast(
                coming, self.seconds_until_change(coming), True, recent[-1:]
            )
        if shifts >= UNSTABLE_SHIFTS:
            valid_seconds = WINDOW_SECONDS / (1 + shifts)
            return Forecast(mean_loads(recent), valid_seconds, False, recent)
        valid_seconds = min(WINDOW_SECONDS / (1 + shifts), self.seconds_until_drift())
        return Forecast(self.expected_loads(), valid_seconds, True, recent[-1:])

    def seconds_until_drift(self):
        """Return the time in which the trend reaches DRIFT_LIMIT."""
        ahead = weighted_sum(self.level, self.trend, 1.0, 1.0)
        drift = moved_fraction(self.level, ahead)
        return self.interval_seconds * DRIFT_LIMIT / drift if drift else WINDOW_SECONDS

    def first_shift_at(self):
        """Return the time of the first shift in the last hour, or None."""
        return next((each.at for each in self.window if each.has_shifted), None)

    def upcoming_shift(self):
        """Return the loads after a shift that is due in the next interval, or None."""
        if self.daily_error is None or self.daily_error > MAX_DAILY_ERROR:
            return None
        last = self.window[-1].at
        now, then = (
            self.loads_of_earlier_days(last),
            self.loads_of_earlier_days(last + self.interval_seconds),
        )
        if now is None or then is None or moved_fraction(now, then) <= SHIFT_THRESHOLD:
            return None
        return then

    def seconds_until_change(self, coming):
        """Return the time until the loads of earlier days differ from those coming."""
        begin = self.window[-1].at + self.interval_seconds
        ahead = self.interval_seconds
        while ahead < WINDOW_SECONDS:
            then = self.loads_of_earlier_days(begin + ahead)
            if then is not None and moved_fraction(coming, then) > DRIFT_LIMIT:
                break
            ahead += BUCKET_SECONDS
        return ahead


def day_of(now):
    return int(now // DAY_SECONDS)


def bucket_of(now):
    """Return the index of the time of day, in steps of BUCKET_SECONDS."""
    return int(now % DAY_SECONDS // BUCKET_SECONDS)


def normalise(loads):
    """Return loads as fractions of their sum, equal ones if the sum is 0."""
    total = sum(loads)
    return [load / total for load in loads] if total else [1 / len(loads)] * len(loads)


def moved_fraction(first, second):
    """Return the fraction of tokens on other experts, as the mean over layers."""
    total = 0.0
    for one, other in zip(first, second, strict=True):
        total += sum(abs(a - b) for a, b in zip(one, other, strict=True))
    return total / (2 * len(first))


def weighted_sum(first, second, first_weight, second_weight):
    """Return the weighted sum of two loads[layer][expert]."""
    return [
        [a * first_weight + b * second_weight for a, b in zip(one, two, strict=True)]
        for one, two in zip(first, second, strict=True)
    ]


def blend(old, new, weight):
    """Return the mean of two loads in which new has the given weight."""
    return weighted_sum(old, new, 1 - weight, weight)


def mean_loads(series):
    """Return the mean of several loads[layer][expert]."""
    total = series[0]
    for each in series[1:]:
        total = weighted_sum(total, each, 1.0, 1.0)
    return weighted_sum(total, total, 1 / len(series), 0.0)
