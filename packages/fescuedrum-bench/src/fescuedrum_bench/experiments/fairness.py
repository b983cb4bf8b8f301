"""Measure how soon a bias against one organisation is found and cleared."""

import asyncio

from fescuedrum_bench.experiments.base import Experiment, Figure
from fescuedrum_bench.load import Job, Mix, OpenLoop, open_session
from fescuedrum_bench.site import Site
from fescuedrum_bench.trial import build_shape, inject_faults

ENGINES = 3
ORGANISATIONS = ("club", "shop", "kitchen", "office", "school")
HARMED = "club"
# The engine of one zone serves the organisation several times slower.
BIAS = {"engine-1": {"slow_organisations": {HARMED: 4.0}}}
PLACES = ("endpoint agent-engine-1", "zone zone-2")
NO_BIAS = {"engine-1": {"slow_organisations": {}}}
RATE = 20.0
JOBS = [Job(16)]
INTERVAL = 1.0
FAIR_SECONDS = 12.0
LONGEST_SECONDS = 30.0


async def run(scale, seed):
    """Inject a bias into a fair site, wait for findings and remove it."""
    shape = build_shape(ENGINES, entry={"fairness_seconds": INTERVAL})
    mixes = [Mix(name, f"{name}.secret", RATE, JOBS) for name in ORGANISATIONS]
    seconds = FAIR_SECONDS + 2 * LONGEST_SECONDS
    async with Site(shape, ORGANISATIONS) as site, open_session() as session:
        sender = OpenLoop(session, [entry.url for entry in site.entries], seed)
        sending = asyncio.create_task(sender.run(mixes, seconds))
        false = await findings_within(site, FAIR_SECONDS)
        await inject_faults(site, BIAS)
        found_after, found = await wait_for(site, bool)
        await inject_faults(site, NO_BIAS)
        cleared_after, _ = await wait_for(site, lambda findings: not findings)
        sending.cancel()
    named = {each["organisation"] for each in found} == {HARMED}
    placed = any(
        "zone-2" in each["common"] or "engine-1" in each["common"] for each in found
    )
    return Experiment(
        "fairness",
        f"Five organisations send alike. After {FAIR_SECONDS:g} s one engine serves "
        "one of them four times slower, until that is found. Intervals of "
        f"{INTERVAL:g} s; at the default of 10 s all takes ten times as long.",
        [
            Figure("findings while all were served alike", len(false), at_most=0),
            Figure("found after", found_after, "s", at_most=LONGEST_SECONDS),
            Figure("named the harmed organisation, alone", float(named), at_least=1),
            Figure("named the place", float(placed)),
            Figure("cleared after", cleared_after, "s", at_most=LONGEST_SECONDS),
        ],
    )


async def fetch_findings(site):
    """Return the current findings of all entries."""
    headers = {"Authorization": f"Bearer {site.operator_token}"}
    found = []
    for entry in site.entries:
        url = f"{entry.url}/operators/fairness"
        async with site.session.get(url, headers=headers) as response:
            found += (await response.json())["findings"]
    return found


async def findings_within(site, seconds):
    """Return the distinct findings that appear within some seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    found = {}
    while loop.time() < end:
        for each in await fetch_findings(site):
            found[each["organisation"], each["id"]] = each
        await asyncio.sleep(INTERVAL / 2)
    return list(found.values())


async def wait_for(site, accepted):
    """Return the seconds until the predicate accepts the findings, and these."""
    loop = asyncio.get_running_loop()
    begin = loop.time()
    while loop.time() - begin < LONGEST_SECONDS:
        findings = await fetch_findings(site)
        if accepted(findings):
            return loop.time() - begin, findings
        await asyncio.sleep(INTERVAL / 4)
    return float("inf"), []
