"""Judge callers' records against what the endpoints did."""

import math
from collections import Counter
from dataclasses import dataclass

from fescuedrum.exceptions import KeyNotChecked
from fescuedrum.outcomes import Outcome

KEY_NOT_CHECKED = KeyNotChecked.code


@dataclass(slots=True)
class Record:
    """Hold what one caller sent and was told."""

    kind: str
    organisation: str
    outcome: str
    status: int
    seconds: float
    # The booking's reference, for requests that may run only once.
    reference: str = ""
    whole: bool = True
    keyed: bool = False
    # Loop time at the sending, in seconds.
    began: float = 0.0
    # Code of the error that was told, if any.
    code: str = ""


@dataclass(slots=True)
class Verdict:
    """Count outcomes and breaches."""

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
        """Tell whether every promise was kept."""
        breaches = self.doubled + self.lost + self.false_not_run + self.wrong_answers
        return breaches == 0


def judge(records, executions):
    """Compare records with the count of executions of each reference."""
    outcomes = Counter(record.outcome for record in records)
    told = {}
    for record in records:
        if record.reference:
            told.setdefault(record.reference, []).append(record)
    doubled = [reference for reference, count in executions.items() if count > 1]
    lost = [each for each in told if is_lost(told[each], executions.get(each, 0))]
    false_not_run = [
        each for each in told if is_false_not_run(told[each], executions.get(each, 0))
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
    return not executions and any(each.outcome == Outcome.ANSWERED for each in records)


def is_false_not_run(records, executions):
    """Tell whether "not run" was told of what ran, or after its answer was told.

    A refusal because the key could not be checked speaks of that sending alone.
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
