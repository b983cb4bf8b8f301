"""Find the part of a prompt at which endpoints end, and refuse prompts with it.

Load pattern: requests with a certain part in their prompts come at all gateways, and
each engine ends as it begins an answer to one of them. To a gateway each of these ends
looks like a failure of the engine alone: the request is sent to the next engine, and so
is each repeat of its caller. All engines end one after the other, and end again as soon
as they return, while most requests, which have nothing to do with it, are refused.

The parts of the requests that an engine was beginning to answer when it ended are
suspects. Most are sound: the requests shared the engine with the cause, or share parts
with it. An answer shows that all parts of its prompt are sound, at any gateway. A
suspect that was in requests at the ends of QUARANTINE_ENDS engines with no answer in
between is quarantined, and prompts with it are refused. Where several parts explain the
same ends equally well, only prompts with all of them are refused, so that the others
can show which of them are sound.

A zone or a rack that goes down ends many engines at once. Ends at the same moment have
another cause than a request and count as one, and a part that was answered before its
first end needs KNOWN_PART_ENDS of them.

While engines end for a reason that no part explains, many parts are at some of the ends
by chance. So a part must be at LEAST_SHARE of all ends, from RECENT_SECONDS before its
first one to its last one.

A part that was quarantined by mistake gets no answers that could show it. So after
TRIAL_SECONDS one request with it is sent, and again after longer times. After
ENDS_ALLOWED ends that it explains fewer trials are made.
"""

import collections
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

QUARANTINE_ENDS = 2
KNOWN_PART_ENDS = 4
# Ends within this time of each other count as one.
SIMULTANEOUS_SECONDS = 0.05
# Reports of an endpoint's end from several gateways differ by less than this.
SAME_END_SECONDS = 2.0
# Wait before each trial, from the last end or trial on; a part that was answered before
# is more likely to be sound, and so are those who send it.
TRIAL_SECONDS = (60.0, 240.0, 960.0)
KNOWN_PART_TRIAL_SECONDS = (5.0, 60.0, 240.0)
# The callers' bound on the ends that one part may cause, and the trials made after it;
# callers allow three requests.
ENDS_ALLOWED = 5
TRIALS_AFTER_ENDS_ALLOWED = 2
LEAST_SHARE = 1 / 3
RECENT_SECONDS = 10.0
ENDS_KEPT = 8
SUSPECT_SECONDS = 3600.0
QUARANTINE_SECONDS = 24 * 3600.0
MAXIMUM_SUSPECTS = 128
# Parts of the newest answers.
MAXIMUM_ANSWERED = 1024
# Seconds for which a change is reported to others; a quarantined part always is.
REPORT_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class EndpointEnd:
    """Hold when an endpoint was found to have ended, in loop time."""

    endpoint: str
    at: float

    def is_same(self, other: "EndpointEnd") -> bool:
        """Return whether two gateways found the same end."""
        is_close = abs(self.at - other.at) < SAME_END_SECONDS
        return self.endpoint == other.endpoint and is_close


@dataclass(slots=True)
class Suspect:
    """Hold the ends of endpoints that a part may have caused, in order of time."""

    ends: list[EndpointEnd] = field(default_factory=list)
    # Whether an answer had shown the part to be sound before the first end.
    was_answered: bool = False
    trials: int = 0
    tried_at: float = float("-inf")
    changed_at: float = float("-inf")

    @property
    def last_at(self) -> float:
        """Return when the last end or trial was."""
        last_end = self.ends[-1].at if self.ends else float("-inf")
        return max(last_end, self.tried_at)

    def count(self) -> int:
        """Return the number of ends, counting those at the same moment as one."""
        return count_moments(end.at for end in self.ends)

    def is_due_to_part(self, all_ends: list[EndpointEnd]) -> bool:
        """Return whether the ends are hardly a coincidence, given all known ones."""
        count = self.count()
        if count < (KNOWN_PART_ENDS if self.was_answered else QUARANTINE_ENDS):
            return False
        since, until = self.ends[0].at - RECENT_SECONDS, self.ends[-1].at
        return count >= LEAST_SHARE * count_moments(
            end.at for end in all_ends if since <= end.at <= until
        )

    def add(self, ends: Iterable[EndpointEnd]) -> bool:
        """Add ends that are not known yet; return whether there were any.

        The time of an end is that of the first gateway that found it.
        """
        is_any_new = False
        for each in ends:
            same = next((end for end in self.ends if each.is_same(end)), None)
            if same is None:
                is_any_new = True
                self.ends.append(each)
            elif each.at < same.at:
                self.ends[self.ends.index(same)] = each
        self.ends = sorted(self.ends, key=lambda end: end.at)[-ENDS_KEPT:]
        return is_any_new

    def explains(self, ends: list[EndpointEnd]) -> bool:
        """Return whether the part was at all of some ends."""
        return all(any(each.is_same(end) for end in self.ends) for each in ends)

    def next_trial(self) -> float | None:
        """Return when the next trial is due; None if there may be no further one."""
        waits = KNOWN_PART_TRIAL_SECONDS if self.was_answered else TRIAL_SECONDS
        allowed = len(waits)
        if self.count() >= ENDS_ALLOWED:
            allowed = TRIALS_AFTER_ENDS_ALLOWED
        if self.trials >= allowed:
            return None
        return self.last_at + waits[self.trials]


@dataclass(slots=True, frozen=True)
class SuspectReport:
    """Hold what a gateway tells the others of a suspect; times are loop time."""

    part: str
    ends: tuple[EndpointEnd, ...]
    was_answered: bool = False
    trials: int = 0
    tried_at: float = float("-inf")


@dataclass(slots=True, frozen=True)
class Blocked:
    """Hold why a prompt is refused, and when the part may be tried; None for never."""

    part: str
    trial_at: float | None
    # Whether it had been answered before the first end.
    was_answered: bool


class Quarantine:
    """Hold the suspect parts and those shown to be sound; times are loop time."""

    __slots__ = ("answered", "blocking", "cleared", "suspects")

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}
        # Parts of the newest answers and when they were answered, oldest first.
        self.answered: collections.OrderedDict[str, float] = collections.OrderedDict()
        # Suspects that an answer has cleared, and until when that is reported.
        self.cleared: dict[str, float] = {}
        # Quarantined parts, each with the parts that must be in the prompt as well.
        self.blocking: dict[str, frozenset[str]] = {}

    # Evidence

    def record_answer(self, parts: Iterable[str], now: float) -> list[str]:
        """Record that an endpoint answered a prompt; return the suspects it clears."""
        cleared = []
        for part in parts:
            if self.record_sound(part, now):
                cleared.append(part)
                self.cleared[part] = now + REPORT_SECONDS
        if cleared:
            self.update()
        return cleared

    def record_sound(self, part: str, at: float) -> bool:
        """Record when a part was answered; return whether a suspect has fewer ends."""
        at = max(at, self.answered.pop(part, at))
        self.answered[part] = at
        if len(self.answered) > MAXIMUM_ANSWERED:
            self.answered.popitem(last=False)
        suspect = self.suspects.get(part)
        if suspect is None:
            return False
        later = [end for end in suspect.ends if end.at > at]
        if len(later) == len(suspect.ends):
            return False
        suspect.ends = later
        if not later:
            del self.suspects[part]
        return True

    def record_end(
        self, end: EndpointEnd, prompts: Iterable[tuple[str, ...]], now: float
    ) -> None:
        """Record the end of an endpoint that was to answer prompts with these parts."""
        reports = [
            SuspectReport(part, (end,))
            for part in {part for parts in prompts for part in parts}
        ]
        self.merge(reports, (), now)

    def merge(
        self,
        reports: Iterable[SuspectReport],
        sound: Iterable[tuple[str, float]],
        now: float,
    ) -> bool:
        """Merge what another gateway reports of suspects and of parts it cleared.

        Return whether anything is new.
        """
        is_new = self.forget_old(now)
        for part, answered_at in sound:
            is_new |= self.record_sound(part, answered_at)
        for report in reports:
            is_new |= self.add(report, now)
        if is_new:
            self.update()
        return is_new

    def add(self, report: SuspectReport, now: float) -> bool:
        """Add what is new in a report; return whether there was anything."""
        answered_at = self.answered.get(report.part, float("-inf"))
        ends = [end for end in report.ends if end.at > answered_at]
        if not ends:
            if report.ends:
                # The sender has not heard of the answer.
                self.cleared[report.part] = now + REPORT_SECONDS
            return False
        suspect = self.suspects.setdefault(report.part, Suspect())
        is_known = report.part in self.answered or report.was_answered
        changed = suspect.add(ends)
        changed |= is_known > suspect.was_answered or report.trials > suspect.trials
        suspect.was_answered |= is_known
        suspect.trials = max(suspect.trials, report.trials)
        suspect.tried_at = max(suspect.tried_at, report.tried_at)
        if changed:
            suspect.changed_at = now
        return changed

    def forget_old(self, now: float) -> bool:
        """Drop suspects whose last end was long ago; return whether there were any."""
        old = [
            part
            for part, suspect in self.suspects.items()
            if now - suspect.last_at
            > (QUARANTINE_SECONDS if part in self.blocking else SUSPECT_SECONDS)
        ]
        for part in old:
            del self.suspects[part]
        self.cleared = {
            part: until
            for part, until in self.cleared.items()
            if until > now and part in self.answered
        }
        return bool(old)

    def update(self) -> None:
        """Drop the least likely suspects beyond the bound, and find those to refuse."""
        if len(self.suspects) > MAXIMUM_SUSPECTS:
            kept = sorted(self.suspects.items(), key=rank)[:MAXIMUM_SUSPECTS]
            self.suspects = dict(kept)
        all_ends = sorted(
            {end for suspect in self.suspects.values() for end in suspect.ends},
            key=lambda end: end.at,
        )
        self.blocking = {
            part: self.equally_likely(part, suspect)
            for part, suspect in self.suspects.items()
            if suspect.is_due_to_part(all_ends)
        }

    def equally_likely(self, part: str, suspect: Suspect) -> frozenset[str]:
        """Return the other parts that explain all ends of a suspect as well."""
        return frozenset(
            name
            for name, other in self.suspects.items()
            if name != part
            and (suspect.was_answered or not other.was_answered)
            and other.explains(suspect.ends)
        )

    # Decisions

    def check(self, parts: tuple[str, ...]) -> Blocked | None:
        """Return why a prompt with these parts may not be sent; None if it may."""
        found = self.find_blocking(parts)
        if not found:
            return None
        part = max(found, key=self.trial_order)
        suspect = self.suspects[part]
        return Blocked(part, suspect.next_trial(), suspect.was_answered)

    def find_blocking(self, parts: tuple[str, ...]) -> list[str]:
        """Return the parts of a prompt for which it is refused."""
        if not self.blocking:
            return []
        return [
            part
            for part in parts
            if part in self.blocking and self.blocking[part].issubset(parts)
        ]

    def trial_order(self, part: str) -> float:
        """Return when a part may be tried; infinity for never."""
        trial_at = self.suspects[part].next_trial()
        return float("inf") if trial_at is None else trial_at

    def begin_trial(self, parts: tuple[str, ...], now: float) -> list[str]:
        """Record that a prompt is sent all the same; return the parts that it tries."""
        tried = self.find_blocking(parts)
        for part in tried:
            suspect = self.suspects[part]
            suspect.trials += 1
            suspect.tried_at = suspect.changed_at = now
        return tried

    # Reports

    def reports(self, now: float) -> Iterator[SuspectReport]:
        """Yield what other gateways should know of suspects, the likeliest first."""
        reported = [
            (part, suspect)
            for part, suspect in self.suspects.items()
            if part in self.blocking or now - suspect.changed_at < REPORT_SECONDS
        ]
        for part, _ in sorted(reported, key=rank):
            yield self.report(part)

    def report(self, part: str) -> SuspectReport:
        """Return what is known of a part; without ends if it is no suspect."""
        suspect = self.suspects.get(part) or Suspect()
        return SuspectReport(
            part,
            tuple(suspect.ends),
            suspect.was_answered,
            suspect.trials,
            suspect.tried_at,
        )

    def sound_reports(self, now: float) -> Iterator[tuple[str, float]]:
        """Yield suspects that were cleared lately, with the time of the answer."""
        for part, until in self.cleared.items():
            if until > now and part in self.answered:
                yield part, self.answered[part]


def count_moments(times: Iterable[float]) -> int:
    """Return how many of some ascending times are apart from those before them."""
    count, counted_at = 0, float("-inf")
    for at in times:
        if at - counted_at > SIMULTANEOUS_SECONDS:
            count, counted_at = count + 1, at
    return count


def rank(item: tuple[str, Suspect]) -> tuple[int, float]:
    """Return the sort key of a suspect; the likeliest and newest comes first."""
    _, suspect = item
    return -suspect.count(), -suspect.last_at
