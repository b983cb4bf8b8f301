"""Compare what callers received with what the endpoints executed."""

import math
from collections import Counter
from dataclasses import dataclass

from fescuedrum.exceptions import KeyNotChecked
from fescuedrum.outcomes import Outcome

KEY_NOT_CHECKED = KeyNotChecked.code


@dataclass(slots=True)
class Record:
    """Hold one request of a caller and its outcome."""

    kind: str
    organisation: str
    outcome: str
    status: int
    seconds: float
    # Reference of the booking, for requests that may run only once.
    reference: str = ""
    # Whether the answer was complete and correct.
    whole: bool = True
    keyed: bool = False
    # Time of sending on the event loop's clock, in seconds.
    began: float = 0.0
    # Error code in the answer, if any.
    code: str = ""


@dataclass(slots=True)
class Verdict:
    """Hold the counts of outcomes and of broken promises."""

    requests: int
    answered: int
    not_run: int
    unknown: int
    failed: int
    doubled: int
    lost: int
    false_not_run: int
    wrong_answers: int
    # References of the requests for which a promise was broken.
    broken: list

    @property
    def kept(self):
        """Return whether every promise was kept."""
        breaches = self.doubled + self.lost + self.false_not_run + self.wrong_answers
        return breaches == 0


def judge(records, executions):
    """Return the verdict on records, given the executions of each reference."""
    outcomes = Counter(record.outcome for record in records)
    by_reference = {}
    for record in records:
        if record.reference:
            by_reference.setdefault(record.reference, []).append(record)
    doubled = [reference for reference, count in executions.items() if count > 1]
    lost = [
        each
        for each in by_reference
        if is_lost(by_reference[each], executions.get(each, 0))
    ]
    false_not_run = [
        each
        for each in by_reference
        if is_false_not_run(by_reference[each], executions.get(each, 0))
    ]
    wrong = [
        record.reference
        for record in records
        if record.outcome == Outcome.ANSWERED and not record.whole
    ]
    return Verdict(
        requests=len(records),
        answered=outcomes[Outcome.ANSWERED],
        not_run=outcomes[Outcome.NOT_RUN],
        unknown=outcomes[Outcome.UNKNOWN],
        failed=outcomes[Outcome.FAILED],
        doubled=len(doubled),
        lost=len(lost),
        false_not_run=len(false_not_run),
        wrong_answers=len(wrong),
        broken=[*doubled, *lost, *false_not_run, *wrong],
    )


def is_lost(records, executions):
    """Return whether a request was answered although it was never executed."""
    return not executions and any(each.outcome == Outcome.ANSWERED for each in records)


def is_false_not_run(records, executions):
    """Return whether "not run" was reported of a request that ran.

    That is so if a request with executions had no other outcome, or if it was sent
    again after its answer and reported as not run. A refusal because the key could
    not be checked applies to that sending only.
    """
    outcomes = {record.outcome for record in records}
    if outcomes == {Outcome.NOT_RUN} and executions:
        return True
    ends = [e.began + e.seconds for e in records if e.outcome == Outcome.ANSWERED]
    return any(
        record.outcome == Outcome.NOT_RUN
        and record.code != KEY_NOT_CHECKED
        and record.began > min(ends, default=math.inf)
        for record in records
    )
