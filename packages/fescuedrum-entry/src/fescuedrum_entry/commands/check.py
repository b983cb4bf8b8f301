"""Check a configuration document."""

import json
import pathlib
import sys

from fescuedrum.conf import document, schema
from fescuedrum.process import EXIT_FINDINGS, EXIT_OK


class Command:
    help = "check a configuration document and list every fault"

    def add_arguments(self, parser):
        parser.add_argument("document", help="file of the document (JSON)")
        parser.add_argument(
            "--json", action="store_true", help="write findings as JSON"
        )

    def handle(self, arguments):
        parsed = document.parse(pathlib.Path(arguments.document).read_bytes())
        findings = parsed.err_value if parsed.is_err() else []
        if arguments.json:
            print(json.dumps([schema.dump(finding) for finding in findings]))
        for finding in findings:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS if findings else EXIT_OK
