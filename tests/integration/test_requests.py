"""Check what operators see of requests of a real site."""

import asyncio
import json

from fescuedrum_bench.callers import Caller
from fescuedrum_bench.site import Site, SiteShape
from fescuedrum_entry.management import main

BODY = {"model": "advice-1", "prompt": "x", "max_tokens": 4}


def show(site, capsys, *arguments):
    token = site.directory / "token"
    token.write_text(site.operator_token)
    options = ["--entry", site.entries[0].url, "--token-file", str(token)]
    code = main(["show", "request", *arguments, *options])
    return code, capsys.readouterr().out


async def test_an_operator_sees_why_a_request_went_where_it_went(capsys):
    """A club asks why its advice was late; the operator has the id from its program."""
    async with Site(SiteShape(entries=1, engines=2, services=0), ["club"]) as site:
        caller = Caller(site.session, site.entries[0].url, "club", site.keys["club"])
        url = f"{caller.url}/v1/completions"
        async with site.session.post(url, json=BODY, headers=caller.headers) as answer:
            assert answer.status == 200
            number = answer.headers["Fescuedrum-Request-Id"]
        code, text = await asyncio.to_thread(show, site, capsys, number)
        _, data = await asyncio.to_thread(show, site, capsys, number, "--json")
        missing, _ = await asyncio.to_thread(show, site, capsys, "none")
    assert (code, missing) == (0, 1)
    assert "answered (ok) after 1 attempts" in text
    steps = [event["step"] for event in json.loads(data)["events"]]
    assert steps == ["parsed", "sent", "head", "ended"]
