"""Run a command of the bench."""

import sys

from fescuedrum.management import execute
from fescuedrum_bench import commands

if __name__ == "__main__":
    sys.exit(
        execute(
            commands,
            prog="python -m fescuedrum_bench",
            description="Try, load and measure fescuedrum with stand-ins.",
        )
    )
