"""Start the agent from the command line."""

import argparse
import asyncio
import secrets
import sys

from fescuedrum import __version__
from fescuedrum.logs import configure_logging
from fescuedrum.process import (
    EXIT_FINDINGS,
    EXIT_OK,
    load_settings,
    run_check,
    warn_of,
)
from fescuedrum_agent.conf import AgentSettings
from fescuedrum_agent.process.agent import Agent

INCARNATION_BITS = 62
EPILOG = """\
settings: one JSON object, for instance
  {"name": "agent-7", "zone": "zone-1", "host": "10.0.0.7", "port": 7000,
   "endpoint": "engine-7", "service": "advice",
   "endpoint_url": "http://10.0.0.7:8000", "platform_url": "http://10.0.0.2:7000",
   "peer_keys": [{"id": "2026-12", "secret": "..."}]}
  docs/settings-agent.md lists every field.

signals:
  SIGTERM, SIGINT  refuse new work, let running requests end, stop with code 0
  SIGHUP           load renewed certificates at once

exit codes:
  0  stopped as planned
  2  wrong usage
  3  faulty settings; every fault is listed
"""


def build_parser():
    parser = argparse.ArgumentParser(
        prog="fescuedrum-agent",
        description="Run the agent beside one endpoint.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument("--settings", required=True, help="file of settings in JSON")
    parser.add_argument(
        "--check-settings", action="store_true", help="check the settings and exit"
    )
    return parser


def main(argv=None):
    """Run the command and return its exit code."""
    arguments = build_parser().parse_args(argv)
    loaded = load_settings(AgentSettings, arguments.settings)
    if loaded.is_err():
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    settings = loaded.ok_value
    if arguments.check_settings:
        return run_check(settings)
    configure_logging(settings.log_level, instance=settings.name, zone=settings.zone)
    warn_of(settings)
    agent = Agent(settings, secrets.randbits(INCARNATION_BITS))
    asyncio.run(agent.run())
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
