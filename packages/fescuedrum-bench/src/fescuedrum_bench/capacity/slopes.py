"""Fit lines to measured points."""

import statistics
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Slope:
    """Hold a fitted line and its points."""

    name: str
    # Unit of x, for instance "request".
    per: str
    # Unit of y, for instance "s" of processor time.
    unit: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    # Share of the points' variance that the line explains, 0 to 1.
    fit: float

    def at(self, x):
        """Return the value of the line at x."""
        return self.intercept + self.slope * x


def fit(name, points, *, per, unit):
    """Return the line of least squares; needs two points that differ in x."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    line = statistics.linear_regression(xs, ys)
    explained = statistics.correlation(xs, ys) ** 2 if len(set(ys)) > 1 else 1.0
    return Slope(name, per, unit, points, line.slope, line.intercept, explained)
