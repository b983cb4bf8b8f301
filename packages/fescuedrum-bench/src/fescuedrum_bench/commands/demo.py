"""Demonstrate a small site, also while a zone is out."""

import asyncio
import dataclasses
import json
import pathlib
from collections import Counter

from fescuedrum.conf.document import ZoneState
from fescuedrum.process import EXIT_FAILURE, EXIT_OK, stop_event
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.checker import judge
from fescuedrum_bench.site import Site, SiteShape

ORGANISATIONS = ("fjordbrod-bergen", "fjordbrod-voss", "trentside-derby")
KINDS = ("completion", "stream", "lookup", "booking")
ROUNDS = 6
ZONE_OUT = "zone-3"
TOKEN_FILE = pathlib.Path("build/demo-token")


class Command:
    help = "start a small site, send requests and show their outcomes"

    def add_arguments(self, parser):
        parser.add_argument(
            "--keep-running", action="store_true", help="leave the site up until Ctrl-C"
        )

    def handle(self, arguments):
        return asyncio.run(demonstrate(arguments.keep_running))


async def demonstrate(keep_running):
    """Run the demonstration, or keep a site up until it is stopped."""
    async with Site(SiteShape(services=2), ORGANISATIONS) as site:
        if keep_running:
            await stay_up(site)
            return EXIT_OK
        print(f"Site up: {len(site.members)} processes in {site.shape.zones} zones.")
        records = await send_requests(site, "whole")
        show("What callers were told", records)
        during, strayed = await take_zone_out(site)
        records += during
        executions = await site.count_executions()
    return report(records, executions, strayed)


async def stay_up(site):
    """Print the site's addresses and keys and wait for the signal to stop."""
    for entry in site.entries:
        print(f"callers: {entry.url}/v1/completions and {entry.url}/services/bookings/")
        print(f"console: {entry.url}/console/")
    for name, key in site.keys.items():
        print(f"key of {name}: {key}")
    TOKEN_FILE.parent.mkdir(exist_ok=True)
    TOKEN_FILE.write_text(site.operator_token)
    print(f"operator's token: {site.operator_token} (also in {TOKEN_FILE})")
    print("Ctrl-C stops the site.", flush=True)
    await stop_event().wait()
    TOKEN_FILE.unlink()


async def take_zone_out(site):
    """Send requests while a zone is out and after it is back.

    Return their records and the number of requests that the zone began while out.
    """
    await site.set_zone(ZONE_OUT, ZoneState.OUT)
    await site.wait_in_force(site.version)
    begun = await site.count_started(ZONE_OUT)
    records = await send_requests(site, "out")
    strayed = await site.count_started(ZONE_OUT) - begun
    show(f"While {ZONE_OUT} was out", records)
    print(f"  new work in {ZONE_OUT}: {strayed} requests")
    await site.set_zone(ZONE_OUT, ZoneState.IN)
    await site.wait_in_force(site.version)
    records_after = await send_requests(site, "back")
    show(f"After {ZONE_OUT} came back", records_after)
    return records + records_after, strayed


async def send_requests(site, phase):
    """Send requests of every kind through every entry and return their records."""
    callers = [
        Caller(site.session, entry.url, name, site.keys[name])
        for name in ORGANISATIONS
        for entry in site.entries
    ]
    waiting = []
    for index in range(ROUNDS):
        for number, caller in enumerate(callers):
            label = f"{phase}-{caller.organisation}-{index}"
            waiting += [
                caller.complete(f"summary for {label}"),
                caller.stream(f"advice for {label}"),
                caller.look_up(f"item-{index}"),
                # All entries get the same key, so the booking must be made once.
                caller.book(f"{label}-order"),
                caller.book(f"{label}-walk-in-{number}", keyed=False),
            ]
    return await asyncio.gather(*waiting)


def show(title, records):
    """Print the outcomes by organisation and kind of request."""
    print(f"\n{title}:")
    for name in ORGANISATIONS:
        for kind in KINDS:
            print_line(name, kind, records)


def report(records, executions, strayed):
    """Print the verdict on all records and return the exit code."""
    verdict = judge(records, executions)
    sent = sum(record.kind == "booking" for record in records)
    print(f"\n{sent} bookings were sent and {len(executions)} made: repeats of a key")
    print("through another entry got the recorded answer.")
    print(json.dumps(dataclasses.asdict(verdict)))
    all_answered = verdict.answered == verdict.requests
    kept = verdict.kept and all_answered and strayed == 0
    return EXIT_OK if kept else EXIT_FAILURE


def print_line(name, kind, records):
    """Print the outcomes of one organisation's requests of one kind."""
    chosen = [
        each for each in records if (each.organisation, each.kind) == (name, kind)
    ]
    outcomes = Counter(each.outcome for each in chosen)
    counts = ", ".join(f"{count} {outcome}" for outcome, count in outcomes.items())
    slowest = max(each.seconds for each in chosen)
    print(f"  {name:18} {kind:10} {counts:22} slowest {slowest * 1000:5.0f} ms")
