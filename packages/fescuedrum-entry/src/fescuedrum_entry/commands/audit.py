"""Show the audit trail and check it for gaps."""

import json

from fescuedrum.process import EXIT_FINDINGS, EXIT_OK
from fescuedrum_entry.operators.client import (
    add_entry_arguments,
    print_finding,
    run_command,
)


class Command:
    help = "show who changed what, newest first, and check the trail for gaps"

    def add_arguments(self, parser):
        parser.add_argument("--count", type=int, default=50, help="rows to show")
        add_entry_arguments(parser)

    def handle(self, arguments):
        return run_command(arguments, lambda client: show(client, arguments))


def show(client, arguments):
    """Print audit records and findings; return the exit code."""
    answer = client.get("audit", count=arguments.count)
    if arguments.json:
        print(json.dumps(answer))
    else:
        for record in answer["records"]:
            print_record(record)
    for finding in answer["findings"]:
        print_finding(finding)
    return EXIT_FINDINGS if answer["findings"] else EXIT_OK


def print_record(record):
    """Print an audit record with its allowances and changes."""
    note = f" ({record['note']})" if record["note"] else ""
    print(f"{record['version']}  {record['when']}  {record['who']}{note}")
    for word in record["allowed"]:
        print(f"    with {word}")
    for words in record["words"]:
        print(f"    {words}")
