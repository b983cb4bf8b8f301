"""Find what in requests ends endpoints, and refuse the requests that have it.

Load pattern: requests with a certain part in their prompts come at all gateways, and
each engine ends as it begins an answer to one of them; or a caller sends one request
again after each failure, and each endpoint ends at it. To a gateway each of these ends
looks like a failure of the endpoint alone: the request is sent to the next one, and so
is each repeat of its caller. All endpoints end one after the other, and end again as
soon as they return, while most requests, which have nothing to do with it, are refused.

The traits of the requests that an endpoint had when it ended are suspects: the parts of
a prompt until its answer has begun, and the fingerprint of the request until its answer
is whole, as an endpoint may end late in an answer. Most are sound: the requests shared
the endpoint with the cause, or share parts with it. At any gateway, the beginning of an
answer shows the parts of its prompt to be sound, and a whole answer the request as
well. A suspect that was at enough ends with no such answer in between is quarantined,
and requests with it are refused. Where several traits explain the same ends equally
well, only requests with all of them are refused, so that the others can show which of
them are sound.

A zone or a rack that goes down ends many endpoints at once. Ends at the same moment
have another cause than a part of a prompt and count as one, and a part that was
answered before its first end needs more of them. It is not blamed for the ends of one
or two quarantined requests that have it.

While endpoints end for a reason that no request has, many traits are at some of the
ends by chance. So a trait must have been at a share of all ends, from RECENT_SECONDS
before its first one to its last one. A request that two endpoints had not begun to
answer when they ended needs no such share, or several repeated requests would hide each
other; beside a release no other request was at three ends.

A trait that was quarantined by mistake gets no answers that could show it. So after
some time one request with it is sent as a trial, and again after longer times. Of a
part of prompts, the trial is a request that is no suspect itself, as its end would say
nothing about the part.
"""

import collections
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from fescuedrum.decisions.admitting.fingerprints import is_fingerprint
from fescuedrum.decisions.admitting.suspects import (
    NEVER,
    BrokenRequest,
    EndpointEnd,
    Suspect,
    SuspectReport,
    build_suspect,
    rank,
)

SUSPECT_SECONDS = 3600.0
QUARANTINE_SECONDS = 24 * 3600.0
# Old suspects are looked for once in this time.
FORGET_SECONDS = 1.0
MAXIMUM_SUSPECTS = 256
MAXIMUM_ENDS = 64
# Parts of the newest answers, and as many fingerprints.
MAXIMUM_ANSWERED = 1024
# Quarantined requests whose ends are not held against a part that was sound before. Two
# have six ends; callers allow three requests with a part after the fifth.
EXPLAINING_REQUESTS = 2
# Seconds for which a change is reported to others; a quarantined trait always is.
REPORT_SECONDS = 10.0
# Beacons that are sent within this time of each other report the same suspects.
SAME_REPORT_SECONDS = 0.05


@dataclass(slots=True, frozen=True)
class Blocked:
    """Hold why a request is refused."""

    trait: str
    # When a request with the trait may be sent as a trial; None for never.
    trial_at: float | None
    # Whether this request may be the trial.
    may_be_trial: bool
    # Whether the trait had been answered before the first end.
    was_answered: bool


class Quarantine:
    """Hold the suspect traits and those shown to be sound; times are loop time."""

    __slots__ = (
        "answered_parts",
        "answered_requests",
        "blocking",
        "cleared",
        "ends",
        "forgot_at",
        "suspects",
    )

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}
        # Traits of the newest answers and when they were answered, oldest first.
        self.answered_parts: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.answered_requests: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Suspects that an answer has cleared, and until when that is reported.
        self.cleared: dict[str, float] = {}
        # Quarantined traits, each with those that must be in the request as well.
        self.blocking: dict[str, frozenset[str]] = {}
        # The newest ends by endpoint, also those whose suspects are forgotten.
        self.ends: dict[str, EndpointEnd] = {}
        self.forgot_at = NEVER

    # Evidence

    def record_answer(self, traits: Iterable[str], now: float) -> list[str]:
        """Record that traits are shown to be sound.

        Return the suspects that it clears and others should be told of at once: a
        request at one end, as each stream that is resumed after a crash is, can wait
        for a regular beacon.
        """
        urgent, is_any_cleared = [], False
        for trait in traits:
            ends = self.record_sound(trait, now)
            if not ends:
                continue
            is_any_cleared = True
            self.cleared[trait] = now + REPORT_SECONDS
            if ends > 1 or not is_fingerprint(trait):
                urgent.append(trait)
        if is_any_cleared:
            self.update()
        return urgent

    def answered(self, trait: str) -> collections.OrderedDict[str, float]:
        """Return the newest answered traits of the same kind."""
        if is_fingerprint(trait):
            return self.answered_requests
        return self.answered_parts

    def record_sound(self, trait: str, at: float) -> int:
        """Record when a trait was answered; return how many ends it is cleared of."""
        answered = self.answered(trait)
        at = max(at, answered.pop(trait, at))
        answered[trait] = at
        if len(answered) > MAXIMUM_ANSWERED:
            answered.popitem(last=False)
        suspect = self.suspects.get(trait)
        if suspect is None:
            return 0
        earlier = len(suspect.ends)
        suspect.ends = [end for end in suspect.ends if end.at > at]
        if not suspect.ends:
            del self.suspects[trait]
        return earlier - len(suspect.ends)

    def record_end(
        self, end: EndpointEnd, broken: Iterable[BrokenRequest], now: float
    ) -> None:
        """Record the end of an endpoint with the requests that broke off there."""
        reports = []
        for request in broken:
            own = EndpointEnd(end.endpoint, end.at, request.is_begun)
            reports += [SuspectReport(trait, (own,)) for trait in request.suspects]
        self.merge(reports, (), now)

    def merge(
        self,
        reports: Iterable[SuspectReport],
        sound: Iterable[tuple[str, float]],
        now: float,
    ) -> bool:
        """Merge what another gateway reports of suspects and of traits it cleared.

        Return whether anything is new.
        """
        is_new = self.forget_old(now)
        for trait, answered_at in sound:
            is_new |= self.record_sound(trait, answered_at) > 0
        for report in reports:
            is_new |= self.add(report, now)
        if is_new:
            self.update()
        return is_new

    def add(self, report: SuspectReport, now: float) -> bool:
        """Add what is new in a report; return whether there was anything."""
        for end in report.ends:
            self.add_end(end)
        answered = self.answered(report.trait)
        answered_at = answered.get(report.trait, NEVER)
        ends = [end for end in report.ends if end.at > answered_at]
        if not ends:
            if report.ends:
                # The sender has not heard of the answer.
                self.cleared[report.trait] = now + REPORT_SECONDS
            return False
        suspect = self.suspects.get(report.trait)
        if suspect is None:
            suspect = self.suspects[report.trait] = build_suspect(report.trait)
        is_known = report.trait in answered or report.was_answered
        changed = suspect.add(ends)
        changed |= is_known > suspect.was_answered or report.trials > suspect.trials
        suspect.was_answered |= is_known
        suspect.trials = max(suspect.trials, report.trials)
        suspect.tried_at = max(suspect.tried_at, report.tried_at)
        if changed:
            suspect.changed_at = now
        return changed

    def add_end(self, end: EndpointEnd) -> None:
        """Add an end, whatever may have caused it."""
        known = self.ends.get(end.endpoint)
        if known is not None and known.is_same(end):
            end = known.merge(end)
        elif known is not None and known.at > end.at:
            return
        self.ends[end.endpoint] = end
        if len(self.ends) > MAXIMUM_ENDS:
            oldest = min(self.ends.values(), key=lambda each: each.at)
            del self.ends[oldest.endpoint]

    def forget_old(self, now: float) -> bool:
        """Drop suspects whose last end was long ago; return whether there were any."""
        if now - self.forgot_at < FORGET_SECONDS:
            return False
        self.forgot_at = now
        old = [
            trait
            for trait, suspect in self.suspects.items()
            if now - suspect.last_at
            > (QUARANTINE_SECONDS if trait in self.blocking else SUSPECT_SECONDS)
        ]
        for trait in old:
            del self.suspects[trait]
        self.cleared = {
            trait: until
            for trait, until in self.cleared.items()
            if until > now and trait in self.answered(trait)
        }
        return bool(old)

    def update(self) -> None:
        """Drop the least likely suspects beyond the bound, and find those to refuse."""
        if len(self.suspects) > MAXIMUM_SUSPECTS:
            kept = sorted(self.suspects.items(), key=rank)[:MAXIMUM_SUSPECTS]
            self.suspects = dict(kept)
        ends = sorted(self.ends.values(), key=lambda end: end.at)
        causes = {
            trait: suspect
            for trait, suspect in self.suspects.items()
            if suspect.is_cause(ends)
        }
        requests = [each for each in causes.values() if each.is_request]
        self.blocking = {
            trait: self.equally_likely(trait, suspect)
            for trait, suspect in causes.items()
            if not is_explained(suspect, requests)
        }

    def equally_likely(self, trait: str, suspect: Suspect) -> frozenset[str]:
        """Return the other traits that explain all ends of a suspect as well.

        A fingerprint has none, as it stands for nothing but repeats of one request.
        """
        if suspect.is_request:
            return frozenset()
        return frozenset(
            name
            for name, other in self.suspects.items()
            if name != trait
            and (suspect.was_answered or not other.was_answered)
            and other.explains(suspect.ends)
        )

    # Decisions

    def check(self, traits: tuple[str, ...]) -> Blocked | None:
        """Return why a request with these traits may not be sent; None if it may."""
        found = self.find_blocking(traits)
        if not found:
            return None
        trait = max(found, key=self.trial_order)
        suspect = self.suspects[trait]
        return Blocked(
            trait,
            suspect.next_trial(),
            suspect.is_request or not self.is_request_suspect(traits),
            suspect.was_answered,
        )

    def is_request_suspect(self, traits: tuple[str, ...]) -> bool:
        """Return whether the request itself, not only a part, was at an end."""
        return any(is_fingerprint(each) and each in self.suspects for each in traits)

    def find_blocking(self, traits: tuple[str, ...]) -> list[str]:
        """Return the traits of a request for which it is refused."""
        if not self.blocking:
            return []
        return [
            trait
            for trait in traits
            if trait in self.blocking and self.blocking[trait].issubset(traits)
        ]

    def trial_order(self, trait: str) -> float:
        """Return when a trait may be tried; infinity for never."""
        trial_at = self.suspects[trait].next_trial()
        return float("inf") if trial_at is None else trial_at

    def begin_trial(self, traits: tuple[str, ...], now: float) -> list[str]:
        """Record that a request is sent all the same; return the traits it tries."""
        tried = self.find_blocking(traits)
        for trait in tried:
            suspect = self.suspects[trait]
            suspect.trials += 1
            suspect.tried_at = suspect.changed_at = now
        return tried

    def is_decided_by(self, fingerprint: str, undecided: int) -> bool:
        """Return whether further ends would quarantine a request."""
        suspect = self.suspects.get(fingerprint) or build_suspect(fingerprint)
        return undecided > 0 and suspect.count() + undecided >= suspect.rules.ends

    def count_suspects(self, *, are_requests: bool) -> int:
        """Return the number of suspect parts, or of suspect requests."""
        return count_kind(self.suspects, are_requests=are_requests)

    def count_blocking(self, *, are_requests: bool) -> int:
        """Return the number of quarantined parts, or of quarantined requests."""
        return count_kind(self.blocking, are_requests=are_requests)

    # Reports

    def reports(self, now: float) -> Iterator[SuspectReport]:
        """Yield what other gateways should know of suspects, the most urgent first.

        A beacon has room for some, so those that were not reported for longest come
        first; beacons of the same moment go to different gateways and are the same.
        """
        reported = [
            (trait, suspect)
            for trait, suspect in self.suspects.items()
            if trait in self.blocking or now - suspect.changed_at < REPORT_SECONDS
        ]
        reported.sort(key=rank)
        reported.sort(key=lambda item: self.report_order(*item, now))
        for trait, suspect in reported:
            suspect.reported_at = now
            yield self.report(trait)

    def report_order(
        self, trait: str, suspect: Suspect, now: float
    ) -> tuple[bool, float]:
        """Return the sort key of a suspect in reports; quarantined ones come first."""
        is_same_moment = now - suspect.reported_at < SAME_REPORT_SECONDS
        reported_at = NEVER if is_same_moment else suspect.reported_at
        return trait not in self.blocking, reported_at

    def report(self, trait: str) -> SuspectReport:
        """Return what is known of a trait; without ends if it is no suspect."""
        suspect = self.suspects.get(trait) or Suspect()
        return SuspectReport(
            trait,
            tuple(suspect.ends),
            suspect.was_answered,
            suspect.trials,
            suspect.tried_at,
        )

    def sound_reports(self, now: float) -> Iterator[tuple[str, float]]:
        """Yield suspects that were cleared lately, with the time of the answer."""
        for trait, until in reversed(self.cleared.items()):
            if until > now and trait in self.answered(trait):
                yield trait, self.answered(trait)[trait]


def is_explained(suspect: Suspect, requests: list[Suspect]) -> bool:
    """Return whether few quarantined requests were at all ends of a part.

    A part that was sound before is rather in these requests by chance, but not in ever
    more of them.
    """
    if suspect.is_request or not suspect.was_answered:
        return False
    ends = suspect.ends
    for _ in range(EXPLAINING_REQUESTS):
        if not (ends and requests):
            break
        left = [unexplained(ends, each) for each in requests]
        ends = min(left, key=len)
    return not ends


def unexplained(ends: list[EndpointEnd], suspect: Suspect) -> list[EndpointEnd]:
    """Return those ends at which a suspect was not."""
    return [each for each in ends if not suspect.explains([each])]


def count_kind(traits: Iterable[str], *, are_requests: bool) -> int:
    """Return how many traits are fingerprints, or how many are not."""
    return sum(is_fingerprint(each) == are_requests for each in traits)
