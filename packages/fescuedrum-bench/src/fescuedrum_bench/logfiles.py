"""Read what processes of a site logged, with its times."""

import datetime
import json


def read_events(member, message):
    """Return the log lines of a member that carry a message, decoded."""
    found = []
    for line in member.log_path.read_text().splitlines():
        # A crash prints its traceback between the JSON lines.
        if line.startswith("{"):
            event = json.loads(line)
            if event["message"] == message:
                found.append(event)
    return found


def moment(event):
    """Return the time of a log line in seconds; one machine has one clock."""
    return datetime.datetime.fromisoformat(event["time"]).timestamp()


def moments_in_force(member):
    """Return when each version came in force at a member, by version."""
    events = read_events(member, "version in force")
    return {event["version"]: moment(event) for event in events}


def moments_accepted(entries):
    """Return when each version was accepted, by version."""
    events = [
        event for entry in entries for event in read_events(entry, "change accepted")
    ]
    return {event["version"]: moment(event) for event in events}
