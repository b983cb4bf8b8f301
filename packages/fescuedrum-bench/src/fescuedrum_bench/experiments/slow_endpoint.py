"""Measure how one slow endpoint among twelve affects the callers."""

from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.load import Job, Mix
from fescuedrum_bench.trial import Trial, build_shape, capacity, run_trial

ENGINES = 12
SECONDS = 16.0
SETTLE = 4.0
LOAD = 0.4
SLOWNESS = 5.0
DEADLINE = 20.0
JOBS = [Job(16), Job(32)]
MEAN_TOKENS = 24
ORGANISATIONS = ("club", "shop", "kitchen")
FAULTS = {"engine-5": {"slow_factor": SLOWNESS}}
BASELINES = ("round-robin", "random", "least-reported")


async def run(scale, seed):
    """Compare adaptive routing with the baselines, with a slow endpoint."""
    healthy = await measure("adaptive", {}, scale, seed)
    slow = await measure("adaptive", FAULTS, scale, seed)
    baselines = {
        policy: await measure(policy, FAULTS, scale, seed) for policy in BASELINES
    }
    quiet = p99(healthy)
    figures = [
        Figure(
            "p99 with it, over p99 without it",
            p99(slow) / quiet,
            "",
            p99(baselines["round-robin"]) / quiet,
            at_most=1.15,
        ),
        Figure("p99 without it", quiet * 1000, "ms"),
    ]
    figures += [
        Figure(f"p99 with it over p99 without it, {policy}", p99(outcomes) / quiet)
        for policy, outcomes in baselines.items()
    ]
    return Experiment(
        "slow_endpoint",
        f"One of twelve engines runs {SLOWNESS:g} times slower than before, at "
        f"{LOAD:.0%} of the capacity. Measured after the first {SETTLE:g} s, in which "
        "it is found. Baselines in the same run: round robin, random, least load as "
        "reported.",
        figures,
    )


async def measure(policy, faults, scale, seed):
    """Run the load under a routing policy and return the outcomes."""
    shape = build_shape(ENGINES, entry={"routing_policy": policy})
    rate = capacity(shape) * LOAD / MEAN_TOKENS / len(ORGANISATIONS)
    mixes = [
        Mix(name, f"{name}.secret", rate, JOBS, DEADLINE) for name in ORGANISATIONS
    ]
    trial = Trial(shape, mixes, SECONDS * scale, seed, faults=faults)
    return await run_trial(trial)


def p99(outcomes):
    """Return the p99 latency in seconds, after the time to settle."""
    return outcomes.results.percentile(99, settle=SETTLE)
