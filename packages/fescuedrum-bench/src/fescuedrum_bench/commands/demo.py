"""Show a small site at work."""

import asyncio
import dataclasses
import json
from collections import Counter

from fescuedrum.process import EXIT_FAILURE, EXIT_OK, stop_event
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.site import Site, SiteShape

ORGANISATIONS = ("fjordbrod-bergen", "fjordbrod-voss", "trentside-derby")
ROUNDS = 8


class Command:
    help = "start a small site, send requests, show what happened"

    def add_arguments(self, parser):
        parser.add_argument(
            "--keep-running", action="store_true", help="leave the site up until Ctrl-C"
        )

    def handle(self, arguments):
        return asyncio.run(demonstrate(arguments.keep_running))


async def demonstrate(keep_running):
    async with Site(SiteShape(), ORGANISATIONS) as site:
        if keep_running:
            await stay_up(site)
            return EXIT_OK
        print(f"Site up: {len(site.members)} processes in {site.shape.zones} zones.")
        records = await send_requests(site)
        executions = await count_executions(site)
    return report(records, executions)


async def stay_up(site):
    for entry in site.entries:
        print(f"callers: {entry.url}/v1/completions and /services/bookings/...")
    for name, key in site.keys.items():
        print(f"key of {name}: {key}")
    print("Ctrl-C stops the site.", flush=True)
    await stop_event().wait()


async def send_requests(site):
    callers = [
        Caller(site.session, entry.url, name, site.keys[name])
        for name in ORGANISATIONS
        for entry in site.entries
    ]
    waiting = []
    for index in range(ROUNDS):
        for caller in callers:
            label = f"{caller.organisation}-{index}"
            waiting += [
                caller.complete(f"summary for {label}"),
                caller.stream(f"advice for {label}"),
                caller.look_up(f"item-{index}"),
                # Both entries get the same key: the booking must be made once.
                caller.book(f"{label}-order"),
            ]
    return await asyncio.gather(*waiting)


async def count_executions(site):
    total = Counter()
    for member in site.endpoints:
        if member.name.startswith("service"):
            total += Counter(await site.fetch_json(f"{member.url}/executions"))
    return total


def report(records, executions):
    print("\nWhat callers were told:")
    for name in ORGANISATIONS:
        for kind in ("completion", "stream", "lookup", "booking"):
            print_line(name, kind, records)
    verdict = judge(records, executions)
    repeats = sum(record.kind == "booking" for record in records) - len(executions)
    print(f"\n{len(executions)} bookings were made; {repeats} repeats of their keys")
    print("got the recorded answer through another entry.")
    print(json.dumps(dataclasses.asdict(verdict)))
    every_answered = verdict.answered == verdict.requests
    return EXIT_OK if verdict.kept and every_answered else EXIT_FAILURE


def print_line(name, kind, records):
    chosen = [
        each for each in records if (each.organisation, each.kind) == (name, kind)
    ]
    outcomes = Counter(each.outcome for each in chosen)
    told = ", ".join(f"{count} {outcome}" for outcome, count in outcomes.items())
    slowest = max(each.seconds for each in chosen)
    print(f"  {name:18} {kind:10} {told:22} slowest {slowest * 1000:5.0f} ms")
