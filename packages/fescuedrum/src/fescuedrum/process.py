"""Share what every process does at its start and its end."""

import asyncio
import json
import logging
import pathlib
import signal
import sys

from result import Err

from fescuedrum import checks
from fescuedrum.conf import schema

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_FINDINGS = 3
EXIT_RACED = 4
EXIT_UNSETTLED = 5


def load_settings(cls, path):
    """Read and check a settings file: Ok(settings) or Err(findings)."""
    try:
        data = json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        hint = "Name a readable file of JSON."
        return Err([checks.error("settings.E001", str(path), f"{error}.", hint)])
    loaded = schema.load(cls, data)
    if loaded.is_err():
        return loaded
    findings = loaded.ok_value.check()
    return Err(findings) if checks.has_errors(findings) else loaded


def run_check(settings):
    """Tell that settings are valid, with the warnings that there are."""
    for finding in settings.check():
        print(f"warning: {finding}", file=sys.stderr)
    print("The settings are complete and valid.")
    return EXIT_OK


def warn_of(settings):
    """Log the warnings that settings give rise to."""
    for finding in settings.check():
        logger.warning("settings", extra={"finding": str(finding)})


def stop_event():
    """Return an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


def on_reload(*callbacks):
    """Call each callback on SIGHUP."""

    def reload():
        for callback in callbacks:
            callback()

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


async def cancel(tasks):
    """Cancel tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
