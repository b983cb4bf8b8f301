"""Write the reference pages that are generated from the classes."""

import json
import pathlib
import sys

from fescuedrum.conf import document
from fescuedrum.conf.reference import json_schema, reference_page
from fescuedrum.events.reference import events_page
from fescuedrum.metrics import describe_page
from fescuedrum.process import EXIT_FAILURE, EXIT_OK
from fescuedrum_agent.conf import AgentSettings
from fescuedrum_agent.process.metrics import AgentMetrics
from fescuedrum_entry.conf import EntrySettings
from fescuedrum_entry.process.metrics import EntryMetrics
from fescuedrum_gateway.conf import GatewaySettings
from fescuedrum_gateway.process.metrics import GatewayMetrics

DOCUMENT_TITLE = "Configuration document"
DOCUMENT_INTRODUCTION = """\
One JSON document holds the whole desired state. This page and
[document.schema.json](document.schema.json) are made from its classes by `make docs`.
Fields at their default may be left out."""
SETTINGS_INTRODUCTION = """\
Made from the settings classes by `make docs`. {binary} reads one JSON object from the
file that `--settings` names; `--check-settings` lists every fault at once, each with
the field's path and the remedy, and starts nothing. A field that is not known is a
fault, so a misspelt one is never passed over."""
GATEWAY_INTRODUCTION = """\
Made from the settings class by `make docs`. On the users' machines the settings are
rendered from `deploy/gateway.json`; `python -m fescuedrum_platform --settings FILE
--check-settings` lists every fault at once and starts nothing."""
METRICS_INTRODUCTION = """\
Made from the registries by `make docs`. All processes also export the client
library's `process_*` metrics. No label takes a value that a caller or a peer chose, so
the number of time series is bounded by the configuration. The entry serves `/metrics`
on its port to operators (`Authorization: Bearer <token>`, role viewer); the agent
serves it on `operations_port` and the gateway on `ready_address` and `peer_port`, both
without names of organisations."""

EVENTS_INTRODUCTION = """\
Made from the classes in `fescuedrum.events` by `make docs`. Each line of a log is one
JSON object with `time`, `level`, `logger`, `message`, `instance` and `zone`, and the
fields below; those without a value are left out. [OPERATIONS](OPERATIONS.md) shows how
to get from a request's id to its cause."""


def build_pages():
    """Return the text of each page by file name."""
    schema = json_schema(document.Document, DOCUMENT_TITLE)
    return {
        "document.schema.json": json.dumps(schema, indent=2) + "\n",
        "document.md": reference_page(
            document.Document, DOCUMENT_TITLE, DOCUMENT_INTRODUCTION
        ),
        "settings-entry.md": reference_page(
            EntrySettings,
            "Settings of the entry",
            SETTINGS_INTRODUCTION.format(binary="`fescuedrum serve`"),
        ),
        "settings-agent.md": reference_page(
            AgentSettings,
            "Settings of the agent",
            SETTINGS_INTRODUCTION.format(binary="`fescuedrum-agent`"),
        ),
        "settings-gateway.md": reference_page(
            GatewaySettings, "Settings of the gateway", GATEWAY_INTRODUCTION
        ),
        "metrics.md": describe_metrics(),
        "events.md": events_page("Events in the logs", EVENTS_INTRODUCTION),
    }


def describe_metrics():
    """Return the page of the metrics of all processes."""
    entry, agent, gateway = EntryMetrics(), AgentMetrics(), GatewayMetrics()
    # The gauges are declared but never read, so they need no process.
    entry.watch(None)
    agent.watch(None)
    gateway.watch(None)
    catalogues = [
        ("Entry", entry.catalogue),
        ("Agent", agent.catalogue),
        ("Gateway", gateway.catalogue),
    ]
    return describe_page("Metrics", METRICS_INTRODUCTION, catalogues)


class Command:
    help = "write the reference pages generated from the classes"

    def add_arguments(self, parser):
        parser.add_argument(
            "--directory", default="docs", help="directory of the pages"
        )
        parser.add_argument(
            "--check",
            action="store_true",
            help="only check whether the pages are current",
        )

    def handle(self, arguments):
        directory = pathlib.Path(arguments.directory)
        stale = []
        for name, text in build_pages().items():
            path = directory / name
            if not arguments.check:
                path.write_text(text)
            elif not path.exists() or path.read_text() != text:
                stale.append(name)
        for name in stale:
            print(f"{name} is not current; run make docs.", file=sys.stderr)
        return EXIT_FAILURE if stale else EXIT_OK
