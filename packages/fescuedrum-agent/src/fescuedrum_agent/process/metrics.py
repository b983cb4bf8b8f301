"""Declare the agent's metrics and count requests and frames."""

from fescuedrum.metrics import (
    LOOP_DELAY_BUCKETS,
    OUTCOME,
    Label,
    MetricCatalogue,
)
from fescuedrum.outcomes import Outcome

REASON = Label("reason", "refusal reasons of this release")


class AgentMetrics:
    """Hold the agent's metrics."""

    __slots__ = ("answers", "catalogue", "loop_delay", "refusals", "seconds", "waits")

    def __init__(self):
        catalogue = self.catalogue = MetricCatalogue()
        self.answers = catalogue.counter(
            "fescuedrum_agent_answers_total",
            "Answers sent to entries, repeats of a key included.",
            OUTCOME,
        )
        self.refusals = catalogue.counter(
            "fescuedrum_agent_refusals_total",
            "Requests that were refused and not run.",
            REASON,
        )
        self.seconds = catalogue.histogram(
            "fescuedrum_agent_execution_seconds",
            "Time from a request's start at the endpoint to the end of its answer.",
            OUTCOME,
        )
        self.waits = catalogue.histogram(
            "fescuedrum_agent_queue_seconds",
            "Time that requests waited here before they started at the endpoint.",
        )
        self.loop_delay = catalogue.histogram(
            "fescuedrum_loop_delay_seconds",
            "Lateness of the process's event loop; all requests wait for it.",
            buckets=LOOP_DELAY_BUCKETS,
        )

    def watch(self, agent):
        """Declare the gauges whose values are read from the agent."""
        callback_gauge = self.catalogue.callback_gauge
        callback_gauge(
            "fescuedrum_agent_running",
            "Requests that the endpoint runs now.",
            lambda: agent.gate.running,
        )
        callback_gauge(
            "fescuedrum_agent_queued",
            "Requests that wait here to start at the endpoint.",
            lambda: agent.gate.queue.length,
        )
        callback_gauge(
            "fescuedrum_agent_limit",
            "Requests that the endpoint may run at once.",
            lambda: agent.gate.limit.limit,
        )
        callback_gauge(
            "fescuedrum_agent_warm",
            "1 while the endpoint is known to be warm.",
            lambda: agent.gate.warm,
        )
        callback_gauge(
            "fescuedrum_agent_sessions",
            "Entries that are connected and authenticated.",
            lambda: len(agent.sessions),
        )
        callback_gauge(
            "fescuedrum_agent_ledger_keys",
            "Keys whose answers are kept.",
            lambda: len(agent.keyed.ledger.records),
        )
        callback_gauge(
            "fescuedrum_unsent_bytes",
            "Bytes that entries have not read yet.",
            lambda: sum(session.connection.unsent_bytes for session in agent.sessions),
        )
        callback_gauge(
            "fescuedrum_configuration_version",
            "Version of the configuration that is in force here.",
            lambda: agent.configuration.version,
        )
        callback_gauge(
            "fescuedrum_leaving",
            "1 while the process drains for its stop.",
            lambda: agent.gate.leaving,
        )

    def count_run(self, ticket, now):
        """Record the outcome, run time and waiting time of a request that ran."""
        outcome = ticket.answer.outcome or Outcome.UNKNOWN
        self.seconds.labels(outcome.value).observe(now - ticket.started_at)
        self.waits.observe(ticket.started_at - ticket.work.arrived)

    def count_frame(self, kind, fields):
        """Count a refusal or the end of an answer that is sent to an entry."""
        if kind == "refusal":
            self.refusals.labels(fields["reason"]).inc()
        elif kind == "end":
            self.answers.labels(fields["outcome"]).inc()
