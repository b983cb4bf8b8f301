"""Run one seed: start a site, inject faults, let it recover and check it."""

import asyncio
import collections
import json
import random
import tempfile
from dataclasses import dataclass, fields
from pathlib import Path

import aiohttp
from support.groups import LATE_ORDER_DELAY_SECONDS

from soak.balancer import Balancer
from soak.callers import Caller, KeepingCaller
from soak.conditions import FAULTS, Conditions, RunKind
from soak.demand import DemandSite
from soak.demand_callers import DemandCaller
from soak.demand_faults import draw_demand_faults, draw_disruption, inject_demand
from soak.demand_judge import DemandChecker
from soak.faults import (
    EndpointReplaced,
    GatewayKilled,
    draw_fault,
    draw_group_fault,
    draw_notice,
    draw_rate_limit,
    inject,
)
from soak.judge import RECOVERED_SHARE, GuaranteeChecker, Reading
from soak.parts import (
    CALM_SECONDS,
    FAULT_PAUSE_SECONDS,
    PartsCaller,
    PartsSite,
)
from soak.parts_judge import PartsChecker
from soak.planned import draw_work
from soak.repeats import RepeatCaller, RepeatSite
from soak.repeats_judge import RepeatsChecker
from soak.site import Site

GATEWAYS = 4
SHORTEST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 1.5
# From the start of one rate limit to that of the next.
RATE_LIMIT_PAUSE_SECONDS = (0.2, 6.0)
# The same for notices.
NOTICE_PAUSE_SECONDS = (0.2, 5.0)
# The same for faults of processes and connections beside those of demand.
DISRUPTION_PAUSE_SECONDS = (2.0, 6.0)
READ_SECONDS = 0.2
# Callers must be answered again in the WATCHED_SECONDS after this time.
RECOVERY_SECONDS = 4.0
WATCHED_SECONDS = 2.0
# For kinds of run that have their own.
SITES_AND_CHECKERS = {
    RunKind.DEMAND: (DemandSite, DemandChecker),
    RunKind.PARTS: (PartsSite, PartsChecker),
    RunKind.REPEATS: (RepeatSite, RepeatsChecker),
}
# Of a logged line in a finding; the whole one is in the log.
LINE_LENGTH = 400


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """Hold the parameters of a run; directory gets the logs."""

    seed: int
    seconds: float
    directory: Path
    conditions: Conditions = FAULTS
    gateways: int = GATEWAYS


@dataclass(slots=True)
class SoakResult:
    """Hold the result of a run."""

    seed: int
    faults: list[str]
    findings: list[str]
    endings: dict[str, int]
    # The part of endings at gateways that were stopping.
    while_stopping: dict[str, int]
    notes: list[str]


class Soak:
    """Manage one run and its tasks."""

    def __init__(self, plan):
        self.plan = plan
        self.random = random.Random(plan.seed)
        build_site, self.build_checker = SITES_AND_CHECKERS.get(
            plan.conditions.kind, (Site, GuaranteeChecker)
        )
        self.site = build_site(self.random, plan)
        self.records = []
        self.readings = []
        self.faults = []
        self.loop = asyncio.get_running_loop()

    async def run(self):
        """Run the plan and return a SoakResult."""
        try:
            async with aiohttp.ClientSession() as session:
                return await self.play(session)
        finally:
            await self.site.close()

    async def play(self, session):
        """Start the site, inject faults, let it recover and return a SoakResult."""
        await self.site.open()
        for gateway in self.site.gateways:
            await gateway.wait_until_ready(session)
        lasting = [asyncio.create_task(self.read_versions(session))]
        match self.plan.conditions.kind:
            case RunKind.FAULTS:
                lasting += self.start_callers(Caller)
                await self.inject_faults()
            case RunKind.GROUPS:
                lasting += self.start_callers(Caller)
                await self.inject_group_faults()
            case RunKind.STOPS:
                balancer = Balancer(self.site.gateways)
                await balancer.probe_gateways(session)
                lasting.append(asyncio.create_task(balancer.run(session)))
                lasting += self.start_callers(KeepingCaller, balancer)
                await self.do_planned_work()
            case RunKind.DEMAND:
                lasting += self.start_callers(DemandCaller)
                await self.inject_demand_faults()
            case RunKind.PARTS:
                self.site.session = session
                lasting += self.start_callers(PartsCaller)
                await self.send_crashing_prompts()
            case RunKind.REPEATS:
                self.site.session = session
                lasting += self.start_callers(RepeatCaller)
                await self.repeat_crashing_requests()
        await asyncio.sleep(RECOVERY_SECONDS)
        recovered_at = self.loop.time()
        await self.watch_recovery()
        broken = [repr(task.exception()) for task in lasting if task.done()]
        self.site.findings += [
            f"a part of the run broke off: {each}" for each in broken
        ]
        for task in lasting:
            task.cancel()
        await asyncio.gather(*lasting, return_exceptions=True)
        return self.check_results(recovered_at)

    def start_callers(self, build, *arguments):
        """Start the callers and return their tasks."""
        tasks = []
        for number in range(self.plan.conditions.callers):
            rng = random.Random(f"{self.plan.seed}/{number}")
            caller = build(number, self.site, self.records, rng, *arguments)
            tasks.append(asyncio.create_task(caller.run()))
        return tasks

    async def inject_faults(self):
        """Inject random faults one after the other; they may overlap."""
        until = self.loop.time() + self.plan.seconds
        running = [
            asyncio.create_task(
                self.inject_apart(
                    until, "needs", draw_rate_limit, RATE_LIMIT_PAUSE_SECONDS
                )
            ),
            asyncio.create_task(
                self.inject_apart(until, "notices", draw_notice, NOTICE_PAUSE_SECONDS)
            ),
        ]
        while self.loop.time() < until:
            running.append(self.start_fault(draw_fault(self.random, self.site)))
            await asyncio.sleep(
                self.random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            )
        await asyncio.gather(*running)

    async def inject_group_faults(self):
        """Inject faults of the leader of a group; they may overlap."""
        until = self.loop.time() + self.plan.seconds
        running = []
        while self.loop.time() < until:
            running.append(self.start_fault(draw_group_fault(self.random, self.site)))
            await asyncio.sleep(
                self.random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            )
        await asyncio.gather(*running)
        # The last late orders are carried out by then.
        await asyncio.sleep(max(LATE_ORDER_DELAY_SECONDS))

    async def watch_recovery(self):
        """Watch for WATCHED_SECONDS whether the site has recovered."""
        steps = [(ranks, ranks.group.step) for ranks in self.site.rank_groups]
        await asyncio.sleep(WATCHED_SECONDS)
        for ranks, step in steps:
            self.site.findings += ranks.findings()
            if ranks.group.step == step:
                self.site.findings.append(f"the group stands still at pass {step}")

    async def inject_apart(self, until, name, draw, pauses):
        """Inject faults of a kind; a separate generator keeps the faults of a seed."""
        rng = random.Random(f"{self.plan.seed}/{name}")
        running = []
        while self.loop.time() < until:
            await asyncio.sleep(rng.uniform(*pauses))
            running.append(self.start_fault(draw(rng, self.site)))
        await asyncio.gather(*running)

    async def do_planned_work(self):
        """Start planned work at its times; stops may overlap."""
        began = self.loop.time()
        names = [each.name for each in self.site.gateways]
        running = []
        for second, work in draw_work(self.random, names, self.plan.seconds):
            await asyncio.sleep(began + second - self.loop.time())
            running.append(self.start_fault(work))
        await asyncio.gather(*running)

    async def inject_demand_faults(self):
        """Inject faults of groups and of demand in turn, beside faults of processes."""
        until = self.loop.time() + self.plan.seconds
        apart = self.inject_apart(
            until, "disruptions", draw_disruption, DISRUPTION_PAUSE_SECONDS
        )
        running = [asyncio.create_task(apart)]
        rng = random.Random(f"{self.plan.seed}/demand")
        for pause, fault in draw_demand_faults(rng):
            await asyncio.sleep(pause)
            if self.loop.time() + fault.seconds > until:
                break
            running.append(self.start_fault(fault, inject_demand))
        await asyncio.gather(*running)

    async def send_crashing_prompts(self):
        """Send prompts at which endpoints end, beside faults of some processes."""
        self.faults.append(f"{self.loop.time():.3f} {self.site.crashes}")
        await asyncio.sleep(CALM_SECONDS)
        until = self.loop.time() + self.plan.seconds - CALM_SECONDS
        apart = asyncio.create_task(
            self.inject_apart(
                until, "disruptions", draw_process_end, FAULT_PAUSE_SECONDS
            )
        )
        with self.site.record_crashing_span():
            await asyncio.sleep(until - self.loop.time())
        await apart

    async def repeat_crashing_requests(self):
        """Let callers repeat requests at which endpoints end, or end some otherwise."""
        self.faults.append(f"{self.loop.time():.3f} {self.site.scenario}")
        await asyncio.sleep(CALM_SECONDS)
        until = self.loop.time() + self.plan.seconds - CALM_SECONDS
        running = []
        if self.site.has_other_faults:
            apart = self.inject_apart(
                until, "disruptions", draw_process_end, FAULT_PAUSE_SECONDS
            )
            running.append(asyncio.create_task(apart))
        with self.site.record_crashing_span():
            await self.site.end_harmlessly()
            await asyncio.sleep(until - self.loop.time())
        await asyncio.gather(*running)

    def start_fault(self, fault, inject=inject):
        """Record a fault; return the task that injects it."""
        self.faults.append(f"{self.loop.time():.3f} {fault}")
        return asyncio.create_task(inject(fault, self.site))

    async def read_versions(self, session):
        """Poll the version of each gateway, and restart one that ended unexpectedly."""
        while True:
            for gateway in self.site.gateways:
                start = gateway.starts
                _, version = await gateway.read_version(session)
                if version is not None:
                    now = self.loop.time()
                    reading = Reading(gateway.name, start, version, now)
                    self.readings.append(reading)
                if gateway.ended_unexpectedly:
                    self.site.findings.append(f"{gateway.name} ended by itself")
                    gateway.start()
            await asyncio.sleep(READ_SECONDS)

    def write_records(self):
        """Write what callers recorded to a file beside the logs."""
        path = self.plan.directory / "records.jsonl"
        with path.open("w") as file:
            for record in self.records:
                line = {
                    field.name: getattr(record, field.name)
                    for field in fields(record)
                    if field.name != "sendings"
                }
                file.write(json.dumps(line, default=str) + "\n")

    def check_logs(self):
        """Return a finding for each unhandled exception in the gateways' logs."""
        return [
            f"{gateway.name} logged an unhandled exception: {line[:LINE_LENGTH]}"
            for gateway in self.site.gateways
            for line in gateway.logged_exceptions()
        ]

    def check_results(self, recovered_at):
        """Return the SoakResult; callers are expected to recover by recovered_at."""
        self.write_records()
        checker = self.build_checker(self.site, self.records, self.readings)
        findings = checker.findings() + self.check_logs()
        share = checker.answered_share(recovered_at)
        if share < RECOVERED_SHARE:
            findings.append(f"only {share:.2f} were answered after all faults")
        ended = [record for record in self.records if record.ended]
        stopping = [
            record for record in ended if checker.was_sent_while_stopping(record)
        ]
        return SoakResult(
            self.plan.seed,
            self.faults,
            findings,
            count(ended),
            count(stopping),
            checker.notes(),
        )


def draw_process_end(random, site):
    """Return the end of a random gateway, or of an endpoint with no crashing prompt."""
    if random.random() < 0.5 or not site.endpoints:
        return GatewayKilled(random.choice(site.gateways).name)
    return EndpointReplaced(random.choice(site.endpoints).name, announced=False)


def count(records):
    """Return the number of requests by ending."""
    return dict(collections.Counter(record.ending.value for record in records))


async def play(seed, seconds=None, directory=None, conditions=FAULTS):
    """Run one seed; without a directory the logs are discarded."""
    with tempfile.TemporaryDirectory() as scratch:
        directory = Path(directory or scratch)
        plan = SoakPlan(seed, seconds or conditions.seconds, directory, conditions)
        plan.directory.mkdir(parents=True, exist_ok=True)
        return await Soak(plan).run()
