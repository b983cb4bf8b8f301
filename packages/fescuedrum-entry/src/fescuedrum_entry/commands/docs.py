"""Write the reference pages that are made from the classes."""

import json
import pathlib
import sys

from fescuedrum.conf import document, reference
from fescuedrum.process import EXIT_FAILURE, EXIT_OK

DOCUMENT_TITLE = "Configuration document"
DOCUMENT_INTRODUCTION = """\
One JSON document holds the whole desired state. This page and
[document.schema.json](document.schema.json) are made from its classes by `make docs`.
Fields at their default may be left out."""


def build_pages():
    """Return the text of each page by its file name."""
    schema = reference.json_schema(document.Document, DOCUMENT_TITLE)
    return {
        "document.schema.json": json.dumps(schema, indent=2) + "\n",
        "document.md": reference.reference_page(
            document.Document, DOCUMENT_TITLE, DOCUMENT_INTRODUCTION
        ),
    }


class Command:
    help = "write the reference pages made from the classes"

    def add_arguments(self, parser):
        parser.add_argument("--directory", default="docs", help="where to write them")
        parser.add_argument(
            "--check", action="store_true", help="only tell whether they are current"
        )

    def handle(self, arguments):
        directory = pathlib.Path(arguments.directory)
        stale = []
        for name, text in build_pages().items():
            path = directory / name
            if arguments.check:
                if not path.exists() or path.read_text() != text:
                    stale.append(name)
            else:
                path.write_text(text)
        for name in stale:
            print(f"{name} is not current; run make docs.", file=sys.stderr)
        return EXIT_FAILURE if stale else EXIT_OK
