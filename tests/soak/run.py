"""Play one seed: start a site, spoil it, let it recover and judge."""

import asyncio
import collections
import random
import tempfile
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from soak.callers import Caller
from soak.faults import draw, inject
from soak.judge import RECOVERED_SHARE, Judge, Reading
from soak.site import Site

GATEWAYS = 4
CALLERS = 6
SHORTEST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 1.5
READ_SECONDS = 0.2
# Faults end within some seconds of their own; callers are watched after that.
RECOVERY_SECONDS = 4.0
WATCHED_SECONDS = 2.0


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """Say what to play; the logs go to a directory."""

    seed: int
    seconds: float
    directory: Path
    gateways: int = GATEWAYS
    callers: int = CALLERS


@dataclass(slots=True)
class SoakResult:
    """Hold what came of one run."""

    seed: int
    faults: list[str]
    findings: list[str]
    endings: dict[str, int]


class Soak:
    """Own one run and its tasks."""

    def __init__(self, plan):
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.site = Site(self.random, plan.directory, plan.gateways)
        self.records = []
        self.readings = []
        self.faults = []
        self.loop = asyncio.get_running_loop()

    async def run(self):
        """Play the plan; return a SoakResult."""
        try:
            async with aiohttp.ClientSession() as session:
                return await self.play(session)
        finally:
            await self.site.close()

    async def play(self, session):
        await self.site.open()
        for gateway in self.site.gateways:
            await gateway.until_ready(session)
        lasting = [asyncio.create_task(self.read_versions(session))]
        for number in range(self.plan.callers):
            chance = random.Random(f"{self.plan.seed}/{number}")
            caller = Caller(number, self.site.gateways, self.records, chance)
            lasting.append(asyncio.create_task(caller.run()))
        await self.inject_faults()
        await asyncio.sleep(RECOVERY_SECONDS)
        healed = self.loop.time()
        await asyncio.sleep(WATCHED_SECONDS)
        for task in lasting:
            task.cancel()
        await asyncio.gather(*lasting, return_exceptions=True)
        return self.judge(healed)

    async def inject_faults(self):
        """Bring faults about one after the other; those that last overlap."""
        until = self.loop.time() + self.plan.seconds
        running = []
        while self.loop.time() < until:
            fault = draw(self.random, self.site)
            self.faults.append(f"{self.loop.time():.3f} {fault}")
            running.append(asyncio.create_task(inject(fault, self.site)))
            await asyncio.sleep(
                self.random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            )
        await asyncio.gather(*running)

    async def read_versions(self, session):
        """Ask each gateway for its version over and over, and see that it runs."""
        while True:
            for gateway in self.site.gateways:
                start = gateway.starts
                _, version = await gateway.read_version(session)
                if version is not None:
                    now = self.loop.time()
                    reading = Reading(gateway.name, start, version, now)
                    self.readings.append(reading)
                if gateway.ended_by_itself:
                    self.site.findings.append(f"{gateway.name} ended by itself")
                    gateway.start()
            await asyncio.sleep(READ_SECONDS)

    def judge(self, healed):
        judge = Judge(self.site, self.records, self.readings)
        findings = judge.findings()
        share = judge.recovered(healed)
        if share < RECOVERED_SHARE:
            findings.append(f"only {share:.2f} were answered after all faults")
        endings = collections.Counter(
            record.ending.value for record in self.records if record.ended
        )
        return SoakResult(self.plan.seed, self.faults, findings, dict(endings))


async def play(seed, seconds, directory=None):
    """Play one seed; without a directory the logs are dropped."""
    with tempfile.TemporaryDirectory() as scratch:
        plan = SoakPlan(seed, seconds, Path(directory or scratch))
        plan.directory.mkdir(parents=True, exist_ok=True)
        return await Soak(plan).run()
