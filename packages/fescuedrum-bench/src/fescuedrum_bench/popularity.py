"""Make traces of experts' popularity, and of ranks' speeds, from a seed."""

import enum
import math
from dataclasses import dataclass

INTERVAL_SECONDS = 60.0
DAY_SECONDS = 86400.0
ZIPF_EXPONENT = 0.8
# Measured loads of an interval differ from popularity by about this part.
NOISE = 0.01
DRIFT_DEPTH = 0.7
NOON_HOURS = (12.0, 14.0)
SHIFTED_EXPERTS = 8
SLOW_SPEED = 0.5
SLOW_RANK = 3


class Pattern(enum.StrEnum):
    """Name the patterns of popularity."""

    STEADY = "steady"
    DRIFT = "drift"
    NOON = "noon"
    FLAPPING = "flapping"
    SLOW_RANK = "slow-rank"


@dataclass(slots=True, frozen=True)
class Tick:
    """Hold one interval: its start, loads[layer][expert] and the ranks' speeds."""

    at: float
    loads: list[list[float]]
    speeds: tuple[float, ...]


class Trace:
    """Hold what stays the same through one trace."""

    __slots__ = ("base", "experts", "pattern", "phases", "random", "ranks", "shifted")

    def __init__(self, pattern, ranks, experts, layers, random):
        self.pattern = pattern
        self.ranks = ranks
        self.experts = experts
        self.random = random
        self.base = [zipf(experts, random) for _ in range(layers)]
        self.phases = [
            [random.uniform(0, 2 * math.pi) for _ in range(experts)]
            for _ in range(layers)
        ]
        self.shifted = [self.shift(layer) for layer in self.base]

    def shift(self, layer):
        """Give the hottest experts' popularity to others, as noon does."""
        order = sorted(range(self.experts), key=layer.__getitem__, reverse=True)
        hot = order[:SHIFTED_EXPERTS]
        cold = self.random.sample(order[SHIFTED_EXPERTS:], SHIFTED_EXPERTS)
        changed = layer.copy()
        for one, other in zip(hot, cold, strict=True):
            changed[one], changed[other] = layer[other], layer[one]
        return changed

    def ticks(self, begin, count):
        """Yield intervals from a time of day on, in seconds."""
        shifted = False
        hold = 0
        for index in range(count):
            at = begin + index * INTERVAL_SECONDS
            if self.pattern is Pattern.FLAPPING:
                hold -= 1
                if hold < 0:
                    shifted = not shifted
                    hold = self.random.randrange(3)
            elif self.pattern is Pattern.NOON:
                hour = at % DAY_SECONDS / 3600
                shifted = NOON_HOURS[0] <= hour < NOON_HOURS[1]
            slow = count // 4 <= index < 3 * count // 4
            yield Tick(at, self.loads(at, shifted), self.speeds(slow))

    def loads(self, at, shifted):
        layers = self.shifted if shifted else self.base
        if self.pattern is Pattern.DRIFT:
            layers = self.drifted(at)
        return [
            [load * math.exp(self.random.gauss(0, NOISE)) for load in layer]
            for layer in layers
        ]

    def drifted(self, at):
        angle = 2 * math.pi * at / DAY_SECONDS
        return [
            [
                load * math.exp(DRIFT_DEPTH * math.sin(angle + phase))
                for load, phase in zip(layer, phases, strict=True)
            ]
            for layer, phases in zip(self.base, self.phases, strict=True)
        ]

    def speeds(self, slow):
        speeds = [1.0] * self.ranks
        if self.pattern is Pattern.SLOW_RANK and slow:
            speeds[SLOW_RANK] = SLOW_SPEED
        return tuple(speeds)


def zipf(experts, random):
    """Return Zipf popularity in random order."""
    layer = [(place + 1) ** -ZIPF_EXPONENT for place in range(experts)]
    random.shuffle(layer)
    return layer
