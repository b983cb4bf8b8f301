"""Define the outcomes of a request that are reported to its caller."""

import enum

OUTCOME_HEADER = "Fescuedrum-Outcome"
REQUEST_ID_HEADER = "Fescuedrum-Request-Id"


class Outcome(enum.StrEnum):
    """Say whether a request ran; no other values are added."""

    ANSWERED = "answered"
    # It certainly never started and is safe to repeat.
    NOT_RUN = "not-run"
    # It may have run; the caller can repeat it with the same key.
    UNKNOWN = "unknown"
    # It ran, and the endpoint reported a failure.
    FAILED = "failed"
