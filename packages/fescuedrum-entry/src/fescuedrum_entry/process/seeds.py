"""Settings of the entries that a new process contacts if the platform is down."""

from dataclasses import dataclass

from fescuedrum.conf.schema import setting


@dataclass(slots=True)
class Seed:
    """Hold the address of an entry to contact at start if the platform is down."""

    name: str = setting(help="Name of the entry.")
    host: str = setting(help="IP address of the entry.")
    port: int = setting(help="Port of the entry for peers.", minimum=1, maximum=65535)
