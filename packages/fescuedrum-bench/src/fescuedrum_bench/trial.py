"""Run a load on a new site of real processes and return what callers received."""

import asyncio
from dataclasses import dataclass, field

from fescuedrum_bench.load import Job, Mix, OpenLoop, open_session
from fescuedrum_bench.site import Site, SiteShape
from fescuedrum_bench.standins.batching import EngineShape

STEP_SECONDS = 0.008
SEQUENCE_SECONDS = 0.00025
BATCH = 16
WARM_UP_TOKENS = 4
WARM_UP_SECONDS = 4.0
WARM_UP_RATE = 14.0

# Settings that turn off admission and fair queueing, for baselines.
NO_ADMISSION = {"queue_policy": "fifo", "admission": False, "queue_limit": 100_000}


def build_shape(engines, *, entry=None, agent=None, **changes):
    """Return the shape of a site; an engine generates some 1,300 tokens a second."""
    values = {
        "engines": engines,
        "services": 0,
        "step_seconds": STEP_SECONDS,
        "sequence_seconds": SEQUENCE_SECONDS,
        "batch": BATCH,
        "warm_limit": BATCH,
        "entry_settings": entry or {},
        "agent_settings": agent or {},
    }
    return SiteShape(**values | changes)


def capacity(shape):
    """Return the tokens per second that a site's engines generate with full batches."""
    engine = EngineShape(
        step_seconds=shape.step_seconds,
        sequence_seconds=shape.sequence_seconds,
        batch=shape.batch,
    )
    return engine.tokens_per_second * shape.engines


@dataclass(slots=True)
class Trial:
    """Describe one run: the site, its injected faults and the load."""

    shape: SiteShape
    mixes: list[Mix]
    seconds: float
    seed: int = 1
    # Faults by name of the engine, injected after the warm-up.
    faults: dict[str, dict] = field(default_factory=dict)
    warm_up: bool = True


@dataclass(slots=True)
class Outcomes:
    """Hold what callers received and what the engines counted."""

    results: object
    falls: int
    engine_tokens: int


async def run_trial(trial):
    """Run a trial on a new site and return its outcomes."""
    names = list(dict.fromkeys(mix.organisation for mix in trial.mixes))
    async with Site(trial.shape, names) as site, open_session() as session:
        urls = [entry.url for entry in site.entries]
        sender = OpenLoop(session, urls, trial.seed)
        if trial.warm_up:
            await warm_up(sender, trial, names)
        await inject_faults(site, trial.faults)
        before = await count(site, "tokens")
        results = await sender.run(trial.mixes, trial.seconds)
        tokens = await count(site, "tokens") - before
        falls = await count(site, "falls")
        return Outcomes(results, falls, tokens)


async def warm_up(sender, trial, names):
    """Send load until engines are warm and agents have found their limits."""
    rate = WARM_UP_RATE * trial.shape.engines / len(names)
    jobs = [Job(WARM_UP_TOKENS)]
    mixes = [Mix(name, f"{name}.secret", rate, jobs) for name in names]
    await sender.run(mixes, WARM_UP_SECONDS)
    # Fill the batches once, so that no limit is first reached during the measurement.
    await sender.run(trial.mixes, WARM_UP_SECONDS / 2)


async def inject_faults(site, faults):
    """Set the faults of engines by name."""
    for name, plan in faults.items():
        url = f"{site.members[name].url}/faults"
        async with site.session.put(url, json=plan) as response:
            response.raise_for_status()


async def count(site, field_name):
    """Return the sum of a counter over the engines' load reports."""
    loads = await asyncio.gather(
        *(site.fetch_json(f"{engine.url}/load") for engine in engines_of(site))
    )
    return sum(load[field_name] for load in loads)


def engines_of(site):
    """Return the engines among the endpoints of a site."""
    return [each for each in site.endpoints if each.name.startswith("engine")]
