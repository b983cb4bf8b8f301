"""Write the results of experiments as JSON, Markdown and SVG plots."""

import json

import pygal

TABLE_HEAD = (
    "| figure | measured | baseline | unit | target | reached |\n"
    "|---|---|---|---|---|---|\n"
)
REACHED = {True: "yes", False: "**no**", None: ""}


def write_report(directory, experiments):
    """Write one JSON file and plot for each experiment, and report.md."""
    directory.mkdir(parents=True, exist_ok=True)
    for experiment in experiments:
        text = json.dumps(experiment.as_json(), indent=2)
        (directory / f"{experiment.name}.json").write_text(text + "\n")
        if experiment.series:
            write_plot(directory / f"{experiment.name}.svg", experiment)
    sections = [section(experiment) for experiment in experiments]
    text = "# What was measured\n\n" + "\n".join(sections)
    (directory / "report.md").write_text(text)


def section(experiment):
    """Return the Markdown section of an experiment: story, table and plot."""
    lines = "".join(row(figure) for figure in experiment.figures)
    text = f"## {experiment.name}\n\n{experiment.story}\n\n{TABLE_HEAD}{lines}"
    if experiment.series:
        text += f"\n![{experiment.name}]({experiment.name}.svg)\n"
    return text


def row(figure):
    """Return a figure as a row of the table."""
    baseline = "" if figure.baseline is None else f"{figure.baseline:.4g}"
    cells = (
        figure.name,
        f"{figure.value:.4g}",
        baseline,
        figure.unit,
        figure.target,
        REACHED[figure.met],
    )
    return "| " + " | ".join(cells) + " |\n"


def write_plot(path, experiment):
    """Plot the series of an experiment to an SVG file."""
    x_title, y_title = experiment.axes
    chart = pygal.XY(title=experiment.name, x_title=x_title, y_title=y_title)
    for name, points in experiment.series.items():
        chart.add(name, points)
    # Without pygal's scripts, which a viewer would load from a remote host.
    chart.js = ()
    chart.render_to_file(str(path))
