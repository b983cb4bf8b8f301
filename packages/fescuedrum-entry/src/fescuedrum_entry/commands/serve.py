"""Run the entry process."""

import asyncio
import secrets
import sys

from fescuedrum.logs import configure_logging
from fescuedrum.process import (
    EXIT_FINDINGS,
    EXIT_OK,
    load_settings,
    run_check,
    warn_of,
)
from fescuedrum_entry.conf import EntrySettings
from fescuedrum_entry.process.entry import Entry

INCARNATION_BITS = 62


EPILOG = """\
settings: one JSON object, for instance
  {"name": "entry-1", "zone": "zone-1", "host": "10.0.0.5", "port": 7000,
   "platform_url": "http://10.0.0.2:7000",
   "peer_keys": [{"id": "2026-12", "secret": "..."}]}
  docs/settings-entry.md lists every field.

signals:
  SIGTERM, SIGINT  turn /readyz down, let running requests end, stop with code 0
  SIGHUP           load renewed certificates at once

first steps:
  fescuedrum serve --settings entry.json --check-settings
  fescuedrum serve --settings entry.json
  curl http://10.0.0.5:7000/readyz
"""


class Command:
    epilog = EPILOG
    help = "serve callers and operators until SIGTERM"

    def add_arguments(self, parser):
        parser.add_argument("--settings", required=True, help="file of settings (JSON)")
        parser.add_argument(
            "--check-settings", action="store_true", help="check the settings and exit"
        )

    def handle(self, arguments):
        loaded = load_settings(EntrySettings, arguments.settings)
        if loaded.is_err():
            for finding in loaded.err_value:
                print(finding, file=sys.stderr)
            return EXIT_FINDINGS
        settings = loaded.ok_value
        if arguments.check_settings:
            return run_check(settings)
        fixed = {"instance": settings.name, "zone": settings.zone}
        configure_logging(settings.log_level, **fixed)
        warn_of(settings)
        asyncio.run(Entry(settings, secrets.randbits(INCARNATION_BITS)).run())
        return EXIT_OK
