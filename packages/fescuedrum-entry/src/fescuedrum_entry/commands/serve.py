"""Run the entry process."""

from fescuedrum.process import add_settings_arguments, run_process
from fescuedrum_entry.conf import EntrySettings
from fescuedrum_entry.process.entry import Entry

EPILOG = """\
settings: one JSON object, for instance
  {"name": "entry-1", "zone": "zone-1", "host": "10.0.0.5", "port": 7000,
   "platform_url": "http://10.0.0.2:7000",
   "peer_keys": [{"id": "2026-12", "secret": "..."}]}
  docs/settings-entry.md lists every field.

signals:
  SIGTERM, SIGINT  fail /readyz, wait for running requests, exit with code 0
  SIGHUP           reload certificates at once

first steps:
  fescuedrum serve --settings entry.json --check-settings
  fescuedrum serve --settings entry.json
  curl http://10.0.0.5:7000/readyz
"""


class Command:
    epilog = EPILOG
    help = "serve callers and operators until SIGTERM"
    reloads = True

    def add_arguments(self, parser):
        add_settings_arguments(parser)

    def handle(self, arguments):
        return run_process(EntrySettings, arguments, Entry)
