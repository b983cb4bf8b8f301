"""Measure goodput and the time of refusals at three times the capacity."""

from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.load import Job, Mix, percentile
from fescuedrum_bench.trial import NO_ADMISSION, Trial, build_shape, capacity, run_trial

ENGINES = 3
FACTORS = (1.0, 3.0)
SECONDS = 14.0
SETTLE = 4.0
DEADLINE = 4.0
JOBS = [Job(tokens) for tokens in range(24, 73, 4)]
MEAN_TOKENS = 48
ORGANISATIONS = ("club", "shop", "kitchen", "office")


async def run(scale, seed):
    """Compare fair queueing with admission to FIFO without."""
    fair = {factor: await measure({}, factor, scale, seed) for factor in FACTORS}
    worst = FACTORS[-1]
    baseline = await measure(NO_ADMISSION, worst, scale, seed)
    series = {
        "fair queue, admission": [(factor, goodput(fair[factor])) for factor in fair],
        "FIFO, no admission": [(worst, goodput(baseline))],
    }
    return Experiment(
        "overload",
        "Four organisations send one to three times what three engines generate, with "
        f"deadlines of {DEADLINE:g} s. Goodput counts tokens of answers in time, as a "
        "share of the engines' capacity. Baseline: FIFO without admission.",
        [
            Figure(
                "goodput at 3x load",
                goodput(fair[worst]),
                "of capacity",
                goodput(baseline),
                at_least=0.95,
            ),
            Figure(
                "refusals at 3x load, p99",
                refusal_p99(fair[worst]) * 1000,
                "ms",
                refusal_p99(baseline) * 1000,
                at_most=50.0,
            ),
            Figure("goodput at 1x load", goodput(fair[1.0]), "of capacity"),
        ],
        series,
        ("load, times capacity", "goodput, of capacity"),
    )


async def measure(agent, factor, scale, seed):
    """Run a load of a multiple of the capacity and return the outcomes."""
    shape = build_shape(ENGINES, agent=agent)
    rate = capacity(shape) * factor / MEAN_TOKENS / len(ORGANISATIONS)
    mixes = [
        Mix(name, f"{name}.secret", rate, JOBS, DEADLINE) for name in ORGANISATIONS
    ]
    trial = Trial(shape, mixes, SECONDS * scale, seed)
    return await run_trial(trial)


def goodput(outcomes):
    """Return the tokens received in time as a share of the capacity."""
    received = outcomes.results.received(settle=SETTLE)
    return received / capacity(build_shape(ENGINES))


def refusal_p99(outcomes):
    """Return the p99 of the seconds until a refusal."""
    refused = outcomes.results.chosen(outcome="not-run")
    return percentile([each.seconds for each in refused], 99)
