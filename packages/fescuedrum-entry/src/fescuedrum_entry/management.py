"""Entry point of the fescuedrum command."""

import sys

from fescuedrum.management import execute
from fescuedrum_entry import commands


def main(argv=None):
    """Run one command and return its exit code."""
    return execute(
        commands,
        prog="fescuedrum",
        description="Balance load over expert-parallel model groups.",
        argv=argv,
    )


if __name__ == "__main__":
    sys.exit(main())
