"""Run the entry process."""

import asyncio
import secrets
import sys

from fescuedrum.logs import configure_logging
from fescuedrum.process import EXIT_FINDINGS, EXIT_OK, load_settings
from fescuedrum_entry.conf import EntrySettings
from fescuedrum_entry.process.entry import Entry

INCARNATION_BITS = 62


class Command:
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
            print("The settings are complete and valid.")
            return EXIT_OK
        fixed = {"instance": settings.name, "zone": settings.zone}
        configure_logging(settings.log_level, **fixed)
        asyncio.run(Entry(settings, secrets.randbits(INCARNATION_BITS)).run())
        return EXIT_OK
