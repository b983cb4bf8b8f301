"""Check that a request's end and its cause are found from log lines."""

import json

import pytest

from fescuedrum.explaining import explain, parse_line
from fescuedrum.process import EXIT_FINDINGS, EXIT_OK, EXIT_USAGE
from fescuedrum_entry.management import main


def build_line(second, message, prefix="", instance="gateway-1", **fields):
    common = {
        "time": f"2026-01-08T04:57:{second:06.3f}+00:00",
        "message": message,
        "instance": instance,
    }
    return prefix + json.dumps(common | fields)


def explain_logs(request_id, *texts):
    lines = [parse_line(text) for text in texts]
    return explain(request_id, [line for line in lines if line is not None])


SENT = {"request": "r-1", "endpoint": "e-1", "attempt": 1}


def test_a_refusal_is_explained_with_its_cause_and_state_changes():
    """Guard against a refusal whose cause can't be found from the logs.

    A rank leaves its group, the group stalls and two endpoints refuse the request.
    """
    explanation = explain_logs(
        "r-1",
        build_line(
            4.0, "request refused", request="r-1", code="group-down", detail="x"
        ),
        build_line(2.0, "request sent", **SENT),
        build_line(
            3.9, "sending failed", **SENT, result="not run", reason="refused with 503"
        ),
        build_line(1.5, "group began anew", instance="gateway-2", group="g"),
        build_line(2.5, "request sent", request="r-2", endpoint="e-1"),
    )
    assert [line.message for line in explanation.lines] == [
        "request sent",
        "sending failed",
        "request refused",
    ]
    assert [line.message for line in explanation.state_changes] == ["group began anew"]
    assert "group was down" in explanation.conclusion
    assert "e-1 not run: refused with 503" in explanation.conclusion


def test_a_request_that_may_have_run_is_reported_as_such():
    explanation = explain_logs(
        "r-1",
        build_line(2.0, "request sent", **SENT),
        build_line(
            2.1, "sending failed", **SENT | {"result": "lost", "reason": "reset"}
        ),
        build_line(2.2, "request refused", request="r-1", code="answer-lost"),
    )
    assert "answer was lost" in explanation.conclusion
    assert "e-1 lost: reset" in explanation.conclusion


def test_the_conclusion_on_a_cut_stream_names_its_last_event():
    explanation = explain_logs(
        "r-1",
        build_line(2.0, "request sent", **SENT),
        build_line(2.5, "stream broken", request="r-1", last_event="8", reason="reset"),
        build_line(3.0, "request ended", request="r-1", result="cut", seconds=1.0),
    )
    assert "cut after 1.0 s" in explanation.conclusion
    assert "behind event 8: reset" in explanation.conclusion


@pytest.mark.parametrize(
    ("message", "fields", "words"),
    [
        ("request ended", {"result": "answered", "seconds": 0.2}, "Answered after 0.2"),
        ("request ended", {"result": "failed", "detail": "status 500"}, "status 500"),
        (
            "request ended",
            {"result": "cut", "detail": "the process stopped", "seconds": 3.4},
            "answer was cut after 3.4 s (the process stopped)",
        ),
        ("answer not delivered", {}, "whole and not all of it left in time"),
        ("caller left", {"seconds": 0.7}, "left after 0.7 s, before any event"),
        (
            "caller left",
            {"seconds": 4.4, "last_event": "8", "silent_seconds": 2.0},
            "event 8 had come 2.0 s before",
        ),
        ("request refused", {"code": "new-code", "retry_after": 0.5}, "after 0.50 s"),
        ("request sent", {"endpoint": "e-1"}, "not logged: gateway-1 wrote nothing"),
    ],
)
def test_each_end_has_its_sentence(message, fields, words):
    explanation = explain_logs("r-1", build_line(1.0, message, request="r-1", **fields))
    assert words in explanation.conclusion


def test_a_request_that_ended_with_its_process_is_reported_as_such():
    """Guard against a cut stream without a cause: its gateway lost power."""
    explanation = explain_logs(
        "r-1",
        build_line(1.0, "request sent", **SENT),
        build_line(2.0, "gateway started", instance="gateway-2", release="1"),
        build_line(3.5, "gateway started", release="1"),
    )
    assert "gateway-1 ended, and started again 2.5 s after it" in explanation.conclusion


def test_a_stalled_process_is_the_cause_of_a_disconnected_caller():
    """Guard against a wrong waiting time of a caller that disconnected.

    A frozen gateway reads the request only after the caller has disconnected, so it
    logs 8 ms although the caller waited for more than a second.
    """
    explanation = explain_logs(
        "r-1",
        build_line(12.462, "caller left", request="r-1", seconds=0.008),
        build_line(12.47, "process stalled", seconds=1.52),
        build_line(12.47, "process stalled", instance="gateway-2", seconds=9.0),
    )
    assert "gateway-1 stood still for 1.5 s around it" in explanation.conclusion


def test_only_the_removal_of_its_own_endpoint_is_relevant_to_a_request():
    explanation = explain_logs(
        "r-1",
        build_line(1.0, "endpoint unlisted", row="e-1"),
        build_line(1.0, "endpoint unlisted", row="e-2"),
        build_line(1.1, "request sent", **SENT),
    )
    assert [line.fields["row"] for line in explanation.state_changes] == ["e-1"]


def test_the_command_reads_prefixed_lines_and_skips_others(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text(
        "\n".join(
            (
                "Traceback (most recent call last):",
                '  {"time": "cut off',
                build_line(1.0, "request sent", prefix="  1.0 edge-1 ", **SENT),
                build_line(1.5, "request ended", request="r-1", result="answered"),
            )
        )
    )
    assert main(["explain", "r-1", str(path)]) == EXIT_OK
    assert "Answered" in capsys.readouterr().out
    assert main(["explain", "r-9", str(path)]) == EXIT_FINDINGS
    assert "No line names r-9" in capsys.readouterr().err
    assert main(["explain", "r-1", str(tmp_path / "none")]) == EXIT_USAGE
