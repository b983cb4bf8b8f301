"""Load settings, run and stop a process, and handle its signals."""

import asyncio
import json
import logging
import pathlib
import secrets
import signal
import sys

from result import Err

from fescuedrum import checks
from fescuedrum.conf import schema
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import SettingsWarning, TaskFailed
from fescuedrum.logs import configure_rate_limited_logging
from fescuedrum.signals import deferred_reload

logger = logging.getLogger(__name__)

# Distinguishes a process from earlier ones at the same address.
INCARNATION_BITS = 62

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


def add_settings_arguments(parser):
    """Add the arguments of a process that reads settings."""
    parser.add_argument("--settings", required=True, help="file of settings in JSON")
    parser.add_argument(
        "--check-settings", action="store_true", help="check the settings and exit"
    )


def run_process(settings_class, arguments, build):
    """Read settings, then check them or run build(settings, incarnation).run()."""
    loaded = load_settings(settings_class, arguments.settings)
    if loaded.is_err():
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    settings = loaded.ok_value
    if arguments.check_settings:
        return run_check(settings)
    configure_rate_limited_logging(
        settings.log_level,
        settings.log_lines_per_second,
        instance=settings.name,
        zone=settings.zone,
    )
    for finding in settings.check():
        log_event(logger, SettingsWarning(str(finding)))
    asyncio.run(build(settings, secrets.randbits(INCARNATION_BITS)).run())
    return EXIT_OK


def run_check(settings):
    """Print that the settings are valid, after their warnings."""
    for finding in settings.check():
        print(f"warning: {finding}", file=sys.stderr)
    print("The settings are complete and valid.")
    return EXIT_OK


def stop_event():
    """Return an event that SIGTERM or SIGINT sets."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


def on_reload(*callbacks):
    """Call each callback on SIGHUP, and now if SIGHUP came while loading."""

    def reload():
        for callback in callbacks:
            callback()

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    if deferred_reload.requested:
        deferred_reload.requested = False
        reload()


def stop_on_failure(tasks, stop):
    """Set the stop event when one of the long-running tasks fails.

    Otherwise, after an unexpected error in a task, the process would go on with stale
    members or a stale document and look healthy. When stopped it drains, and a process
    with all its tasks replaces it.
    """

    def stop_if_failed(task):
        if not task.cancelled() and task.exception() is not None:
            log_event(logger, TaskFailed(), error=task.exception())
            stop.set()

    for task in tasks:
        task.add_done_callback(stop_if_failed)


async def cancel(tasks):
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
