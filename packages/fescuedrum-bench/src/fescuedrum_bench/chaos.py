"""Send requests to a whole site while it suffers random faults."""

import asyncio
import random
import signal
from dataclasses import dataclass

from fescuedrum.outcomes import Outcome
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.commands.demo import count_executions
from fescuedrum_bench.faultproxy import Mode
from fescuedrum_bench.site import Site, SiteShape

ORGANISATIONS = ("fjordbrod-bergen", "trentside-derby")
DEADLINE_SECONDS = 4.0
CALLER_SECONDS = 8.0
# A caller repeats a key so often before it gives up until the faults are over.
TRIES = 6
SETTLING_TRIES = 2
UNKEYED_SHARE = 0.1
LOOKUP_SHARE = 0.15
COMPLETION_SHARE = 0.1


@dataclass(slots=True)
class ChaosPlan:
    """Say how long and how hard a run is; all choices come from the seed."""

    seed: int
    seconds: float
    callers: int = 24
    # Mean time between two faults; each lasts up to four of these.
    fault_seconds: float = 1.0
    entries: int = 3
    services: int = 3
    engines: int = 2


class Faults:
    """Bring about faults one after the other, several of them at a time."""

    __slots__ = ("done", "plan", "random", "running", "site", "taken")

    def __init__(self, site, plan):
        self.site = site
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.running = set()
        self.taken = set()
        self.done = []

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            kind = self.random.choice(KINDS)
            lasting = self.random.uniform(0.5, 4.0) * self.plan.fault_seconds
            self.done.append(kind.__name__)
            task = asyncio.create_task(kind(self, lasting))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(self.random.uniform(0.2, 1.8) * self.plan.fault_seconds)
        # A fault that was lifted wrongly would spoil every later judgement.
        await asyncio.gather(*self.running)

    def pick(self, members):
        """Choose a member that no other fault has in hand; never the last one."""
        free = [each for each in members if each not in self.taken]
        return self.random.choice(free) if len(free) > 1 else None

    async def kill(self, members, lasting):
        if member := self.pick(members):
            self.taken.add(member)
            await member.kill()
            await asyncio.sleep(lasting / 2)
            await self.site.restart(member)
            self.taken.discard(member)

    async def pause(self, members, lasting):
        if member := self.pick(members):
            self.taken.add(member)
            member.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(lasting * 2)
            member.process.send_signal(signal.SIGCONT)
            self.taken.discard(member)

    async def replace(self, members, lasting):
        if member := self.pick(members):
            self.taken.add(member)
            await member.stop()
            await asyncio.sleep(lasting / 4)
            await self.site.restart(member)
            self.taken.discard(member)

    def proxy(self):
        return self.random.choice(list(self.site.proxies.values()))


async def kill_entry(faults, lasting):
    await faults.kill(faults.site.entries, lasting)


async def kill_agent(faults, lasting):
    await faults.kill(faults.site.agents, lasting)


async def pause_entry(faults, lasting):
    await faults.pause(faults.site.entries, lasting)


async def pause_agent(faults, lasting):
    await faults.pause(faults.site.agents, lasting)


async def pause_endpoint(faults, lasting):
    await faults.pause(faults.site.endpoints, lasting / 2)


async def replace_entry(faults, lasting):
    await faults.replace(faults.site.entries, lasting)


async def replace_agent(faults, lasting):
    await faults.replace(faults.site.agents, lasting)


async def store_outage(faults, lasting):
    await faults.site.set_faults(down=True)
    await asyncio.sleep(lasting)
    await faults.site.set_faults(down=False)


async def lost_answers(faults, lasting):
    await faults.site.set_faults(lost_answers=faults.random.randrange(1, 8))


async def slow_store(faults, lasting):
    await faults.site.set_faults(delay_seconds=faults.random.uniform(0.01, 0.3))
    await asyncio.sleep(lasting)
    await faults.site.set_faults(delay_seconds=0.0)


async def cut_connections(faults, lasting):
    faults.proxy().cut()


async def silence_connections(faults, lasting):
    faults.proxy().silence()


async def delay_connections(faults, lasting):
    proxy = faults.proxy()
    proxy.delay_seconds = faults.random.uniform(0.02, 0.4)
    await asyncio.sleep(lasting)
    proxy.heal()


async def partition(faults, lasting):
    proxy = faults.proxy()
    proxy.mode = faults.random.choice((Mode.PARTITION, Mode.REFUSE))
    if proxy.mode is Mode.REFUSE:
        proxy.cut()
    await asyncio.sleep(lasting)
    # What was dropped in between is missing from every connection that is left.
    proxy.silence()
    proxy.heal()


KINDS = (
    kill_entry,
    kill_agent,
    pause_entry,
    pause_agent,
    pause_endpoint,
    replace_entry,
    replace_agent,
    store_outage,
    lost_answers,
    slow_store,
    cut_connections,
    silence_connections,
    delay_connections,
    partition,
)


class Callers:
    """Act for all callers and keep what they were told."""

    __slots__ = ("plan", "random", "records", "site", "unsettled")

    def __init__(self, site, plan):
        self.site = site
        self.plan = plan
        self.random = random.Random(plan.seed + 1)
        self.records = []
        self.unsettled = []

    def caller(self, organisation):
        entry = self.random.choice(self.site.entries)
        key = self.site.keys[organisation]
        caller = Caller(self.site.session, entry.url, organisation, key)
        caller.headers["Fescuedrum-Deadline-Ms"] = str(int(DEADLINE_SECONDS * 1000))
        caller.timeout = CALLER_SECONDS
        return caller

    async def run(self, worker, end):
        loop = asyncio.get_running_loop()
        organisation = ORGANISATIONS[worker % len(ORGANISATIONS)]
        number = 0
        while loop.time() < end:
            number += 1
            await self.send(organisation, f"{organisation}-{worker}-{number}")
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def send(self, organisation, reference):
        caller = self.caller(organisation)
        draw = self.random.random()
        if draw < LOOKUP_SHARE:
            self.records.append(await caller.look_up(reference))
        elif draw < LOOKUP_SHARE + COMPLETION_SHARE:
            send = self.random.choice((caller.complete, caller.stream))
            self.records.append(await send(reference))
        elif draw < LOOKUP_SHARE + COMPLETION_SHARE + UNKEYED_SHARE:
            self.records.append(await caller.book(f"{reference}-once", keyed=False))
        elif not await self.insist(organisation, reference, TRIES):
            self.unsettled.append((organisation, reference))

    async def insist(self, organisation, reference, tries):
        """Repeat a key through any entry until its end is told."""
        for _ in range(tries):
            # Impatient callers send a key twice at once.
            count = 2 if self.random.random() < 0.1 else 1
            sendings = [self.caller(organisation).book(reference) for _ in range(count)]
            told = await asyncio.gather(*sendings)
            self.records += told
            if any(each.outcome == Outcome.ANSWERED for each in told):
                return True
            await asyncio.sleep(self.random.uniform(0.05, 0.4))
        return False

    async def settle(self):
        """Repeat, on a whole site, every key whose end was not told."""
        open_keys, self.unsettled = self.unsettled, []
        ends = await asyncio.gather(
            *(self.insist(*open_key, SETTLING_TRIES) for open_key in open_keys)
        )
        self.unsettled = [
            open_key for open_key, told in zip(open_keys, ends, strict=True) if not told
        ]


@dataclass(slots=True)
class ChaosResult:
    """Hold the verdict and what it was reached on."""

    verdict: object
    records: list
    executions: dict
    faults: list
    unsettled: list


async def run_chaos(plan):
    """Run a site under faults and judge it."""
    shape = SiteShape(
        entries=plan.entries,
        services=plan.services,
        engines=plan.engines,
        proxied=True,
    )
    async with Site(shape, ORGANISATIONS) as site:
        callers, faults = Callers(site, plan), Faults(site, plan)
        end = asyncio.get_running_loop().time() + plan.seconds
        workers = [callers.run(index, end) for index in range(plan.callers)]
        await asyncio.gather(faults.run(plan.seconds), *workers)
        await site.wait_whole()
        await callers.settle()
        executions = await count_executions(site)
    verdict = judge(callers.records, executions)
    return ChaosResult(
        verdict, callers.records, executions, faults.done, callers.unsettled
    )
