"""Run the experiments and write their report."""

import asyncio
import importlib
import json
import logging
import pathlib
import pkgutil

from fescuedrum.process import EXIT_FAILURE, EXIT_OK
from fescuedrum_bench import experiments
from fescuedrum_bench.report import write_report

logger = logging.getLogger(__name__)

OTHER_MODULES = frozenset(("base",))


class Command:
    help = "run the experiments with their baselines and write a report"

    def add_arguments(self, parser):
        parser.add_argument(
            "experiments", nargs="*", help="names of experiments to run; all by default"
        )
        parser.add_argument("--directory", default="build/bench")
        parser.add_argument(
            "--scale",
            type=float,
            default=1.0,
            help="factor on the duration of each experiment",
        )
        parser.add_argument("--seed", type=int, default=1)

    def handle(self, arguments):
        completed, broken = [], []
        for name in arguments.experiments or experiment_names():
            try:
                experiment = run_experiment(name, arguments.scale, arguments.seed)
                completed.append(asyncio.run(experiment))
            # An error in one experiment must not discard the results of the others.
            except Exception:
                logger.exception("experiment broken", extra={"experiment": name})
                broken.append(name)
            write_report(pathlib.Path(arguments.directory), completed)
        missed = sum(not experiment.met for experiment in completed)
        summary = {"experiments": len(completed), "missed": missed, "broken": broken}
        print(json.dumps(summary))
        return EXIT_FAILURE if missed or broken else EXIT_OK


def experiment_names():
    """Return the names of all experiment modules."""
    found = (module.name for module in pkgutil.iter_modules(experiments.__path__))
    return [name for name in found if name not in OTHER_MODULES]


async def run_experiment(name, scale, seed):
    """Run an experiment, print its figures and return it."""
    module = importlib.import_module(f"{experiments.__name__}.{name}")
    experiment = await module.run(scale, seed)
    print(f"\n{experiment.name}: {'reached' if experiment.met else 'MISSED'}")
    for figure in experiment.figures:
        print(f"  {describe(figure)}", flush=True)
    return experiment


def describe(figure):
    """Return a figure with its baseline and target as text."""
    baseline = "" if figure.baseline is None else f", baseline {figure.baseline:.4g}"
    target = f", target {figure.target}" if figure.target else ""
    return f"{figure.name}: {figure.value:.4g} {figure.unit}{baseline}{target}"
