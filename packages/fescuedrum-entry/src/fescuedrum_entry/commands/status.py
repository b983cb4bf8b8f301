"""Show the members' versions and which members are silent."""

import json

from fescuedrum.process import EXIT_FAILURE, EXIT_OK
from fescuedrum_entry.operators.client import add_entry_arguments, run_command


class Command:
    help = "show members' versions and silent members; fails while any is behind"

    def add_arguments(self, parser):
        add_entry_arguments(parser)

    def handle(self, arguments):
        return run_command(arguments, lambda client: show(client, arguments))


def show(client, arguments):
    """Print the status; return a failure if a member is silent or behind."""
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
    """Print the versions, the zones out of service and the members."""
    accepted = status["accepted"]
    accepted_text = (
        "not known, the platform does not answer" if accepted is None else accepted
    )
    print(f"accepted: {accepted_text}")
    print(f"{status['entry']} in {status['zone']}: {status['in_force']}")
    for zone in status["zones_out"]:
        print(f"{zone} is out of service")
    for member in status["members"]:
        state = "silent" if member["silent"] else member["state"]
        location = f"{member['name']} in {member['zone']}"
        print(f"{location}: {member['version']} ({member['role']}, {state})")
