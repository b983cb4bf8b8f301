"""The results of experiments, in a form that JSON can hold."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Figure:
    """Hold one measured value with its baseline and target, if any."""

    name: str
    value: float
    unit: str = ""
    # The same measurement under the policy to compare with, in the same run.
    baseline: float | None = None
    at_least: float | None = None
    at_most: float | None = None

    @property
    def target(self):
        """Return the target as text, or an empty string."""
        if self.at_least is not None:
            return f">= {self.at_least:g}"
        if self.at_most is not None:
            return f"<= {self.at_most:g}"
        return ""

    @property
    def met(self):
        """Return whether the target is reached, or None without a target."""
        if self.at_least is not None:
            return self.value >= self.at_least
        if self.at_most is not None:
            return self.value <= self.at_most
        return None

    def as_json(self):
        """Return the figure as a dictionary for JSON."""
        return {
            "name": self.name,
            "value": self.value,
            "unit": self.unit,
            "baseline": self.baseline,
            "target": self.target,
            "met": self.met,
        }


@dataclass(slots=True)
class Experiment:
    """Hold the result of one experiment."""

    name: str
    # What was done and what the baseline is, shown in the report.
    story: str
    figures: list[Figure]
    # Lines of the plot: name to a list of (x, y).
    series: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    axes: tuple[str, str] = ("", "")

    @property
    def met(self):
        """Return whether no figure misses its target."""
        return all(figure.met is not False for figure in self.figures)

    def as_json(self):
        """Return the experiment as a dictionary for JSON."""
        return {
            "name": self.name,
            "story": self.story,
            "met": self.met,
            "figures": [figure.as_json() for figure in self.figures],
            "series": self.series,
            "axes": list(self.axes),
        }
