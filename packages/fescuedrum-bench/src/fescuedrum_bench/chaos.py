"""Send requests to a site while random faults are injected into it."""

import asyncio
import random
import signal
from dataclasses import dataclass

from fescuedrum.outcomes import Outcome
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.faultproxy import Mode
from fescuedrum_bench.site import Site, SiteShape

ORGANISATIONS = ("fjordbrod-bergen", "trentside-derby")
DEADLINE_SECONDS = 4.0
CALLER_SECONDS = 8.0
# Attempts with one key during the faults, and again after them.
TRIES = 6
SETTLING_TRIES = 2
UNKEYED_SHARE = 0.1
LOOKUP_SHARE = 0.15
COMPLETION_SHARE = 0.1


@dataclass(slots=True)
class ChaosPlan:
    """Hold the length and load of a run, and the seed of its random choices."""

    seed: int
    seconds: float
    callers: int = 24
    # Mean time between two faults; each lasts up to four of these.
    fault_seconds: float = 1.0
    entries: int = 3
    services: int = 3
    engines: int = 2


class Faults:
    """Inject random faults, several of which may overlap."""

    __slots__ = ("done", "plan", "random", "running", "site", "taken")

    def __init__(self, site, plan):
        self.site = site
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.running = set()
        self.taken = set()
        self.done = []

    async def run(self, seconds):
        """Start faults for some seconds and wait until all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            kind = self.random.choice(KINDS)
            duration = self.random.uniform(0.5, 4.0) * self.plan.fault_seconds
            self.done.append(kind.__name__)
            task = asyncio.create_task(kind(self, duration))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(self.random.uniform(0.2, 1.8) * self.plan.fault_seconds)
        # An error when a fault ends would make all later checks meaningless.
        await asyncio.gather(*self.running)

    def pick(self, members):
        """Return a member without a fault, or None if fewer than two are left."""
        free = [each for each in members if each not in self.taken]
        return self.random.choice(free) if len(free) > 1 else None

    async def kill(self, members, duration):
        """Kill one of the members and start it again."""
        if member := self.pick(members):
            self.taken.add(member)
            await member.kill()
            await asyncio.sleep(duration / 2)
            await self.site.restart(member)
            self.taken.discard(member)

    async def pause(self, members, duration):
        """Stop one of the members by SIGSTOP and continue it."""
        if member := self.pick(members):
            self.taken.add(member)
            member.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration * 2)
            member.process.send_signal(signal.SIGCONT)
            self.taken.discard(member)

    async def replace(self, members, duration):
        """Stop one of the members gracefully and start it again."""
        if member := self.pick(members):
            self.taken.add(member)
            await member.stop()
            await asyncio.sleep(duration / 4)
            await self.site.restart(member)
            self.taken.discard(member)

    def proxy(self):
        """Return the proxy of a random connection."""
        return self.random.choice(list(self.site.proxies.values()))


async def kill_entry(faults, duration):
    """Kill an entry and start it again."""
    await faults.kill(faults.site.entries, duration)


async def kill_agent(faults, duration):
    """Kill an agent and start it again."""
    await faults.kill(faults.site.agents, duration)


async def pause_entry(faults, duration):
    """Stop an entry by SIGSTOP for a time."""
    await faults.pause(faults.site.entries, duration)


async def pause_agent(faults, duration):
    """Stop an agent by SIGSTOP for a time."""
    await faults.pause(faults.site.agents, duration)


async def pause_endpoint(faults, duration):
    """Stop an endpoint by SIGSTOP for a time."""
    await faults.pause(faults.site.endpoints, duration / 2)


async def replace_entry(faults, duration):
    """Stop an entry gracefully and start it again."""
    await faults.replace(faults.site.entries, duration)


async def replace_agent(faults, duration):
    """Stop an agent gracefully and start it again."""
    await faults.replace(faults.site.agents, duration)


async def store_outage(faults, duration):
    """Refuse all calls of the platform for a time."""
    await faults.site.set_faults(down=True)
    await asyncio.sleep(duration)
    await faults.site.set_faults(down=False)


async def lost_answers(faults, duration):
    """Drop the answers of some transactions after their writes."""
    await faults.site.set_faults(lost_answers=faults.random.randrange(1, 8))


async def slow_store(faults, duration):
    """Delay all calls of the platform for a time."""
    await faults.site.set_faults(delay_seconds=faults.random.uniform(0.01, 0.3))
    await asyncio.sleep(duration)
    await faults.site.set_faults(delay_seconds=0.0)


async def cut_connections(faults, duration):
    """Reset the connections of a proxy."""
    faults.proxy().cut()


async def silence_connections(faults, duration):
    """Drop all further data of the open connections of a proxy."""
    faults.proxy().silence()


async def delay_connections(faults, duration):
    """Delay the data of a proxy for a time."""
    proxy = faults.proxy()
    proxy.delay_seconds = faults.random.uniform(0.02, 0.4)
    await asyncio.sleep(duration)
    proxy.heal()


async def partition(faults, duration):
    """Hold back data or refuse connections at a proxy for a time."""
    proxy = faults.proxy()
    proxy.mode = faults.random.choice((Mode.PARTITION, Mode.REFUSE))
    if proxy.mode is Mode.REFUSE:
        proxy.cut()
    await asyncio.sleep(duration)
    # Data dropped during the partition is missing from every open connection.
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
    """Send the requests of all callers and hold their records."""

    __slots__ = ("plan", "random", "records", "site", "unsettled")

    def __init__(self, site, plan):
        self.site = site
        self.plan = plan
        self.random = random.Random(plan.seed + 1)
        self.records = []
        self.unsettled = []

    def caller(self, organisation):
        """Return a caller of an organisation at a random entry."""
        entry = self.random.choice(self.site.entries)
        key = self.site.keys[organisation]
        caller = Caller(self.site.session, entry.url, organisation, key)
        caller.headers["Fescuedrum-Deadline-Ms"] = str(int(DEADLINE_SECONDS * 1000))
        caller.timeout = CALLER_SECONDS
        return caller

    async def run(self, worker, end):
        """Send the requests of one worker, one after the other, until a time."""
        loop = asyncio.get_running_loop()
        organisation = ORGANISATIONS[worker % len(ORGANISATIONS)]
        number = 0
        while loop.time() < end:
            number += 1
            await self.send(organisation, f"{organisation}-{worker}-{number}")
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def send(self, organisation, reference):
        """Send one request of a random kind and record it."""
        caller = self.caller(organisation)
        draw = self.random.random()
        if draw < LOOKUP_SHARE:
            self.records.append(await caller.look_up(reference))
        elif draw < LOOKUP_SHARE + COMPLETION_SHARE:
            send = self.random.choice((caller.complete, caller.stream))
            self.records.append(await send(reference))
        elif draw < LOOKUP_SHARE + COMPLETION_SHARE + UNKEYED_SHARE:
            self.records.append(await caller.book(f"{reference}-once", keyed=False))
        elif not await self.repeat_booking(organisation, reference, TRIES):
            self.unsettled.append((organisation, reference))

    async def repeat_booking(self, organisation, reference, tries):
        """Repeat a booking at random entries; return whether it was answered."""
        for _ in range(tries):
            # Some callers send a key twice concurrently.
            count = 2 if self.random.random() < 0.1 else 1
            sendings = [self.caller(organisation).book(reference) for _ in range(count)]
            records = await asyncio.gather(*sendings)
            self.records += records
            if any(each.outcome == Outcome.ANSWERED for each in records):
                return True
            await asyncio.sleep(self.random.uniform(0.05, 0.4))
        return False

    async def settle(self):
        """Repeat every booking without an answer, after the faults have ended."""
        unanswered_keys, self.unsettled = self.unsettled, []
        ends = await asyncio.gather(
            *(
                self.repeat_booking(*unanswered_key, SETTLING_TRIES)
                for unanswered_key in unanswered_keys
            )
        )
        self.unsettled = [
            unanswered_key
            for unanswered_key, answered in zip(unanswered_keys, ends, strict=True)
            if not answered
        ]


@dataclass(slots=True)
class ChaosResult:
    """Hold the verdict of a run and the data that it was computed from."""

    verdict: object
    records: list
    executions: dict
    faults: list
    unsettled: list


async def run_chaos(plan):
    """Run a site under faults and return the verdict on its answers."""
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
        executions = await site.count_executions()
    verdict = judge(callers.records, executions)
    return ChaosResult(
        verdict, callers.records, executions, faults.done, callers.unsettled
    )
