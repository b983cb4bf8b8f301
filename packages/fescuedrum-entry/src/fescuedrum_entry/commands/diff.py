"""Show how a document differs from the newest accepted one."""

import json

from fescuedrum.process import EXIT_OK
from fescuedrum_entry.operators.client import (
    add_entry_arguments,
    read_document,
    run_command,
)


class Command:
    help = "show in words how a document differs from the newest accepted one"

    def add_arguments(self, parser):
        parser.add_argument("document", help="file of the document (JSON)")
        add_entry_arguments(parser)

    def handle(self, arguments):
        return run_command(arguments, lambda client: compare(client, arguments))


def compare(client, arguments):
    """Print the changes from the newest accepted document."""
    data = {"document": read_document(arguments.document)}
    answer = client.post("diff", data)
    if arguments.json:
        print(json.dumps(answer))
        return EXIT_OK
    for change in answer["changes"]:
        print(change["words"])
    print(f"{len(answer['changes'])} changes from version {answer['version']}")
    return EXIT_OK
