"""Forecast experts' loads and how long a forecast will hold.

Load patterns, and what happens without this module: a daily drift would be met only
after ranks have become slow, a shift at noon an interval late every day, and random
flapping would be chased by a change at every interval, each too late.

A level and a damped trend follow drift. A shift that earlier days had at this hour is
expected again while they were like today. Jumps of the last hour tell
how long a forecast lasts; after two of them popularity counts as unsettled, and the
hour's mean, which suits each of the states it flaps between, is the forecast.
"""

from collections import deque
from dataclasses import dataclass

# Level: half of its weight lies on the last three intervals, against noise of 1 %.
LEVEL_WEIGHT = 0.25
TREND_WEIGHT = 0.05
# A trend fades: drift turns round within hours.
TREND_DAMPING = 0.98
# A forecast holds until drift has carried this part of the tokens elsewhere.
DRIFTED = 0.03
WINDOW_SECONDS = 3600.0
# Part of all tokens that goes to other experts from one interval to the next; noise
# and drift stay under 2 %, shifts of popularity are above 10 %.
JUMP = 0.05
UNSETTLED_JUMPS = 2
GAP_INTERVALS = 3
DAY_SECONDS = 86400.0
BUCKET_SECONDS = 300.0
ERROR_WEIGHT = 0.2
# A shift of earlier days is expected again while the days have been this near; level
# and trend are better between shifts, and flapping never repeats so exactly.
DAILY_ERROR = JUMP / 2


@dataclass(slots=True, frozen=True)
class Forecast:
    """Hold loads[layer][expert] as parts of a layer, and how many seconds they hold."""

    loads: list[list[float]]
    lasting: float
    settled: bool
    # Loads of the last interval; of all of the last hour while unsettled.
    recent: list[list[list[float]]]


@dataclass(slots=True, frozen=True)
class Observation:
    """Hold one interval's loads as parts of a layer."""

    at: float
    loads: list[list[float]]
    jumped: bool


@dataclass(slots=True)
class DayShape:
    """Hold the loads of earlier days; today's apart, lest they judge themselves."""

    day: int
    today: list[list[float]]
    earlier: list[list[float]] | None = None

    def learn(self, parts, day):
        if day != self.day:
            known = self.earlier
            self.earlier = (
                self.today if known is None else blend(known, self.today, 0.5)
            )
            self.day = day
            self.today = parts
            return
        self.today = blend(self.today, parts, 0.5)

    def before(self, day):
        """Return the loads of the days before a day, or None."""
        return self.earlier if day == self.day else self.today


class Forecaster:
    """Follow the loads of one group."""

    __slots__ = (
        "daily",
        "daily_error",
        "interval",
        "level",
        "trend",
        "window",
    )

    def __init__(self, interval):
        self.interval = interval
        self.window = deque()
        self.level = None
        self.trend = None
        self.daily = {}
        # None until a day has passed.
        self.daily_error = None

    def observe(self, loads, now):
        """Take the loads of the interval that ends now."""
        parts = [normalise(layer) for layer in loads]
        if self.window and now - self.window[-1].at > GAP_INTERVALS * self.interval:
            # What lies before a gap in the reports says nothing of drift or jumps.
            self.window.clear()
            self.level = None
        last = self.window[-1].loads if self.window else parts
        jumped = distance(parts, last) > JUMP
        self.learn_error(parts, now)
        self.follow(parts, jumped)
        self.learn_day(parts, now)
        self.window.append(Observation(now, parts, jumped))
        while now - self.window[0].at >= WINDOW_SECONDS:
            self.window.popleft()

    def learn_error(self, parts, now):
        expected = self.same_hour(now)
        if expected is None:
            return
        error = distance(parts, expected)
        if self.daily_error is None:
            self.daily_error = error
        self.daily_error += ERROR_WEIGHT * (error - self.daily_error)

    def same_hour(self, at):
        """Return the loads of earlier days at this time of day, or None."""
        shape = self.daily.get(bucket_of(at))
        return shape.before(day_of(at)) if shape else None

    def follow(self, parts, jumped):
        if self.level is None or jumped:
            self.level = parts
            self.trend = [[0.0] * len(layer) for layer in parts]
            return
        expected = self.ahead()
        level = blend(expected, parts, LEVEL_WEIGHT)
        step = combine(level, self.level, 1.0, -1.0)
        damped = combine(self.trend, self.trend, TREND_DAMPING, 0.0)
        self.trend = blend(damped, step, TREND_WEIGHT)
        self.level = level

    def learn_day(self, parts, now):
        shape = self.daily.get(bucket_of(now))
        if shape is None:
            self.daily[bucket_of(now)] = DayShape(day_of(now), parts)
        else:
            shape.learn(parts, day_of(now))

    def ahead(self):
        """Return the loads expected for the next interval from level and trend."""
        loads = combine(self.level, self.trend, 1.0, TREND_DAMPING)
        return [[max(load, 0.0) for load in layer] for layer in loads]

    def forecast(self):
        """Return the forecast for what begins now."""
        jumps = sum(each.jumped for each in self.window)
        recent = [each.loads for each in self.window]
        coming = self.coming_shift()
        if coming is not None:
            return Forecast(coming, self.lasting_of_day(coming), True, recent[-1:])
        if jumps >= UNSETTLED_JUMPS:
            lasting = WINDOW_SECONDS / (1 + jumps)
            return Forecast(mean_of(recent), lasting, False, recent)
        lasting = min(WINDOW_SECONDS / (1 + jumps), self.lasting_of_drift())
        return Forecast(self.ahead(), lasting, True, recent[-1:])

    def lasting_of_drift(self):
        ahead = combine(self.level, self.trend, 1.0, 1.0)
        drift = distance(self.level, ahead)
        return self.interval * DRIFTED / drift if drift else WINDOW_SECONDS

    def first_jump(self):
        """Return the time of the first jump of the last hour, or None."""
        return next((each.at for each in self.window if each.jumped), None)

    def coming_shift(self):
        """Return the loads after a shift due in the next interval, or None."""
        if self.daily_error is None or self.daily_error > DAILY_ERROR:
            return None
        last = self.window[-1].at
        now, then = self.same_hour(last), self.same_hour(last + self.interval)
        if now is None or then is None or distance(now, then) <= JUMP:
            return None
        return then

    def lasting_of_day(self, coming):
        """Return the time until earlier days went on to something else."""
        begin = self.window[-1].at + self.interval
        ahead = self.interval
        while ahead < WINDOW_SECONDS:
            then = self.same_hour(begin + ahead)
            if then is not None and distance(coming, then) > DRIFTED:
                break
            ahead += BUCKET_SECONDS
        return ahead


def day_of(now):
    return int(now // DAY_SECONDS)


def bucket_of(now):
    return int(now % DAY_SECONDS // BUCKET_SECONDS)


def normalise(loads):
    total = sum(loads)
    return [load / total for load in loads] if total else [1 / len(loads)] * len(loads)


def distance(first, second):
    """Return the part of the tokens that goes elsewhere, the mean over layers."""
    total = 0.0
    for one, other in zip(first, second, strict=True):
        total += sum(abs(a - b) for a, b in zip(one, other, strict=True))
    return total / (2 * len(first))


def combine(first, second, factor, other):
    return [
        [a * factor + b * other for a, b in zip(one, two, strict=True)]
        for one, two in zip(first, second, strict=True)
    ]


def blend(old, new, weight):
    return combine(old, new, 1 - weight, weight)


def mean_of(series):
    total = series[0]
    for each in series[1:]:
        total = combine(total, each, 1.0, 1.0)
    return combine(total, total, 1 / len(series), 0.0)
