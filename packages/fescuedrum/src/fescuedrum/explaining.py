"""Say how a request ended and why, from the log lines of several processes."""

import datetime
import json
from dataclasses import dataclass

from fescuedrum.events import groups, processes, requests, tables

# What a process came to believe this long before a request still bears on it: a group
# that lost a rank stalls for one to two seconds before it refuses.
BELIEF_SECONDS = 3.0

# A process that wakes tells of it within this time; what came meanwhile is read first.
STALL_SECONDS = 0.5
# Events that tell of a change of what a process believes.
BELIEFS = frozenset(
    event.message
    for event in (
        groups.GroupBeganAnew,
        groups.GroupFound,
        groups.GroupHasOtherMap,
        groups.GroupNotWhole,
        groups.HeldGroupSettled,
        groups.MapChangeBegun,
        groups.MapChangeEnded,
        groups.StreamsSlowedDown,
        processes.GatewayDraining,
        processes.GatewayStarted,
        processes.ProcessStalled,
        tables.ConfigurationInForce,
        tables.EndpointGone,
        tables.EndpointUnlisted,
        tables.StoreAnswers,
        tables.StoreLost,
        tables.ZoneTakenBack,
        tables.ZoneTakenOut,
    )
)
# Of these a site has many; they bear only on requests that were sent there.
OF_ONE_ENDPOINT = frozenset(
    (tables.EndpointGone.message, tables.EndpointUnlisted.message)
)
# Fields that every line has, or that say nothing of the request.
COMMON_FIELDS = frozenset(
    ("time", "level", "logger", "message", "instance", "zone", "request", "routine")
)
CAUSES = {
    "answer-lost": "an endpoint took it, and its answer was lost on the way",
    "answer-overdue": "an endpoint took it and did not answer in the caller's time",
    "bad-request": "what the caller sent is malformed",
    "body-too-slow": "its body did not come in the caller's time",
    "body-too-large": "its body is longer than the configuration allows",
    "deadline-passed": "its caller's time was over before it could be sent",
    "group-down": "the engines' group was down: several endpoints refused at once",
    "internal": "the gateway itself failed; its traceback stands beside these lines",
    "overloaded": "no endpoint had a place for it",
    "unavailable": "no endpoint could be reached, or this process was stopping",
    "unknown-key": "its key belongs to no organisation in force there",
    "unknown-route": "no route in force there leads from its host and path",
}


@dataclass(slots=True, frozen=True)
class LogLine:
    """Hold one line; at is seconds since the epoch by the writer's clock."""

    at: float
    instance: str
    message: str
    fields: dict

    def describe(self):
        """Return the line for a reader, without what all lines have."""
        moment = datetime.datetime.fromtimestamp(self.at, datetime.UTC)
        told = [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in COMMON_FIELDS
        ]
        clock = moment.strftime("%H:%M:%S.%f")[:-3]
        return "  ".join((clock, self.instance, self.message, " ".join(told))).rstrip()


@dataclass(slots=True, frozen=True)
class Explanation:
    """Hold a request's own lines, what was believed around it, and the conclusion."""

    lines: list[LogLine]
    state_changes: list[LogLine]
    conclusion: str


def parse_line(text):
    """Return the log line in a text, after whatever stands before it; else None."""
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = json.loads(text[begin:])
        at = datetime.datetime.fromisoformat(fields["time"]).timestamp()
        return LogLine(at, fields.get("instance", "?"), fields["message"], fields)
    except (ValueError, KeyError, TypeError):
        # A traceback, or a line that was cut off.
        return None


def explain(request_id, lines):
    """Return the Explanation of a request; None when no line names it."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.fields.get("request") == request_id]
    if not own:
        return None
    state_changes = [line for line in ordered if bears_on(line, own)]
    return Explanation(own, state_changes, conclude(own, ordered))


def bears_on(line, own):
    """Tell whether a line tells of a belief that may have decided a request."""
    if line.message not in BELIEFS:
        return False
    if not own[0].at - BELIEF_SECONDS <= line.at <= own[-1].at:
        return False
    if line.message not in OF_ONE_ENDPOINT:
        return True
    name = line.fields.get("endpoint") or line.fields.get("row")
    return name in {each.fields.get("endpoint") for each in own}


def conclude(own, lines):
    """Say in a sentence how a request ended, by its newest line."""
    last = own[-1]
    trouble = describe_trouble(own) + describe_stall(own, lines)
    match last.message:
        case requests.RequestRefused.message:
            return f"Refused: {cause_of(last.fields)}{trouble}."
        case requests.RequestEnded.message:
            return f"{describe_end(last.fields)}{trouble}."
        case requests.AnswerNotDelivered.message:
            return f"Its answer was whole and not all of it left in time{trouble}."
        case requests.CallerLeft.message:
            return f"{describe_leave(last.fields)}{trouble}."
        case _:
            return f"Its end was not logged: {fate_of(last, lines)}{trouble}."


def fate_of(last, lines):
    """Say what became of the process that wrote a request's newest line."""
    instance = last.instance
    later = [line for line in lines if line.instance == instance and line.at > last.at]
    for line in later:
        if line.message == processes.GatewayStarted.message:
            seconds = line.at - last.at
            return f"{instance} ended, and started again {seconds:.1f} s after it"
    if not later:
        return f"{instance} wrote nothing after it, and may have ended"
    return f"{instance} went on; 'lines left out' tells of lines that were dropped"


def describe_stall(own, lines):
    """Return for how long the request's process stood still, for a sentence's end."""
    begin, end = own[0].at - STALL_SECONDS, own[-1].at + STALL_SECONDS
    stalls = [
        line.fields.get("seconds", 0.0)
        for line in lines
        if line.message == processes.ProcessStalled.message
        and line.instance == own[-1].instance
        and begin <= line.at <= end
    ]
    if not stalls:
        return ""
    return f"; {own[-1].instance} stood still for {max(stalls):.1f} s around it"


def cause_of(fields):
    code, detail = fields.get("code", "?"), fields.get("detail", "")
    cause = CAUSES.get(code, "see its detail")
    told = f"{cause} ({code}: {detail})"
    back = fields.get("retry_after")
    return told if back is None else f"{told}; told to come back after {back:.2f} s"


def describe_leave(fields):
    seconds, silent = fields.get("seconds"), fields.get("silent_seconds")
    told = f"Its caller left after {seconds} s"
    if silent is None:
        return f"{told}, before any event or answer had come"
    return f"{told}; event {fields.get('last_event')} had come {silent} s before"


def describe_end(fields):
    result, detail = fields.get("result"), fields.get("detail", "")
    seconds = fields.get("seconds")
    match result:
        case requests.ANSWERED:
            return f"Answered after {seconds} s"
        case "failed":
            return f"The endpoint's own failure was passed on ({detail})"
        case _:
            return f"Its answer was cut after {seconds} s ({detail})"


def describe_trouble(own):
    """Return the sendings that came to nothing, for the end of a sentence."""
    failed = [
        f"{line.fields.get('endpoint')} {line.fields.get('result')}: "
        f"{line.fields.get('reason')}"
        for line in own
        if line.message == requests.SendingFailed.message
    ]
    failed += [
        f"broke off behind event {line.fields.get('last_event') or 'none'}: "
        f"{line.fields.get('reason')}"
        for line in own
        if line.message == requests.StreamBroken.message
    ]
    return f"; before that {'; '.join(failed)}" if failed else ""
