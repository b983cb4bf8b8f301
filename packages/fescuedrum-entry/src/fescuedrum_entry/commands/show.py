"""Show what an entry holds."""

import json

from fescuedrum.process import EXIT_OK
from fescuedrum_entry.operators.client import add_entry_arguments, run_command


def show_config(client, arguments):
    """Print the newest accepted document, ready for a file."""
    answer = client.get("configuration")
    shown = answer if arguments.json else answer["document"]
    print(json.dumps(shown, indent=2))
    return EXIT_OK


KINDS = {"config": show_config}


class Command:
    help = "show what an entry holds"

    def add_arguments(self, parser):
        parser.add_argument("kind", choices=sorted(KINDS))
        add_entry_arguments(parser)

    def handle(self, arguments):
        handle = KINDS[arguments.kind]
        return run_command(arguments, lambda client: handle(client, arguments))
