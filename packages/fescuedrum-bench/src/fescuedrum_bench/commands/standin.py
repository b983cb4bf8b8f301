"""Run one stand-in."""

import asyncio

from fescuedrum.process import EXIT_OK
from fescuedrum_bench.standins import bareproxy, engine, platform, service

KINDS = {
    "bareproxy": bareproxy,
    "engine": engine,
    "platform": platform,
    "service": service,
}


class Command:
    help = "run one stand-in until SIGTERM"

    def add_arguments(self, parser):
        parser.add_argument("kind", choices=sorted(KINDS))
        parser.add_argument("--host", required=True)
        parser.add_argument("--port", type=int, required=True)
        parser.add_argument("--model", default="advice-1")
        parser.add_argument("--step-seconds", type=float, default=0.01)
        parser.add_argument("--cold-limit", type=int, default=2)
        parser.add_argument("--sequence-seconds", type=float, default=0.0)
        parser.add_argument("--batch", type=int, default=256)
        parser.add_argument("--prefill-rate", type=float, default=200_000.0)
        parser.add_argument("--upstream", default="")
        parser.add_argument("--work-seconds", type=float, default=0.02)

    def handle(self, arguments):
        asyncio.run(KINDS[arguments.kind].run(arguments))
        return EXIT_OK
