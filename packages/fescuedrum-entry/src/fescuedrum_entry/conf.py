"""Declare the entry's settings."""

from dataclasses import dataclass

from fescuedrum.conf.schema import setting
from fescuedrum.tls import TlsFiles
from fescuedrum.wire.handshake import PeerKey
from fescuedrum_entry.operators.accounts import Account
from fescuedrum_entry.process.seeds import Seed


@dataclass(slots=True)
class EntrySettings:
    """Hold the settings of one entry process."""

    name: str = setting(help="Name of this instance, unique in the fleet.")
    zone: str = setting(help="Availability zone of this instance.")
    host: str = setting(help="IP address to listen on.")
    port: int = setting(help="Port for callers.", minimum=1, maximum=65535)
    platform_url: str = setting(help="Base URL of the platform's services.")
    maximum_body_bytes: int = setting(
        4 * 1024 * 1024, help="Largest body taken from a caller.", minimum=1, unit="B"
    )
    default_deadline_seconds: float = setting(
        30.0, help="Deadline of a request that names none.", minimum=0.001, unit="s"
    )
    heartbeat_seconds: float = setting(
        0.5, help="Time between heartbeats to agents.", minimum=0.05, unit="s"
    )
    silence_seconds: float = setting(
        2.0, help="Silence after which a connection is replaced.", minimum=0.1, unit="s"
    )
    poll_seconds: float = setting(
        0.5, help="Time between reads of the head row.", minimum=0.05, unit="s"
    )
    drain_seconds: float = setting(
        60.0, help="Longest wait for running requests at a stop.", minimum=0.0, unit="s"
    )
    peer_port: int = setting(
        0, help="Port for other entries; 0 for none.", minimum=0, maximum=65535
    )
    seeds: list[Seed] = setting(
        list, help="Entries of the zone to start from when the platform is out."
    )
    console_secret: str = setting(
        "", help="Secret that signs the console's cookies; without it, no console."
    )
    operators: list[Account] = setting(list, help="Operators who may sign in here.")
    callers_tls: TlsFiles | None = setting(
        None, help="Certificate and key shown to callers; without it, plain HTTP."
    )
    peer_keys: list[PeerKey] = setting(
        list, help="Keys that entries and agents prove; the first is used to prove."
    )
    peer_tls: TlsFiles | None = setting(
        None, help="Certificate, key and authority for entry-agent connections."
    )
    log_level: str = setting("INFO", help="Lowest level that is logged.")
