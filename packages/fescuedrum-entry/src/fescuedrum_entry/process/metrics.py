"""Declare the entry's metrics and count the results of its requests."""

from fescuedrum.decisions.admitting.admission import RefusalReason
from fescuedrum.metrics import (
    LOOP_DELAY_BUCKETS,
    ORGANISATION,
    OUTCOME,
    SERVICE,
    Label,
    MetricCatalogue,
    known_or_other,
)

NO_SERVICE = "none"
CODE = Label("code", "`ok` and the error codes of the callers' interface")
REASON = Label("reason", "refusal reasons of agents, others as `other`")
RESULT = Label("result", "4: ended, refused, lost, left")
REFUSAL_REASONS = frozenset(RefusalReason)


class EntryMetrics:
    """Hold the entry's metrics, with a method to count each kind of event."""

    __slots__ = (
        "attempts",
        "catalogue",
        "children",
        "first_byte",
        "loop_delay",
        "organisations",
        "refusals",
        "requests",
        "seconds",
    )

    def __init__(self):
        catalogue = self.catalogue = MetricCatalogue()
        self.children = {}
        self.requests = catalogue.counter(
            "fescuedrum_requests_total",
            "Callers' requests that came to an end.",
            SERVICE,
            OUTCOME,
            CODE,
        )
        self.organisations = catalogue.counter(
            "fescuedrum_organisation_requests_total",
            "Requests of each organisation that came to an end.",
            ORGANISATION,
            OUTCOME,
        )
        self.seconds = catalogue.histogram(
            "fescuedrum_request_seconds",
            "Time from a request's head to the end of its answer.",
            SERVICE,
        )
        self.first_byte = catalogue.histogram(
            "fescuedrum_first_byte_seconds",
            "Time from a request's head to the first byte of an endpoint's answer.",
            SERVICE,
        )
        self.attempts = catalogue.counter(
            "fescuedrum_attempts_total",
            "Attempts at agents; more than requests by retries and hedges.",
            RESULT,
        )
        self.refusals = catalogue.counter(
            "fescuedrum_refusals_total", "Attempts that agents refused.", REASON
        )
        self.loop_delay = catalogue.histogram(
            "fescuedrum_loop_delay_seconds",
            "Lateness of the process's event loop; all requests wait for it.",
            buckets=LOOP_DELAY_BUCKETS,
        )

    def watch(self, entry):
        """Declare the gauges whose values are read from the entry when exposed."""
        callback_gauge = self.catalogue.callback_gauge
        callback_gauge(
            "fescuedrum_running_requests",
            "Requests running now.",
            lambda: entry.running,
        )
        callback_gauge("fescuedrum_links", "Agents known.", lambda: len(entry.links))
        callback_gauge(
            "fescuedrum_links_usable",
            "Agents that may get new work.",
            lambda: sum(link.usable for link in entry.links.values()),
        )
        callback_gauge(
            "fescuedrum_unexpected_frames",
            "Frames of agents that matched no request, since each link was opened.",
            lambda: sum(link.unexpected_frames for link in entry.links.values()),
        )
        callback_gauge(
            "fescuedrum_unsent_bytes",
            "Bytes queued for agents and not sent yet.",
            lambda: sum(
                link.connection.unsent_bytes
                for link in entry.links.values()
                if link.connection is not None
            ),
        )
        callback_gauge(
            "fescuedrum_configuration_version",
            "Version of the configuration that is in force here.",
            lambda: entry.configuration.version,
        )
        callback_gauge(
            "fescuedrum_leaving",
            "1 while the process drains before its stop.",
            lambda: entry.leaving,
        )

    def record_request(self, trace):
        """Count an ended request and observe its times, given its trace."""
        service = trace.service or NO_SERVICE
        self.child(self.requests, service, trace.outcome, trace.code).inc()
        if trace.organisation:
            self.child(self.organisations, trace.organisation, trace.outcome).inc()
        if trace.service:
            self.child(self.seconds, service).observe(trace.seconds)
            if trace.first_byte is not None:
                self.child(self.first_byte, service).observe(trace.first_byte)

    def child(self, metric, *labels):
        """Return a cached time series; the library's look-up takes a lock each time."""
        key = (metric, labels)
        found = self.children.get(key)
        if found is None:
            found = self.children[key] = metric.labels(*labels)
        return found

    def count_refusal(self, reason):
        """Count an attempt that an agent refused."""
        self.child(self.refusals, known_or_other(reason, REFUSAL_REASONS)).inc()

    def count_attempt(self, result):
        """Count an ended attempt by its result."""
        self.child(self.attempts, result).inc()
