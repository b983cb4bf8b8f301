"""Read events and their times from the logs of a site's processes."""

import datetime
import json


def read_events(member, message):
    """Return the decoded log lines of a member that have a message."""
    found = []
    for line in member.log_path.read_text().splitlines():
        # A crash prints its traceback between the JSON lines.
        if line.startswith("{"):
            event = json.loads(line)
            if event["message"] == message:
                found.append(event)
    return found


def moment(event):
    """Return the time of a log line in seconds.

    Times of different processes compare, as a site runs on one machine.
    """
    return datetime.datetime.fromisoformat(event["time"]).timestamp()


def moments_in_force(member):
    """Return the time at which each version came in force at a member."""
    events = read_events(member, "version in force")
    return {event["version"]: moment(event) for event in events}


def moments_accepted(entries):
    """Return the time at which each version was accepted."""
    events = [
        event for entry in entries for event in read_events(entry, "change accepted")
    ]
    return {event["version"]: moment(event) for event in events}
