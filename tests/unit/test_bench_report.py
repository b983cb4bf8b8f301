"""Check that the bench reports a missed target."""

import json

from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.report import write_report


def build_experiment(*figures):
    line = {"measured": [(1, 2.0), (2, 3.0)]}
    return Experiment("queue", "A burst.", list(figures), line, ("load", "s"))


def test_a_figure_beyond_its_target_is_not_met():
    assert Figure("p99", 51.0, at_most=50.0).met is False
    assert Figure("goodput", 0.94, at_least=0.95).met is False
    assert Figure("goodput", 0.95, at_least=0.95).met is True
    assert Figure("skew", 3.0).met is None


def test_the_report_shows_the_baseline_and_a_missed_target(tmp_path):
    figures = Figure("p99", 51.0, "ms", 80.0, at_most=50.0), Figure("skew", 3.0)
    experiment = build_experiment(*figures)
    write_report(tmp_path, [experiment])
    written = json.loads((tmp_path / "queue.json").read_text())
    assert written["met"] is False
    assert written["figures"][0]["baseline"] == 80.0
    assert (
        "| p99 | 51 | 80 | ms | <= 50 | **no** |"
        in (tmp_path / "report.md").read_text()
    )
    assert (tmp_path / "queue.svg").read_text().startswith("<?xml")
