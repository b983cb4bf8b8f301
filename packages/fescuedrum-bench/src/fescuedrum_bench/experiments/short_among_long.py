"""Measure how long short requests wait among long requests."""

from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.load import Job, Mix
from fescuedrum_bench.trial import Trial, build_shape, capacity, run_trial

ENGINES = 2
SECONDS = 16.0
LONG_TOKENS = 240
SHORT_TOKENS = 8
LONG_LOAD = 1.0
SHORT_LOAD = 0.1
DEADLINE = 30.0


async def run(scale, seed):
    """Compare fair queueing with FIFO."""
    fair = await measure({}, scale, seed)
    fifo = await measure({"queue_policy": "fifo"}, scale, seed)
    return Experiment(
        "short_among_long",
        f"One organisation sends long requests ({LONG_TOKENS} tokens) at the whole "
        f"capacity, another short ones ({SHORT_TOKENS} tokens) at a tenth of it. "
        "Baseline: FIFO in the same run.",
        [
            Figure(
                "short requests' p95 over FIFO's",
                p95(fair, "short") / p95(fifo, "short"),
                at_most=0.5,
            ),
            Figure(
                "short requests' p95",
                p95(fair, "short") * 1000,
                "ms",
                p95(fifo, "short") * 1000,
            ),
            Figure(
                "long requests' p95",
                p95(fair, "long") * 1000,
                "ms",
                p95(fifo, "long") * 1000,
            ),
        ],
    )


async def measure(agent, scale, seed):
    """Run the load with these settings of agents and return the outcomes."""
    shape = build_shape(ENGINES, agent=agent)
    tokens = capacity(shape)
    mixes = [
        Mix(
            "long",
            "long.secret",
            tokens * LONG_LOAD / LONG_TOKENS,
            [Job(LONG_TOKENS)],
            DEADLINE,
        ),
        Mix(
            "short",
            "short.secret",
            tokens * SHORT_LOAD / SHORT_TOKENS,
            [Job(SHORT_TOKENS)],
            DEADLINE,
        ),
    ]
    return await run_trial(Trial(shape, mixes, SECONDS * scale, seed))


def p95(outcomes, label):
    """Return the p95 latency of a label in seconds."""
    return outcomes.results.percentile(95, label)
