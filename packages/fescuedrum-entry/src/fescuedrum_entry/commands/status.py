"""Show who runs which version and who is silent."""

import json

from fescuedrum.process import EXIT_FAILURE, EXIT_OK
from fescuedrum_entry.operators.client import add_entry_arguments, run_command


class Command:
    help = "show who runs which version and who is silent; fails while anyone lags"

    def add_arguments(self, parser):
        add_entry_arguments(parser)

    def handle(self, arguments):
        return run_command(arguments, lambda client: show(client, arguments))


def show(client, arguments):
    status = client.get("status")
    if arguments.json:
        print(json.dumps(status))
    else:
        print_status(status)
    newest = max(status["accepted"] or 0, status["in_force"])
    members = status["members"]
    behind = any(each["silent"] or each["version"] < newest for each in members)
    return EXIT_FAILURE if behind or status["in_force"] < newest else EXIT_OK


def print_status(status):
    accepted = status["accepted"]
    told = "not known, the platform gives no answer" if accepted is None else accepted
    print(f"accepted: {told}")
    print(f"{status['entry']} in {status['zone']}: {status['in_force']}")
    for zone in status["zones_out"]:
        print(f"{zone} is out of service")
    for member in status["members"]:
        state = "silent" if member["silent"] else member["state"]
        where = f"{member['name']} in {member['zone']}"
        print(f"{where}: {member['version']} ({member['role']}, {state})")
