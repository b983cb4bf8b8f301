"""Start the gateway from its settings file."""

import logging
import secrets
import sys

from fescuedrum.events.event import log_event
from fescuedrum.events.processes import SettingsNotReloaded
from fescuedrum.logs import configure_rate_limited_logging
from fescuedrum.process import (
    EXIT_FINDINGS,
    EXIT_OK,
    INCARNATION_BITS,
    load_settings,
    run_check,
    stop_event,
)
from fescuedrum_gateway.conf import GatewaySettings
from fescuedrum_gateway.process import clock
from fescuedrum_gateway.process.gateway import Gateway

logger = logging.getLogger(__name__)


def run_gateway(path, adapter, *, only_check=False):
    """Run a gateway with an adapter for its platform; return the exit code."""
    loaded = load_settings(GatewaySettings, path)
    if loaded.is_err():
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    settings = loaded.ok_value
    if only_check:
        return run_check(settings)
    configure_rate_limited_logging(
        settings.log_level,
        settings.log_lines_per_second,
        instance=settings.name,
        zone=settings.zone,
    )
    clock.run(serve(settings, adapter, path))
    return EXIT_OK


async def serve(settings, adapter, path):
    """Run a gateway until the process is told to stop."""

    def read_settings():
        return reload_settings(path)

    incarnation = secrets.randbits(INCARNATION_BITS)
    await Gateway(settings, adapter, incarnation, read_settings).run(stop_event())


def reload_settings(path):
    """Return the settings as they are now; None if they are invalid."""
    loaded = load_settings(GatewaySettings, path)
    if loaded.is_ok():
        return loaded.ok_value
    findings = [str(finding) for finding in loaded.err_value]
    log_event(logger, SettingsNotReloaded(findings))
    return None
