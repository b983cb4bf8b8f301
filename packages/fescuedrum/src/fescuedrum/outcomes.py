"""Name what can become of a request, as its caller is told."""

import enum

OUTCOME_HEADER = "Fescuedrum-Outcome"
REQUEST_ID_HEADER = "Fescuedrum-Request-Id"


class Outcome(enum.StrEnum):
    """Say what is known of a request; the set is closed."""

    ANSWERED = "answered"
    # Provably never started: safe to repeat.
    NOT_RUN = "not-run"
    # May have run; the caller can ask again under the same key.
    UNKNOWN = "unknown"
    # Ran, and the endpoint said that it failed.
    FAILED = "failed"
