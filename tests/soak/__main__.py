"""Run seeds from the command line: python -m soak --kind stops --seeds 50."""

import argparse
import asyncio
import random
import signal
import sys
from pathlib import Path

from soak.conditions import CONDITIONS, RunKind
from soak.run import play

HIGHEST_SEED = 10**9


def add_arguments(parser):
    parser.add_argument("--seed", type=int, help="run this seed only")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of new random seeds"
    )
    parser.add_argument(
        "--kind", type=RunKind, choices=list(RunKind), default=RunKind.FAULTS
    )
    parser.add_argument("--seconds", type=float, help="duration of the faults per seed")
    parser.add_argument(
        "--logs", type=Path, default=Path("build/soak"), help="directory of the logs"
    )


def run_seeds(options):
    """Run the seeds one after the other; return how many had findings."""
    system_random = random.SystemRandom()
    seeds = [options.seed]
    if options.seed is None:
        seeds = [system_random.randrange(HIGHEST_SEED) for _ in range(options.seeds)]
    broken = 0
    for seed in seeds:
        directory = options.logs / str(seed)
        conditions = CONDITIONS[options.kind]
        result = asyncio.run(play(seed, options.seconds, directory, conditions))
        broken += bool(result.findings)
        print(f"seed {seed}: {len(result.findings)} findings, {result.endings}")
        print(f"  at gateways that were stopping: {result.while_stopping}")
        for line in [*result.notes, *result.findings]:
            print(f"  {line}")
        (directory / "faults.txt").write_text("\n".join(result.faults) + "\n")
        sys.stdout.flush()
    print(f"{len(seeds)} seeds, {broken} with findings")
    return broken


def interrupt(number, _):
    """Raise KeyboardInterrupt, so that the gateway processes are ended, too."""
    raise KeyboardInterrupt(signal.Signals(number).name)


def main():
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, interrupt)
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    add_arguments(parser)
    return 1 if run_seeds(parser.parse_args()) else 0


if __name__ == "__main__":
    sys.exit(main())
