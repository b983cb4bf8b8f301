"""Declare where a new process starts when the platform is out."""

from dataclasses import dataclass

from fescuedrum.conf.schema import setting


@dataclass(slots=True)
class Seed:
    """Name an entry of the zone that a new process asks when the platform is out."""

    name: str = setting(help="Name of the entry.")
    host: str = setting(help="IP address of the entry.")
    port: int = setting(help="Its port for peers.", minimum=1, maximum=65535)
