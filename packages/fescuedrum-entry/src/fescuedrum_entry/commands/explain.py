"""Show how a request ended and why, from the logs of several processes."""

import sys

from fescuedrum.explaining import explain, parse_line
from fescuedrum.process import EXIT_FINDINGS, EXIT_OK, EXIT_USAGE


class Command:
    help = "show how a request ended and why, from the logs of several processes"

    def add_arguments(self, parser):
        parser.add_argument("request", help="the request's id")
        parser.add_argument(
            "files", nargs="+", help="files of log lines; - is standard input"
        )

    def handle(self, arguments):
        try:
            lines = [line for path in arguments.files for line in read_lines(path)]
        except OSError as error:
            print(f"{error}. Name files that can be read.", file=sys.stderr)
            return EXIT_USAGE
        explanation = explain(arguments.request, lines)
        if explanation is None:
            print(
                f"No line names {arguments.request}. Give the logs of all gateways of"
                " the time; 'lines left out' reports dropped lines.",
                file=sys.stderr,
            )
            return EXIT_FINDINGS
        print_explanation(explanation)
        return EXIT_OK


def read_lines(path):
    """Return the log lines of a file or of standard input; skip other lines."""
    if path == "-":
        return parse_all(sys.stdin)
    with open(path, encoding="utf-8", errors="replace") as file:
        return parse_all(file)


def parse_all(texts):
    """Return the parsed log lines among texts."""
    return [line for line in map(parse_line, texts) if line is not None]


def print_explanation(explanation):
    """Print a request's log lines, related state changes and the conclusion."""
    for line in explanation.lines:
        print(line.describe())
    if explanation.state_changes:
        print("\nstate changes in the processes at that time:")
    for line in explanation.state_changes:
        print(line.describe())
    print(f"\n{explanation.conclusion}")
