"""Declare metrics for the registry and for their reference page."""

import asyncio
import logging
from dataclasses import dataclass

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)
from prometheus_client.openmetrics.exposition import (
    CONTENT_TYPE_LATEST,
    generate_latest,
)

from fescuedrum import __version__
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import ProcessStalled

logger = logging.getLogger(__name__)

# From a cached lookup to a long generation, with bounds at the time to the first token
# that operators watch (1.6 s) and at the default deadline (30 s).
SECONDS_BUCKETS = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
    *(1.0, 1.6, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0),
)
LOOP_DELAY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0)
LOOP_PROBE_SECONDS = 0.25
# Event-loop delay from which a process is logged as stalled: a request that waits for
# so long is late in any case.
STALLED_SECONDS = 0.2
OTHER = "other"


@dataclass(slots=True, frozen=True)
class Label:
    """Describe a label and the values that it can have."""

    name: str
    bound: str


@dataclass(slots=True, frozen=True)
class Description:
    """Hold what the reference page says about a metric."""

    name: str
    kind: str
    help: str
    labels: tuple[Label, ...]


class MetricCatalogue:
    """Hold a process's metric registry and the descriptions of its metrics."""

    __slots__ = ("descriptions", "registry")

    def __init__(self):
        self.registry = CollectorRegistry()
        self.descriptions = []
        ProcessCollector(registry=self.registry)
        info = self.gauge("fescuedrum_build_info", "Release of this process.", RELEASE)
        info.labels(__version__).set(1)

    def counter(self, name, help, *labels):
        """Declare a counter; its name ends in _total."""
        return self.declare(Counter, name, help, labels)

    def gauge(self, name, help, *labels):
        """Declare a gauge."""
        return self.declare(Gauge, name, help, labels)

    def callback_gauge(self, name, help, read):
        """Declare a gauge whose value is read when the metrics are scraped."""
        self.gauge(name, help).set_function(read)

    def histogram(self, name, help, *labels, buckets=SECONDS_BUCKETS):
        """Declare a histogram."""
        return self.declare(Histogram, name, help, labels, buckets=buckets)

    def declare(self, kind, name, help, labels, **options):
        """Register a metric of a prometheus_client class and describe it."""
        self.descriptions.append(Description(name, kind.__name__.lower(), help, labels))
        names = [label.name for label in labels]
        return kind(name, help, names, registry=self.registry, **options)

    def expose(self):
        """Return the metrics as text, and its content type."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST


RELEASE = Label("release", "the one that runs")
SERVICE = Label("service", "services of the configuration")
ORGANISATION = Label("organisation", "organisations of the configuration")
OUTCOME = Label("outcome", "4: answered, not-run, unknown, failed")


def known_or_other(value, allowed):
    """Return the value, or `other` if it is not one of the allowed values.

    A peer or caller must not be able to choose a label's value, since each new value
    creates a time series here and in the metrics store.
    """
    return value if value in allowed else OTHER


async def measure_loop_delay(histogram):
    """Measure how late the event loop runs timers, a delay that every request has."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LOOP_PROBE_SECONDS
        await asyncio.sleep(LOOP_PROBE_SECONDS)
        late = max(0.0, loop.time() - due)
        histogram.observe(late)
        if late >= STALLED_SECONDS:
            log_event(logger, ProcessStalled(round(late, 3)))


def describe_page(title, introduction, catalogues):
    """Return a Markdown page with a table for each (heading, catalogue)."""
    lines = [f"# {title}", "", introduction]
    for heading, catalogue in catalogues:
        lines += ["", f"## {heading}", ""]
        lines += ["| metric | kind | labels | meaning |", "|---|---|---|---|"]
        lines += [describe_row(each) for each in catalogue.descriptions]
    return "\n".join(lines) + "\n"


def describe_row(description):
    """Return the table row of a metric."""
    labels = "; ".join(
        f"`{label.name}` ({label.bound})" for label in description.labels
    )
    return (
        f"| `{description.name}` | {description.kind} | {labels} | {description.help} |"
    )
