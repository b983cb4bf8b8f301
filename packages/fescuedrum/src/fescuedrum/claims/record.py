"""Define the claim that the platform's table holds for each key."""

import base64
import dataclasses
import enum
from dataclasses import dataclass

from fescuedrum.outcomes import Outcome


class ClaimState(enum.StrEnum):
    """List what can be known about the newest attempt of a key."""

    # The attempt may be running, may have run, or may never start.
    OPEN = "open"
    # The attempt never ran and never will; the next one may.
    RELEASED = "released"
    # The attempt ran to its end.
    FINISHED = "finished"
    # The attempt may have run, which can't be determined any more; no other may run.
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class RecordedAnswer:
    """Hold a complete answer that is small enough for the table."""

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class Claim:
    """Hold the right to run one attempt of a key at one incarnation of one agent."""

    attempt: int
    agent: str
    incarnation: int
    token: str
    body_hash: str
    state: ClaimState = ClaimState.OPEN
    # None while not finished, and for an answer too large for the table.
    answer: RecordedAnswer | None = None

    @property
    def target(self):
        """Return the agent and its incarnation that may run the attempt."""
        return self.agent, self.incarnation

    def with_state(self, state, answer=None):
        """Return a copy of this claim with another state."""
        return dataclasses.replace(self, state=state, answer=answer)


def dump(claim):
    """Return a claim as the value of its row."""
    value = {
        name: getattr(claim, name)
        for name in ("attempt", "agent", "incarnation", "token", "body_hash")
    }
    value["state"] = claim.state.value
    if claim.answer is not None:
        value["answer"] = dump_answer(claim.answer)
    return value


def dump_answer(answer):
    """Return an answer as a part of its row's value."""
    return {
        "outcome": answer.outcome.value,
        "status": answer.status,
        "headers": [list(header) for header in answer.headers],
        "body": base64.b64encode(answer.body).decode("ascii"),
    }


def parse(value):
    """Return the claim that a row's value holds."""
    fields = dict(value)
    answer = fields.pop("answer", None)
    # The age bucket belongs to the row, not to the claim.
    fields.pop("bucket", None)
    fields["state"] = ClaimState(fields["state"])
    return Claim(**fields, answer=parse_answer(answer) if answer else None)


def parse_answer(value):
    """Return the answer that a part of a row's value holds."""
    return RecordedAnswer(
        Outcome(value["outcome"]),
        value["status"],
        tuple((name, text) for name, text in value["headers"]),
        base64.b64decode(value["body"]),
    )
