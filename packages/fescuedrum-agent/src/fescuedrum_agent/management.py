"""Start the agent from the command line."""

import argparse
import asyncio
import secrets
import sys

from fescuedrum import __version__
from fescuedrum.logs import configure_logging
from fescuedrum.process import EXIT_FINDINGS, EXIT_OK, load_settings
from fescuedrum_agent.conf import AgentSettings
from fescuedrum_agent.process.agent import Agent

INCARNATION_BITS = 62


def build_parser():
    parser = argparse.ArgumentParser(
        prog="fescuedrum-agent",
        description="Run the agent beside one endpoint.",
        epilog="Exit codes: 0 stopped as planned, 2 wrong usage, 3 faulty settings.",
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
        print("The settings are complete and valid.")
        return EXIT_OK
    configure_logging(settings.log_level, instance=settings.name, zone=settings.zone)
    agent = Agent(settings, secrets.randbits(INCARNATION_BITS))
    asyncio.run(agent.run())
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
