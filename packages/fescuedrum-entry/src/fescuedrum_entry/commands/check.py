"""Check a configuration document."""

import json
import pathlib
import sys

from fescuedrum import checks
from fescuedrum.conf import document
from fescuedrum.process import EXIT_FINDINGS, EXIT_OK, EXIT_USAGE
from fescuedrum_entry.operators.changes import dump_findings
from fescuedrum_entry.operators.client import (
    add_entry_arguments,
    print_finding,
    read_document,
    run_command,
)


class Command:
    help = "check a configuration document and list every error"

    def add_arguments(self, parser):
        parser.add_argument("document", help="file of the document (JSON)")
        parser.add_argument(
            "--allow",
            action="append",
            default=[],
            help="allowance for one harmful effect",
        )
        add_entry_arguments(parser, required=False)

    def handle(self, arguments):
        """Check the document; with --entry, also the change from the newest one."""
        if arguments.entry:
            return run_command(
                arguments, lambda client: check_at_entry(client, arguments)
            )
        try:
            body = pathlib.Path(arguments.document).read_bytes()
        except OSError as error:
            print(f"{error}. Name a readable file.", file=sys.stderr)
            return EXIT_USAGE
        decoded = document.decode(body)
        if decoded.is_err():
            return report(dump_findings(decoded.err_value), arguments)
        findings = document.check_document(decoded.ok_value)
        return report(dump_findings(findings), arguments)


def check_at_entry(client, arguments):
    """Let an entry check the document and print the findings."""
    data = {"document": read_document(arguments.document), "allowed": arguments.allow}
    return report(client.post("check", data)["findings"], arguments)


def report(findings, arguments):
    """Print findings and return the exit code."""
    if arguments.json:
        print(json.dumps(findings))
    for finding in findings:
        print_finding(finding)
    error = checks.Level.ERROR.name.lower()
    faulty = any(finding["level"] == error for finding in findings)
    return EXIT_FINDINGS if faulty else EXIT_OK
