"""Check how a site handles a planned stop and shows requests to operators."""

import asyncio
import json
import re

from fescuedrum_bench.callers import Caller
from fescuedrum_bench.site import Site, SiteShape
from fescuedrum_entry.management import main

BODY = {"model": "advice-1", "prompt": "x", "max_tokens": 4}


async def book_behind_a_balancer(site, entry, caller):
    """Send bookings one after the other until /readyz fails; return their records."""
    records = []
    while await site.answers(f"{entry.url}/readyz"):
        records.append(await caller.book(f"order-{len(records)}"))
    return records


async def test_a_planned_stop_of_an_entry_truncates_no_request():
    """Guard against requests that are lost when an entry is replaced.

    The balancer notices only at its next check, so requests still arrive for a moment;
    all of them must be answered, and running ones must finish.
    """
    shape = SiteShape(
        entries=1, engines=0, services=1, entry_settings={"notice_seconds": 1.0}
    )
    async with Site(shape, ["club"]) as site:
        (entry,) = site.entries
        caller = Caller(site.session, entry.url, "club", site.keys["club"])
        await caller.book("first")
        sending = [
            asyncio.create_task(book_behind_a_balancer(site, entry, caller))
            for caller in [caller] * 4
        ]
        await asyncio.sleep(0.3)
        begun = asyncio.create_task(caller.book("last"))
        entry.process.terminate()
        records = sum(await asyncio.gather(*sending), [await begun])
        assert await entry.process.wait() == 0
    assert len(records) > 4
    assert all(record.whole and record.status == 201 for record in records)


async def test_an_operator_sees_the_state_of_a_key(capsys):
    """Check that operators can find out whether the request of a key ran."""
    async with Site(SiteShape(entries=1, engines=0), ["club"]) as site:
        caller = Caller(site.session, site.entries[0].url, "club", site.keys["club"])
        url = f"{caller.url}/services/bookings/bookings"
        headers = caller.headers | {"Idempotency-Key": "order-1"}
        body = {"reference": "order-1"}
        async with site.session.post(url, json=body, headers=headers) as answer:
            number = answer.headers["Fescuedrum-Request-Id"]
        found = ("key", "club", "bookings", "order-1")
        code, text = await asyncio.to_thread(show, site, capsys, *found)
        other = ("key", "club", "bookings", "order-2")
        missing, _ = await asyncio.to_thread(show, site, capsys, *other)
        _, trace = await asyncio.to_thread(show, site, capsys, "request", number)
    assert (code, missing) == (0, 1)
    assert text.startswith("finished: It ran to its end")
    assert "did WriteRow, result WriteDone" in trace
    assert "attempt 1 at agent-service-0" in text


def show(site, capsys, *arguments):
    """Run the show command; return (exit code, output)."""
    token = site.directory / "token"
    token.write_text(site.operator_token)
    options = ["--entry", site.entries[0].url, "--token-file", str(token)]
    code = main(["show", *arguments, *options])
    return code, capsys.readouterr().out


async def test_an_operator_sees_the_trace_of_a_request(capsys):
    """Check that operators can trace a slow request by its id."""
    async with Site(SiteShape(entries=1, engines=2, services=0), ["club"]) as site:
        caller = Caller(site.session, site.entries[0].url, "club", site.keys["club"])
        url = f"{caller.url}/v1/completions"
        async with site.session.post(url, json=BODY, headers=caller.headers) as answer:
            assert answer.status == 200
            number = answer.headers["Fescuedrum-Request-Id"]
        code, text = await asyncio.to_thread(show, site, capsys, "request", number)
        _, data = await asyncio.to_thread(
            show, site, capsys, "request", number, "--json"
        )
        missing, _ = await asyncio.to_thread(show, site, capsys, "request", "none")
    assert (code, missing) == (0, 1)
    # The number of attempts depends on the load of this machine; the trace must show
    # each of them.
    attempts = int(re.search(r"answered \(ok\) after (\d+) attempts", text)[1])
    steps = [event["step"] for event in json.loads(data)["events"]]
    assert steps.count("sent") == attempts
    assert (steps[0], steps[1]) == ("parsed", "sent")
    assert steps[-2:] == ["head", "ended"]
    if attempts == 1:
        assert steps == ["parsed", "sent", "head", "ended"]
