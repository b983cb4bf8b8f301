"""Start an agent from the command line."""

import argparse
import sys

from fescuedrum import __version__
from fescuedrum.signals import defer_reload

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
    """Return the parser of the command line."""
    from fescuedrum.process import add_settings_arguments

    parser = argparse.ArgumentParser(
        prog="fescuedrum-agent",
        description="Run the agent beside one endpoint.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    add_settings_arguments(parser)
    return parser


def main(argv=None):
    """Run the command and return its exit code."""
    defer_reload()
    # Imported after the reload signal is deferred, as loading takes long.
    from fescuedrum.process import run_process
    from fescuedrum_agent.conf import AgentSettings
    from fescuedrum_agent.process.agent import Agent

    arguments = build_parser().parse_args(argv)
    return run_process(AgentSettings, arguments, Agent)


if __name__ == "__main__":
    sys.exit(main())
