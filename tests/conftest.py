"""Run the tests that KNOWN-RED.txt lists, and tell what became of each of them.

A listed test that fails does not fail the run; one that passes is named, so that its
entry can go.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"


def read_known_red(text: str) -> dict[str, str]:
    """Return the entries by the id of their test."""
    lines = (line.strip() for line in text.splitlines())
    entries = (line for line in lines if line and not line.startswith("#"))
    return {entry.split(" ", 1)[0]: entry for entry in entries}


def pytest_configure(config):
    config.known_red = read_known_red(KNOWN_RED.read_text())


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    outcome = yield
    report = outcome.get_result()
    if item.nodeid not in item.config.known_red:
        return
    # The runner counts a report with this attribute apart from passes and failures.
    if report.failed:
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"
    elif report.when == "call":
        report.wasxfail = "listed in KNOWN-RED.txt"


def pytest_terminal_summary(terminalreporter, config):
    if not config.known_red:
        return
    terminalreporter.section("known to be red")
    results = {}
    for category, result in (("xpassed", "PASSED"), ("xfailed", "failed")):
        for report in terminalreporter.stats.get(category, ()):
            results[report.nodeid] = result
    for test, entry in config.known_red.items():
        terminalreporter.line(f"{results.get(test, 'not run')}: {entry}")
