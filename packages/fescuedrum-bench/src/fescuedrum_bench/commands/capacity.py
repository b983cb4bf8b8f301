"""Measure slopes and write the capacity page of entries and agents."""

import asyncio
import json
import pathlib

from fescuedrum.process import EXIT_OK
from fescuedrum_bench.capacity import links, measures, page


class Command:
    help = "measure slopes on this machine and write the page of entries and agents"

    def add_arguments(self, parser):
        parser.add_argument("--run", default="build/capacity.json")
        parser.add_argument("--page", default="docs/capacity-agents.md")
        parser.add_argument(
            "--page-only",
            action="store_true",
            help="write the page from an earlier run",
        )

    def handle(self, arguments):
        run_path = pathlib.Path(arguments.run)
        if not arguments.page_only:
            run_path.parent.mkdir(parents=True, exist_ok=True)
            run_path.write_text(asyncio.run(measure()))
        run = json.loads(run_path.read_text())
        pathlib.Path(arguments.page).write_text(page.render(run))
        return EXIT_OK


async def measure():
    """Measure all slopes and return the run as JSON."""
    slopes = [*measures.measure_codec(), *measures.measure_document()]
    slopes.append(measures.measure_planner())
    slopes += await measures.measure_path()
    slopes += await measures.measure_streams()
    slopes += await links.measure_links()
    return page.dump(slopes, measures.heartbeat_bytes())
