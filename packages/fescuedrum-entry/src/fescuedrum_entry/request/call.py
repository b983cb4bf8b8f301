"""Describe one caller's request."""

import enum
from dataclasses import dataclass


class Repetition(enum.Enum):
    """Say how often a request may run."""

    IDEMPOTENT = "idempotent"
    # Runs at most once; a repeat under its key gets the recorded answer.
    KEYED = "keyed"
    # Runs at most once and is sent once; a repeat is another request.
    ONCE = "once"


@dataclass(slots=True)
class Call:
    """Hold a request that has passed the checks at the entry's door."""

    request_id: str
    organisation: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    repetition: Repetition
    key: str
    # Loop time, in seconds.
    deadline: float
    priority: int
    cost: float
    # Model, for engines; an endpoint that has it loaded is preferred.
    model: str = ""
    # Start of the prompt; requests that share it run faster at one endpoint.
    prefix: str = ""
    streamed: bool = False
