"""Apply a configuration document."""

import json
import uuid

from fescuedrum.process import EXIT_OK
from fescuedrum_entry.operators.client import (
    add_entry_arguments,
    read_document,
    run_command,
)


class Command:
    help = "apply a document as the next version"

    def add_arguments(self, parser):
        parser.add_argument("document", help="file of the document (JSON)")
        parser.add_argument(
            "--base-version",
            type=int,
            required=True,
            help="version that the document is based on, as printed by show config",
        )
        parser.add_argument(
            "--change",
            help="id of the change; a retry with the same id applies it once only",
        )
        parser.add_argument(
            "--allow",
            action="append",
            default=[],
            help="allowance for one harmful effect",
        )
        parser.add_argument("--note", default="", help="reason, for the audit trail")
        add_entry_arguments(parser)

    def handle(self, arguments):
        return run_command(arguments, lambda client: apply(client, arguments))


def apply(client, arguments):
    """Send the change to the entry and print the accepted version."""
    data = {
        "base_version": arguments.base_version,
        "document": read_document(arguments.document),
        "change": arguments.change or uuid.uuid4().hex,
        "allowed": arguments.allow,
        "note": arguments.note,
    }
    answer = client.post("apply", data)
    if arguments.json:
        print(json.dumps(answer))
    else:
        print(f"Version {answer['version']} is accepted (change {answer['change']}).")
    return EXIT_OK
