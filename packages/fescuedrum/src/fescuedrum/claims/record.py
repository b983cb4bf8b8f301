"""Hold what the platform's table keeps for one key."""

import base64
import dataclasses
import enum
from dataclasses import dataclass

from fescuedrum.outcomes import Outcome


class ClaimState(enum.StrEnum):
    """Say what is settled about the newest attempt of a key."""

    # The attempt may be running, may have run, or may never start.
    OPEN = "open"
    # The attempt never ran and never will: the next one may.
    RELEASED = "released"
    # The attempt ran to its end.
    FINISHED = "finished"
    # The attempt may have run and nobody can find out any more: no other may.
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class RecordedAnswer:
    """Hold a whole answer that is small enough for the table."""

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class Claim:
    """Hold the right to run one attempt of a key at one life of one agent."""

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
        """Name the agent and its life that the attempt may run in."""
        return self.agent, self.incarnation

    def settle(self, state, answer=None):
        """Return this claim in another state."""
        return dataclasses.replace(self, state=state, answer=answer)


def dump(claim):
    """Turn a claim into a row's value."""
    value = {
        name: getattr(claim, name)
        for name in ("attempt", "agent", "incarnation", "token", "body_hash")
    }
    value["state"] = claim.state.value
    if claim.answer is not None:
        value["answer"] = dump_answer(claim.answer)
    return value


def dump_answer(answer):
    return {
        "outcome": answer.outcome.value,
        "status": answer.status,
        "headers": [list(header) for header in answer.headers],
        "body": base64.b64encode(answer.body).decode("ascii"),
    }


def parse(value):
    """Build the claim from a row's value."""
    fields = dict(value)
    answer = fields.pop("answer", None)
    # The age is the table's matter, not the claim's.
    fields.pop("bucket", None)
    fields["state"] = ClaimState(fields["state"])
    return Claim(**fields, answer=parse_answer(answer) if answer else None)


def parse_answer(value):
    return RecordedAnswer(
        Outcome(value["outcome"]),
        value["status"],
        tuple((name, text) for name, text in value["headers"]),
        base64.b64decode(value["body"]),
    )
