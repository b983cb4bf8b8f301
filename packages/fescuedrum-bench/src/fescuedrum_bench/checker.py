"""Judge callers' records against what the endpoints did."""

from collections import Counter
from dataclasses import dataclass

from fescuedrum.outcomes import Outcome


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
            told.setdefault(record.reference, set()).add(record.outcome)
    return Verdict(
        requests=len(records),
        answered=outcomes[Outcome.ANSWERED],
        not_run=outcomes[Outcome.NOT_RUN],
        unknown=outcomes[Outcome.UNKNOWN],
        failed=outcomes[Outcome.FAILED],
        doubled=sum(count > 1 for count in executions.values()),
        lost=sum(
            Outcome.ANSWERED in seen and not executions.get(reference)
            for reference, seen in told.items()
        ),
        false_not_run=sum(
            seen == {Outcome.NOT_RUN} and bool(executions.get(reference))
            for reference, seen in told.items()
        ),
        wrong_answers=sum(
            record.outcome == Outcome.ANSWERED and not record.whole
            for record in records
        ),
    )
