"""Check settings across fields; both processes share these rules."""

import ipaddress
import logging
import urllib.parse

from fescuedrum import checks
from fescuedrum.tls import Certificates

MINIMUM_SECRET_LENGTH = 32
HIGHEST_PORT = 65535
# One late heartbeat must not look like a silent connection.
HEARTBEATS_IN_SILENCE = 2


def check_address(path, host):
    """Report a listening address that is no IP number."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        hint = "Write the IP number of this instance, such as 10.0.0.5."
        yield checks.error("settings.E010", path, f"{host!r} is no IP number.", hint)


def check_listener(path, address):
    """Report an address to listen on that is no HOST:PORT."""
    host, _, port = address.rpartition(":")
    yield from check_address(path, host)
    if not port.isdecimal() or not 0 < int(port) <= HIGHEST_PORT:
        hint = "Write it as HOST:PORT, such as 10.0.0.5:7000."
        yield checks.error("settings.E020", path, f"{address!r} has no port.", hint)


def check_url(path, url):
    """Report a base URL that can't be called."""
    parts = urllib.parse.urlsplit(url)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        hint = "Write it as http://HOST:PORT or https://HOST:PORT."
        yield checks.error("settings.E011", path, f"{url!r} is no base URL.", hint)


def check_log_level(path, level):
    if level not in logging.getLevelNamesMapping():
        hint = "Use DEBUG, INFO, WARNING, ERROR or CRITICAL."
        yield checks.error("settings.E012", path, f"{level!r} is no level.", hint)


def check_ports(settings, second):
    """Report a second listener on the port of the first."""
    if getattr(settings, second) == settings.port:
        hint = "Give it a port of its own, or 0 for none."
        message = "The port is the same as in $.port."
        yield checks.error("settings.E013", f"$.{second}", message, hint)


def check_silence(settings):
    least = HEARTBEATS_IN_SILENCE * settings.heartbeat_seconds
    if settings.silence_seconds < least:
        message = f"The silence is shorter than {HEARTBEATS_IN_SILENCE} heartbeats."
        hint = f"Use at least {least} seconds, or a shorter heartbeat_seconds."
        yield checks.error("settings.E014", "$.silence_seconds", message, hint)


def check_limits(settings):
    if settings.cold_limit > settings.warm_limit:
        message = "A cold endpoint would get more than a warm one."
        hint = f"Use at most {settings.warm_limit}, or a higher warm_limit."
        yield checks.error("settings.E015", "$.cold_limit", message, hint)


def check_peer_keys(keys):
    """Report keys that are guessable or can't be told apart, and none at all."""
    if not keys:
        yield checks.warning(
            "settings.W001",
            "$.peer_keys",
            "Any process that reaches the port passes for a peer.",
            "Give all processes a common key, made by `openssl rand -hex 32`.",
        )
    seen = set()
    for index, key in enumerate(keys):
        where = f"$.peer_keys[{index}]"
        if len(key.secret) < MINIMUM_SECRET_LENGTH:
            message = f"The secret is shorter than {MINIMUM_SECRET_LENGTH} characters."
            hint = "Make one by `openssl rand -hex 32`."
            yield checks.error("settings.E016", f"{where}.secret", message, hint)
        if key.id in seen or not key.id:
            hint = "Give each key a name of its own, such as 2026-12."
            message = f"The name {key.id!r} is empty or stands twice."
            yield checks.error("settings.E017", f"{where}.id", message, hint)
        seen.add(key.id)


def check_peer_tls(files):
    """Report TLS between processes that could not check the other side."""
    if files is None:
        return
    if not files.authority:
        message = "Neither side could check the other's certificate."
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
        hint = "Name readable PEM files; the key must fit the certificate."
        yield checks.error("settings.E019", path, f"TLS files: {error}.", hint)
