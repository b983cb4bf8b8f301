"""Share what every process does at its start and its end."""

import asyncio
import json
import pathlib
import signal

from result import Err

from fescuedrum import checks
from fescuedrum.conf import schema

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
    return schema.load(cls, data)


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
