"""Explain from the log lines of several processes how and why a request ended."""

import datetime
import json
from dataclasses import dataclass

from fescuedrum.events import groups, processes, quarantine, requests, tables

# How long before a request a state change may have affected it: a group that lost a
# rank stalls for one to two seconds before it refuses requests.
STATE_CHANGE_SECONDS = 3.0

# A stalled process first reads what arrived meanwhile and logs the stall within this
# time of resuming.
STALL_SECONDS = 0.5
# Messages of events that report a change of state in a process.
STATE_CHANGE_MESSAGES = frozenset(
    event.message
    for event in (
        groups.GroupBeganAnew,
        groups.GroupFound,
        groups.GroupHasOtherMap,
        groups.GroupNotWhole,
        groups.GroupStandsStill,
        groups.HeldGroupSettled,
        groups.HeldPassNotSettled,
        groups.MapChangeBegun,
        groups.MapChangeEnded,
        groups.StreamsSlowedDown,
        processes.GatewayDraining,
        processes.GatewayStarted,
        processes.ProcessStalled,
        quarantine.EndpointEnded,
        quarantine.PartQuarantined,
        quarantine.PartReleased,
        quarantine.RequestQuarantined,
        quarantine.RequestReleased,
        tables.ConfigurationInForce,
        tables.EndpointGone,
        tables.EndpointUnlisted,
        tables.StoreAnswers,
        tables.StoreLost,
        tables.ZoneTakenBack,
        tables.ZoneTakenOut,
    )
)
# A site has many of these; they are relevant only to requests to the same endpoint.
ENDPOINT_MESSAGES = frozenset(
    (
        quarantine.EndpointEnded.message,
        tables.EndpointGone.message,
        tables.EndpointUnlisted.message,
    )
)
# Fields that every line has or that say nothing about the request.
COMMON_FIELDS = frozenset(
    ("time", "level", "logger", "message", "instance", "zone", "request", "routine")
)
CAUSES = {
    "answer-lost": "an endpoint received it, and its answer was lost on the way",
    "answer-overdue": "an endpoint received it and did not answer before the deadline",
    "bad-request": "what the caller sent is malformed",
    "body-too-slow": "its body did not arrive before the deadline",
    "body-too-large": "its body is longer than the configuration allows",
    "deadline-passed": "its deadline passed before it could be sent",
    "group-down": "the engines' group was down: several endpoints refused at once",
    "internal": "the gateway itself failed; its traceback is next to these lines",
    "overloaded": "no endpoint had a free place for it",
    "prompt-quarantined": "endpoints had ended at prompts with a part of its prompt",
    "request-quarantined": "endpoints had ended at the same request",
    "too-slow": "it could not end before its caller's deadline at the pace of passes",
    "unavailable": "no endpoint could be reached, or this process was stopping",
    "unknown-key": "its key belongs to no organisation in force there",
    "unknown-route": "no route in force there matches its host and path",
}


@dataclass(slots=True, frozen=True)
class LogLine:
    """Hold a log line; at is seconds since the epoch by the writer's clock."""

    at: float
    instance: str
    message: str
    fields: dict

    def describe(self):
        """Return the line as text, without the common fields."""
        written_at = datetime.datetime.fromtimestamp(self.at, datetime.UTC)
        parts = [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in COMMON_FIELDS
        ]
        clock = written_at.strftime("%H:%M:%S.%f")[:-3]
        return "  ".join((clock, self.instance, self.message, " ".join(parts))).rstrip()


@dataclass(slots=True, frozen=True)
class Explanation:
    """Hold a request's own lines, state changes around it, and the conclusion."""

    lines: list[LogLine]
    state_changes: list[LogLine]
    conclusion: str


def parse_line(text):
    """Return the log line in a text, after any prefix; None if there is none."""
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
    """Return the Explanation of a request, or None if no line names it."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.fields.get("request") == request_id]
    if not own:
        return None
    state_changes = [line for line in ordered if is_relevant(line, own)]
    return Explanation(own, state_changes, conclude(own, ordered))


def is_relevant(line, own):
    """Return whether a line reports a state change that may have affected a request."""
    if line.message not in STATE_CHANGE_MESSAGES:
        return False
    if not own[0].at - STATE_CHANGE_SECONDS <= line.at <= own[-1].at:
        return False
    if line.message not in ENDPOINT_MESSAGES:
        return True
    name = line.fields.get("endpoint") or line.fields.get("row")
    return name in {each.fields.get("endpoint") for each in own}


def conclude(own, lines):
    """Return a sentence on how a request ended, from its last line."""
    last = own[-1]
    failures = describe_failures(own) + describe_stall(own, lines)
    match last.message:
        case requests.RequestRefused.message:
            return f"Refused: {describe_cause(last.fields)}{failures}."
        case requests.RequestEnded.message:
            return f"{describe_end(last.fields)}{failures}."
        case requests.AnswerNotDelivered.message:
            return f"Its answer was whole and not all of it left in time{failures}."
        case requests.CallerLeft.message:
            return f"{describe_disconnect(last.fields)}{failures}."
        case _:
            return f"Its end was not logged: {describe_process(last, lines)}{failures}."


def describe_process(last, lines):
    """Return what happened to the process that wrote the request's last line."""
    instance = last.instance
    later = [line for line in lines if line.instance == instance and line.at > last.at]
    for line in later:
        if line.message == processes.GatewayStarted.message:
            seconds = line.at - last.at
            return f"{instance} ended, and started again {seconds:.1f} s after it"
    if not later:
        return f"{instance} wrote nothing after it, and may have ended"
    return f"{instance} went on; 'lines left out' counts lines that were dropped"


def describe_stall(own, lines):
    """Return how long the request's process stalled, as the end of a sentence."""
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


def describe_cause(fields):
    """Return the cause of a refusal, with its code and detail."""
    code, detail = fields.get("code", "?"), fields.get("detail", "")
    cause = CAUSES.get(code, "see its detail")
    text = f"{cause} ({code}: {detail})"
    back = fields.get("retry_after")
    return text if back is None else f"{text}; told to come back after {back:.2f} s"


def describe_disconnect(fields):
    """Return when the caller disconnected and what it had received."""
    seconds, silent = fields.get("seconds"), fields.get("silent_seconds")
    text = f"Its caller left after {seconds} s"
    if silent is None:
        return f"{text}, before any event or answer had come"
    return f"{text}; event {fields.get('last_event')} had come {silent} s before"


def describe_end(fields):
    """Return how an answer ended."""
    result, detail = fields.get("result"), fields.get("detail", "")
    seconds = fields.get("seconds")
    match result:
        case requests.ANSWERED:
            return f"Answered after {seconds} s"
        case "failed":
            return f"The endpoint's own failure was forwarded ({detail})"
        case _:
            return f"Its answer was cut after {seconds} s ({detail})"


def describe_failures(own):
    """Return the failed attempts, as the end of a sentence."""
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
