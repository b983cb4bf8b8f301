"""Hold the ends of endpoints that something in requests may have caused.

What requests may have in common is a trait: a part of their prompts, or the fingerprint
that all repeats of one request have. Each kind of trait has rules of its own for after
how many ends it is quarantined and when a request with it is tried.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuedrum.decisions.admitting.fingerprints import is_fingerprint

# Ends within this time of each other count as one for a part of prompts.
SIMULTANEOUS_SECONDS = 0.05
# Reports of an endpoint's end from several gateways differ by less than this.
SAME_END_SECONDS = 2.0
# The callers' bound on the ends that one part may cause, and the trials made after it;
# callers allow three requests.
ENDS_ALLOWED = 5
TRIALS_AFTER_ENDS_ALLOWED = 2
RECENT_SECONDS = 10.0
ENDS_KEPT = 8
# Ends at which a request had not begun to be answered that show it to be the cause,
# whatever else ended endpoints meanwhile.
UNANSWERED_ENDS = 2
NEVER = float("-inf")


@dataclass(slots=True, frozen=True)
class TraitRules:
    """Hold after which ends a trait is quarantined and when it is tried."""

    ends: int
    # Least share of all ends around its own.
    least_share: float
    # The same for a trait that an answer had shown to be sound before its first end.
    known_ends: int
    known_least_share: float
    # Wait before each trial, in seconds from the last end or trial on. A trait that was
    # answered before is more likely to be sound, and so are those who send it.
    trial_seconds: tuple[float, ...]
    known_trial_seconds: tuple[float, ...]


PART_RULES = TraitRules(
    ends=2,
    least_share=1 / 3,
    known_ends=4,
    known_least_share=1 / 2,
    trial_seconds=(60.0, 240.0, 960.0),
    known_trial_seconds=(1.0, 60.0, 240.0),
)
# Three ends are the callers' bound for one request, so it is tried only after long.
REQUEST_RULES = TraitRules(
    ends=3,
    least_share=1 / 2,
    known_ends=3,
    known_least_share=1 / 2,
    trial_seconds=(600.0, 3600.0),
    known_trial_seconds=(5.0, 60.0, 240.0),
)


@dataclass(slots=True, frozen=True)
class EndpointEnd:
    """Hold when an endpoint was found to have ended, in loop time."""

    endpoint: str
    at: float
    # Whether it had begun to answer the request whose suspect this is an end of.
    is_begun: bool = False

    def is_same(self, other: "EndpointEnd") -> bool:
        """Return whether two gateways found the same end."""
        is_close = abs(self.at - other.at) < SAME_END_SECONDS
        return self.endpoint == other.endpoint and is_close

    def merge(self, other: "EndpointEnd") -> "EndpointEnd":
        """Return the same end with what either of two gateways found."""
        is_begun = self.is_begun and other.is_begun
        return EndpointEnd(self.endpoint, min(self.at, other.at), is_begun)


@dataclass(slots=True, frozen=True)
class BrokenRequest:
    """Hold what requests may have in common with one that broke off."""

    parts: tuple[str, ...]
    fingerprint: str
    # Whether its answer had begun, which shows that its parts are sound.
    is_begun: bool = False
    # When it was sent to the endpoint, in loop time.
    sent_at: float = NEVER

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return the traits that may have ended its endpoint."""
        return (self.fingerprint,) if self.is_begun else self.traits

    @property
    def traits(self) -> tuple[str, ...]:
        return (*self.parts, self.fingerprint)


@dataclass(slots=True)
class Suspect:
    """Hold the ends of endpoints that a trait may have caused, in order of time."""

    rules: TraitRules = PART_RULES
    ends: list[EndpointEnd] = field(default_factory=list)
    # Whether an answer had shown the trait to be sound before the first end.
    was_answered: bool = False
    trials: int = 0
    tried_at: float = NEVER
    changed_at: float = NEVER
    # When it was last reported to other gateways.
    reported_at: float = NEVER

    @property
    def is_request(self) -> bool:
        """Return whether the trait is a fingerprint rather than a part of prompts."""
        return self.rules is REQUEST_RULES

    @property
    def last_at(self) -> float:
        """Return when the last end or trial was."""
        last_end = self.ends[-1].at if self.ends else NEVER
        return max(last_end, self.tried_at)

    def count(self) -> int:
        """Return the number of ends.

        A part that many requests have is at several ends of the same moment, which have
        another cause. One request is sent from one endpoint to the next.
        """
        if self.is_request:
            return len(self.ends)
        return count_moments(end.at for end in self.ends)

    def is_cause(self, all_ends: list[EndpointEnd]) -> bool:
        """Return whether the ends are hardly a coincidence, given all known ones."""
        rules, count = self.rules, self.count()
        if count < (rules.known_ends if self.was_answered else rules.ends):
            return False
        if self.is_request and not self.was_answered:
            unanswered = sum(not end.is_begun for end in self.ends)
            if unanswered >= UNANSWERED_ENDS:
                return True
        least = rules.known_least_share if self.was_answered else rules.least_share
        since, until = self.ends[0].at - RECENT_SECONDS, self.ends[-1].at
        around = [end.at for end in all_ends if since <= end.at <= until]
        all_count = len(around) if self.is_request else count_moments(around)
        return count >= least * all_count

    def add(self, ends: Iterable[EndpointEnd]) -> bool:
        """Add ends that are not known yet; return whether there were any.

        The time of an end is that of the first gateway that found it.
        """
        before = len(self.ends)
        for each in ends:
            add_end(self.ends, each)
        is_any_new = len(self.ends) > before
        self.ends = sorted(self.ends, key=lambda end: end.at)[-ENDS_KEPT:]
        return is_any_new

    def explains(self, ends: list[EndpointEnd]) -> bool:
        """Return whether the trait was at all of some ends."""
        return len(self.ends) >= len(ends) and all(
            any(each.is_same(end) for end in self.ends) for each in ends
        )

    def next_trial(self) -> float | None:
        """Return when the next trial is due; None if there may be no further one."""
        rules = self.rules
        waits = rules.known_trial_seconds if self.was_answered else rules.trial_seconds
        allowed = len(waits)
        if not self.is_request and self.count() >= ENDS_ALLOWED:
            allowed = TRIALS_AFTER_ENDS_ALLOWED
        if self.trials >= allowed:
            return None
        return self.last_at + waits[self.trials]


@dataclass(slots=True, frozen=True)
class SuspectReport:
    """Hold what a gateway tells the others of a suspect; times are loop time."""

    trait: str
    ends: tuple[EndpointEnd, ...]
    was_answered: bool = False
    trials: int = 0
    tried_at: float = NEVER


def build_suspect(trait: str) -> Suspect:
    """Return a suspect without ends, with the rules of its kind of trait."""
    return Suspect(REQUEST_RULES if is_fingerprint(trait) else PART_RULES)


def add_end(ends: list[EndpointEnd], new: EndpointEnd) -> None:
    """Add an end to a list, or merge it with the same end there."""
    for index, each in enumerate(ends):
        if new.is_same(each):
            ends[index] = each.merge(new)
            return
    ends.append(new)


def count_moments(times: Iterable[float]) -> int:
    """Return how many of some ascending times are apart from those before them."""
    count, counted_at = 0, NEVER
    for at in times:
        if at - counted_at > SIMULTANEOUS_SECONDS:
            count, counted_at = count + 1, at
    return count


def rank(item: tuple[str, Suspect]) -> tuple[int, bool, float]:
    """Return the sort key of a suspect; the likeliest and newest comes first.

    Of those with as many ends, the fingerprint comes first: it says most.
    """
    _, suspect = item
    return -suspect.count(), not suspect.is_request, -suspect.last_at
