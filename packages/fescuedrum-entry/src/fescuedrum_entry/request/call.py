"""Hold one caller's parsed request."""

import enum
from dataclasses import dataclass


class Repetition(enum.Enum):
    """Define how often a request may run."""

    IDEMPOTENT = "idempotent"
    # Runs at most once; a repeat with the same key gets the recorded answer.
    KEYED = "keyed"
    # Has no key and runs at most once; a repeat is a separate request.
    ONCE = "once"


@dataclass(slots=True)
class Call:
    """Hold a request that the entry has authenticated and validated."""

    request_id: str
    organisation: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    repetition: Repetition
    key: str
    # Event loop time, in seconds.
    deadline: float
    priority: int
    cost: float
    # Model name for engines; endpoints that have it loaded are preferred.
    model: str = ""
    # Start of the prompt; requests that share it run faster at the same endpoint.
    prefix: str = ""
    streamed: bool = False
