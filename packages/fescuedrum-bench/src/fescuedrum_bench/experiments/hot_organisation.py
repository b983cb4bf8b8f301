"""Measure how one organisation at ten times its share affects the others."""

from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.load import Job, Mix, jain
from fescuedrum_bench.trial import NO_ADMISSION, Trial, build_shape, capacity, run_trial

ENGINES = 3
SECONDS = 16.0
SETTLE = 4.0
DEADLINE = 6.0
JOBS = [Job(tokens) for tokens in range(24, 73, 4)]
MEAN_TOKENS = 48
OTHERS = ("club", "shop", "kitchen", "office")
HOT = "hot"
# Loads as multiples of an equal share; the others stay below theirs.
OTHERS_LOAD = 0.8
HOT_LOAD = 10.0
BACKLOGGED_LOAD = 3.0


async def run(scale, seed):
    """Compare the others' latencies with and without the hot organisation."""
    without = await measure({}, 0.0, scale, seed)
    with_hot = await measure({}, HOT_LOAD, scale, seed)
    fifo = await measure(NO_ADMISSION, HOT_LOAD, scale, seed)
    quiet = others_p95(without)
    backlogged = await measure_backlogged(scale, seed)
    return Experiment(
        "hot_organisation",
        "Five organisations share three engines. Four keep to "
        f"{OTHERS_LOAD:.0%} of their share; the fifth sends ten times its own. "
        "Baseline: FIFO without admission in the same run.",
        [
            Figure(
                "others' p95 with it, over their p95 without it",
                others_p95(with_hot) / quiet,
                "",
                others_p95(fifo) / quiet,
                at_most=1.10,
            ),
            Figure("others' p95 without it", quiet * 1000, "ms"),
            Figure(
                "others' requests answered with it",
                answered_share(with_hot),
                "of sent",
                answered_share(fifo),
            ),
            Figure(
                "Jain's index of received over entitled, weights 1 to 4",
                backlogged,
                at_least=0.99,
            ),
        ],
    )


def build_mixes(loads):
    """Return the mixes of organisations by load as a multiple of a share."""
    share = capacity(build_shape(ENGINES)) / (len(OTHERS) + 1) / MEAN_TOKENS
    return [
        Mix(name, f"{name}.secret", share * load, JOBS, DEADLINE)
        for name, load in loads.items()
        if load
    ]


async def measure(agent, hot_load, scale, seed):
    """Run the load with these settings of agents and return the outcomes."""
    loads = dict.fromkeys(OTHERS, OTHERS_LOAD) | {HOT: hot_load}
    shape = build_shape(ENGINES, agent=agent)
    return await run_trial(Trial(shape, build_mixes(loads), SECONDS * scale, seed))


async def measure_backlogged(scale, seed):
    """Return Jain's index with every organisation at three times its share."""
    weights = {name: float(index + 1) for index, name in enumerate(OTHERS)}
    mean = sum(weights.values()) / len(weights)
    loads = {name: BACKLOGGED_LOAD * weights[name] / mean for name in OTHERS}
    shape = build_shape(ENGINES, weights=weights)
    trial = Trial(shape, build_mixes(loads), SECONDS * scale, seed)
    results = (await run_trial(trial)).results
    return jain(
        [results.received(name, settle=SETTLE) / weights[name] for name in OTHERS]
    )


def others_p95(outcomes):
    """Return the mean of the others' p95 latencies."""
    results = outcomes.results
    worst = [results.percentile(95, name) for name in OTHERS]
    return sum(worst) / len(worst)


def answered_share(outcomes):
    """Return the share of the others' requests that were answered."""
    sent = [each for each in outcomes.results.samples if each.label in OTHERS]
    return sum(each.outcome == "answered" for each in sent) / len(sent)
