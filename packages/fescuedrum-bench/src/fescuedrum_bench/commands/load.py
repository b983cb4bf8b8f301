"""Send open-loop load and print what callers received."""

import asyncio
import json

from fescuedrum.process import EXIT_OK
from fescuedrum_bench.load import Job, Mix, OpenLoop, open_session
from fescuedrum_bench.site import Site, SiteShape

DEFAULT_ORGANISATIONS = ("club:10", "shop:10", "kitchen:20")


class Command:
    help = "send open-loop load of several organisations; the last line is JSON"

    def add_arguments(self, parser):
        parser.add_argument(
            "--entry",
            action="append",
            default=[],
            help="URL of an entry, repeatable; without one a small site is started",
        )
        parser.add_argument(
            "--organisation",
            action="append",
            default=[],
            metavar="NAME:RATE[:KEY]",
            help="organisation and its requests per second, repeatable",
        )
        parser.add_argument("--seconds", type=float, default=10.0)
        parser.add_argument(
            "--tokens",
            type=int,
            nargs="+",
            default=[8, 8, 64],
            help="tokens of a request, drawn evenly",
        )
        parser.add_argument("--prompt-bytes", type=int, default=64)
        parser.add_argument(
            "--streamed",
            type=float,
            default=0.0,
            help="share of streamed requests, 0 to 1",
        )
        parser.add_argument("--deadline", type=float, default=10.0, help="in seconds")
        parser.add_argument("--seed", type=int, default=1)

    def handle(self, arguments):
        results = asyncio.run(run(arguments))
        summary = results.summary()
        for name, values in summary["organisations"].items():
            print(f"{name}: {values}")
        print(json.dumps(summary))
        return EXIT_OK


async def run(arguments):
    """Send load to the given entries or to a new site and return the results."""
    mixes = [
        build_mix(text, arguments)
        for text in arguments.organisation or DEFAULT_ORGANISATIONS
    ]
    if arguments.entry:
        return await send(arguments.entry, mixes, arguments)
    names = [mix.organisation for mix in mixes]
    async with Site(SiteShape(services=0), names) as site:
        for mix in mixes:
            mix.key = site.keys[mix.organisation]
        return await send([entry.url for entry in site.entries], mixes, arguments)


async def send(urls, mixes, arguments):
    """Send load to entries and return the results."""
    async with open_session() as session:
        loop = OpenLoop(session, urls, arguments.seed)
        return await loop.run(mixes, arguments.seconds)


def build_mix(text, arguments):
    """Return the mix that NAME:RATE[:KEY] describes."""
    name, rate, *key = text.split(":")
    prompt = "p" * arguments.prompt_bytes
    plain = 1 - arguments.streamed
    jobs = [
        Job(tokens, share, prompt, streamed)
        for tokens in arguments.tokens
        for streamed, share in ((False, plain), (True, arguments.streamed))
        if share
    ]
    key = key[0] if key else f"{name}.secret"
    return Mix(name, key, float(rate), jobs, arguments.deadline)
