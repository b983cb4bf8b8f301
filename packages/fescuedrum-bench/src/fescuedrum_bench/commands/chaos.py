"""Run a site under random faults and check the answers to its callers."""

import asyncio
import dataclasses
import json
from collections import Counter

from fescuedrum.process import EXIT_FAILURE, EXIT_OK
from fescuedrum_bench.chaos import ChaosPlan, run_chaos


class Command:
    help = "run a site under random faults; exit non-zero on a broken promise"

    def add_arguments(self, parser):
        parser.add_argument("--seed", type=int, default=1)
        parser.add_argument("--seconds", type=float, default=30.0)
        parser.add_argument("--callers", type=int, default=24)
        parser.add_argument(
            "--fault-seconds",
            type=float,
            default=1.0,
            help="mean time between two faults",
        )

    def handle(self, arguments):
        plan = ChaosPlan(
            arguments.seed,
            arguments.seconds,
            arguments.callers,
            arguments.fault_seconds,
        )
        result = asyncio.run(run_chaos(plan))
        for name, count in sorted(Counter(result.faults).items()):
            print(f"fault {name:20} {count}")
        for reference in result.verdict.broken:
            print(f"broken: {reference}")
            for record in result.records:
                if record.reference == reference:
                    print(f"    {record}")
        keyed = {each.reference for each in result.records if each.keyed}
        summary = dataclasses.asdict(result.verdict) | {
            "seed": plan.seed,
            "keys": len(keyed),
            "faults": len(result.faults),
            "not_settled": len(result.unsettled),
            "kept": result.verdict.kept,
        }
        print(json.dumps(summary))
        return EXIT_OK if result.verdict.kept else EXIT_FAILURE
