"""Generate seeded traces of experts' popularity and ranks' speeds."""

import enum
import math
from dataclasses import dataclass

INTERVAL_SECONDS = 60.0
DAY_SECONDS = 86400.0
ZIPF_EXPONENT = 0.8
# Standard deviation of an interval's loads from popularity, as a share.
NOISE = 0.01
DRIFT_DEPTH = 0.7
NOON_HOURS = (12.0, 14.0)
SHIFTED_EXPERTS = 8
SLOW_SPEED = 0.5
SLOW_RANK = 3


class Pattern(enum.StrEnum):
    """Patterns of popularity or speed over a trace."""

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
    """Generate one trace from popularity that is drawn once per layer."""

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
        """Return the layer with the hottest experts' popularity swapped with others."""
        order = sorted(range(self.experts), key=layer.__getitem__, reverse=True)
        hot = order[:SHIFTED_EXPERTS]
        cold = self.random.sample(order[SHIFTED_EXPERTS:], SHIFTED_EXPERTS)
        changed = layer.copy()
        for one, other in zip(hot, cold, strict=True):
            changed[one], changed[other] = layer[other], layer[one]
        return changed

    def ticks(self, begin, count):
        """Yield some intervals, the first at a time of day in seconds."""
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
        """Return the loads of an interval by layer and expert, with noise."""
        layers = self.shifted if shifted else self.base
        if self.pattern is Pattern.DRIFT:
            layers = self.drifted(at)
        return [
            [load * math.exp(self.random.gauss(0, NOISE)) for load in layer]
            for layer in layers
        ]

    def drifted(self, at):
        """Return the popularity at a time of day under the drift pattern."""
        angle = 2 * math.pi * at / DAY_SECONDS
        return [
            [
                load * math.exp(DRIFT_DEPTH * math.sin(angle + phase))
                for load, phase in zip(layer, phases, strict=True)
            ]
            for layer, phases in zip(self.base, self.phases, strict=True)
        ]

    def speeds(self, slow):
        """Return the speeds of the ranks; `slow` matters to one pattern only."""
        speeds = [1.0] * self.ranks
        if self.pattern is Pattern.SLOW_RANK and slow:
            speeds[SLOW_RANK] = SLOW_SPEED
        return tuple(speeds)


def zipf(experts, random):
    """Return Zipf popularity in random order."""
    layer = [(place + 1) ** -ZIPF_EXPONENT for place in range(experts)]
    random.shuffle(layer)
    return layer
