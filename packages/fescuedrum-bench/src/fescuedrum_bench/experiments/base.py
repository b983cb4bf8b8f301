"""Describe what an experiment measured, in a form that JSON can hold."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Figure:
    """Hold one measured value beside its baseline and the target, if there is one."""

    name: str
    value: float
    unit: str = ""
    # The same measurement under the policy that this one replaces, in the same run.
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
        """Tell whether the target is reached; None without a target."""
        if self.at_least is not None:
            return self.value >= self.at_least
        if self.at_most is not None:
            return self.value <= self.at_most
        return None

    def as_json(self):
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
    # What was done and what the baseline is, for the report's reader.
    story: str
    figures: list[Figure]
    # Lines of the plot: name to a list of (x, y).
    series: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    axes: tuple[str, str] = ("", "")

    @property
    def met(self):
        """Tell whether no figure misses its target."""
        return all(figure.met is not False for figure in self.figures)

    def as_json(self):
        return {
            "name": self.name,
            "story": self.story,
            "met": self.met,
            "figures": [figure.as_json() for figure in self.figures],
            "series": self.series,
            "axes": list(self.axes),
        }
