"""Start the gateway from its settings file."""

import logging
import secrets
import sys

from fescuedrum.logs import configure_logging
from fescuedrum.process import EXIT_FINDINGS, EXIT_OK, INCARNATION_BITS, load_settings
from fescuedrum_gateway.conf import GatewaySettings
from fescuedrum_gateway.process import clock
from fescuedrum_gateway.process.gateway import Gateway

logger = logging.getLogger(__name__)


def run_gateway(path, adapter):
    """Run a gateway that speaks through an adapter; return its exit code."""
    loaded = load_settings(GatewaySettings, path)
    if loaded.is_err():
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    settings = loaded.ok_value
    configure_logging(settings.log_level, instance=settings.name, zone=settings.zone)
    clock.run(serve(settings, adapter))
    return EXIT_OK


async def serve(settings, adapter):
    await Gateway(settings, adapter, secrets.randbits(INCARNATION_BITS)).run()
