"""Declare the agent's metrics and count what it tells entries."""

from fescuedrum.metrics import (
    LOOP_DELAY_BUCKETS,
    OUTCOME,
    Catalogue,
    Label,
)

REASON = Label("reason", "refusal reasons of this release")


class AgentMetrics:
    """Own the agent's metrics."""

    __slots__ = ("answers", "catalogue", "loop_delay", "refusals")

    def __init__(self):
        catalogue = self.catalogue = Catalogue()
        self.answers = catalogue.counter(
            "fescuedrum_agent_answers_total",
            "Answers told to entries, repeats of a key included.",
            OUTCOME,
        )
        self.refusals = catalogue.counter(
            "fescuedrum_agent_refusals_total",
            "Requests that were refused and not run.",
            REASON,
        )
        self.loop_delay = catalogue.histogram(
            "fescuedrum_loop_delay_seconds",
            "Lateness of the process's event loop; all requests wait for it.",
            buckets=LOOP_DELAY_BUCKETS,
        )

    def watch(self, agent):
        """Declare the gauges that are read from the agent's parts."""
        reading = self.catalogue.reading
        reading(
            "fescuedrum_agent_running",
            "Requests that the endpoint runs now.",
            lambda: agent.gate.running,
        )
        reading(
            "fescuedrum_agent_limit",
            "Requests that the endpoint may run at once.",
            lambda: agent.gate.limit,
        )
        reading(
            "fescuedrum_agent_warm",
            "1 while the endpoint is known to be warm.",
            lambda: agent.gate.warm,
        )
        reading(
            "fescuedrum_agent_sessions",
            "Entries that are connected and proved.",
            lambda: len(agent.sessions),
        )
        reading(
            "fescuedrum_agent_ledger_keys",
            "Keys whose answers are kept.",
            lambda: len(agent.ledger.answers),
        )
        reading(
            "fescuedrum_unsent_bytes",
            "Bytes that entries have not taken yet.",
            lambda: sum(session.connection.unsent_bytes for session in agent.sessions),
        )
        reading(
            "fescuedrum_configuration_version",
            "Version of the configuration that is in force here.",
            lambda: agent.configuration.version,
        )
        reading(
            "fescuedrum_leaving",
            "1 while the process drains for its stop.",
            lambda: agent.gate.leaving,
        )

    def told(self, kind, fields):
        """Count a frame that is sent to an entry."""
        if kind == "refusal":
            self.refusals.labels(fields["reason"]).inc()
        elif kind == "end":
            self.answers.labels(fields["outcome"]).inc()
