"""Check settings fields against each other, for all kinds of processes."""

import ipaddress
import logging
import urllib.parse

from fescuedrum import checks
from fescuedrum.tls import Certificates

MINIMUM_SECRET_LENGTH = 32
HIGHEST_PORT = 65535
# A single late heartbeat must not make a connection silent.
HEARTBEATS_IN_SILENCE = 2


def check_address(path, host):
    """Report a listening address that is not an IP address."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        hint = "Write the IP address of this instance, such as 10.0.0.5."
        yield checks.error(
            "settings.E010", path, f"{host!r} isn't an IP address.", hint
        )


def check_listener(path, address):
    """Report a listening address that is not HOST:PORT."""
    host, _, port = address.rpartition(":")
    yield from check_address(path, host)
    if not port.isdecimal() or not 0 < int(port) <= HIGHEST_PORT:
        hint = "Write it as HOST:PORT, such as 10.0.0.5:7000."
        yield checks.error("settings.E020", path, f"{address!r} has no port.", hint)


def check_url(path, url):
    """Report a base URL that is not HTTP or has no host."""
    parts = urllib.parse.urlsplit(url)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        hint = "Write it as http://HOST:PORT or https://HOST:PORT."
        yield checks.error("settings.E011", path, f"{url!r} is not a base URL.", hint)


def check_log_level(path, level):
    """Report an unknown log level."""
    if level not in logging.getLevelNamesMapping():
        hint = "Use DEBUG, INFO, WARNING, ERROR or CRITICAL."
        yield checks.error("settings.E012", path, f"{level!r} isn't a log level.", hint)


def check_choice(path, value, choices):
    """Report a value that is none of the choices."""
    if value not in choices:
        hint = f"Use {' or '.join(choices)}."
        yield checks.error("settings.E021", path, f"{value!r} isn't known.", hint)


def check_ports(settings, second):
    """Report a second listener that has the same port as the first."""
    if getattr(settings, second) == settings.port:
        hint = "Give it a port of its own, or 0 for none."
        message = "The port is the same as in $.port."
        yield checks.error("settings.E013", f"$.{second}", message, hint)


def check_silence(settings):
    """Report a silence timeout that is too short for the heartbeats."""
    minimum = HEARTBEATS_IN_SILENCE * settings.heartbeat_seconds
    if settings.silence_seconds < minimum:
        message = f"The silence is shorter than {HEARTBEATS_IN_SILENCE} heartbeats."
        hint = f"Use at least {minimum} seconds, or a shorter heartbeat_seconds."
        yield checks.error("settings.E014", "$.silence_seconds", message, hint)


def check_limits(settings):
    """Report a cold limit above the warm limit."""
    if settings.cold_limit > settings.warm_limit:
        message = "A cold endpoint would get more than a warm one."
        hint = f"Use at most {settings.warm_limit}, or a higher warm_limit."
        yield checks.error("settings.E015", "$.cold_limit", message, hint)


def check_peer_keys(keys):
    """Report missing keys, short secrets and ids that are empty or used twice."""
    if not keys:
        yield checks.warning(
            "settings.W001",
            "$.peer_keys",
            "Any process that can reach the port is accepted as a peer.",
            "Give all processes a common key, created with `openssl rand -hex 32`.",
        )
    seen = set()
    for index, key in enumerate(keys):
        where = f"$.peer_keys[{index}]"
        if len(key.secret) < MINIMUM_SECRET_LENGTH:
            message = f"The secret is shorter than {MINIMUM_SECRET_LENGTH} characters."
            hint = "Create one with `openssl rand -hex 32`."
            yield checks.error("settings.E016", f"{where}.secret", message, hint)
        if key.id in seen or not key.id:
            hint = "Give each key a name of its own, such as 2026-12."
            message = f"The name {key.id!r} is empty or used more than once."
            yield checks.error("settings.E017", f"{where}.id", message, hint)
        seen.add(key.id)


def check_peer_tls(files):
    """Report peer TLS without an authority to verify the other side."""
    if files is None:
        return
    if not files.authority:
        message = "Neither side can verify the other's certificate."
        hint = "Name the file of the authority that signs all processes' certificates."
        yield checks.error("settings.E018", "$.peer_tls.authority", message, hint)
    yield from check_files("$.peer_tls", files)


def check_files(path, files):
    """Report certificate files that can't be loaded."""
    if files is None:
        return
    try:
        Certificates().server_context(files)
    except (OSError, ValueError) as error:
        hint = "Name readable PEM files; the key must match the certificate."
        yield checks.error("settings.E019", path, f"TLS files: {error}.", hint)
