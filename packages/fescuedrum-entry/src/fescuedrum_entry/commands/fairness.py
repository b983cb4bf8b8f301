"""Show the fairness report: which organisations are served worse than others."""

import json

from fescuedrum.process import EXIT_FINDINGS, EXIT_OK
from fescuedrum_entry.operators.client import add_entry_arguments, run_command

HEAD = "organisation        weight  asked  entitled  received  refused  wait  first"


class Command:
    help = "show what each organisation received; fails if one is served worse"

    def add_arguments(self, parser):
        add_entry_arguments(parser)

    def handle(self, arguments):
        return run_command(arguments, lambda client: show(client, arguments))


def show(client, arguments):
    """Print the fairness report; return the exit code."""
    report = client.get("fairness")
    if arguments.json:
        print(json.dumps(report))
    else:
        print("\n".join(lines(report)))
    return EXIT_FINDINGS if report["findings"] else EXIT_OK


def lines(report):
    """Yield the lines of the report, findings first."""
    if not report["findings"]:
        yield f"{report['entry']}: no organisation is served worse than its peers."
    for finding in report["findings"]:
        yield f"{finding['message']} Seen for {finding['seconds']:.0f} s."
    yield HEAD
    for name, each in report["organisations"].items():
        yield (
            f"{name:20}{each['weight']:6g}{each['asked']:7.0f}"
            f"{each['entitled']:10.0f}{each['received']:10.0f}{each['refused']:9}"
            f"{each['mean_wait_ms']:6.0f}{each['mean_first_token_ms']:7.0f}"
        )
