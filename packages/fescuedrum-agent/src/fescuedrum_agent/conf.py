"""Declare the agent's settings."""

from dataclasses import dataclass

from fescuedrum.conf import rules
from fescuedrum.conf.schema import setting
from fescuedrum.decisions.admitting.queueing import QueuePolicy
from fescuedrum.tls import TlsFiles
from fescuedrum.wire.handshake import PeerKey


@dataclass(slots=True)
class AgentSettings:
    """Hold the settings of an agent process."""

    name: str = setting(help="Name of this instance, unique in the fleet.")
    zone: str = setting(help="Availability zone of this instance.")
    endpoint: str = setting(help="Name of the endpoint beside this agent.")
    service: str = setting(help="Service that the endpoint offers.")
    host: str = setting(help="IP address to listen on for entries.")
    port: int = setting(help="Port to listen on.", minimum=1, maximum=65535)
    endpoint_url: str = setting(help="Base URL of the endpoint.")
    platform_url: str = setting(help="Base URL of the platform's services.")
    cold_limit: int = setting(2, help="Requests a cold endpoint can carry.", minimum=1)
    warm_limit: int = setting(16, help="Requests a warm endpoint can carry.", minimum=1)
    warm_after: int = setting(
        10, help="Answers after which a cold endpoint is warm.", minimum=1
    )
    pace_seconds: float = setting(
        0.01,
        help="Time within which no more requests start at a model engine than it can "
        "carry cold, as it may turn cold without warning; 0 turns this off.",
        minimum=0.0,
        unit="s",
    )
    queue_limit: int = setting(
        256, help="Requests that may wait for the endpoint.", minimum=0
    )
    queue_policy: QueuePolicy = setting(
        QueuePolicy.FAIR, help="Order of the queue: fair; fifo is for comparison only."
    )
    admission: bool = setting(
        True,
        help="Refuse at once what can't be in time; false is for comparison.",
    )
    heartbeat_seconds: float = setting(
        0.5, help="Time between heartbeats.", minimum=0.05, unit="s"
    )
    drain_seconds: float = setting(
        60.0,
        help="Longest wait at a stop for running requests and for entries to receive "
        "their answers.",
        minimum=0.0,
        unit="s",
    )
    ledger_bytes: int = setting(
        64 * 1024 * 1024, help="Memory for stored answers.", minimum=1024, unit="B"
    )
    ledger_keys: int = setting(
        100_000, help="Largest number of keys that the agent keeps.", minimum=1
    )
    session_silence_seconds: float = setting(
        10.0,
        help="Silence after which an entry's connection is closed.",
        minimum=0.1,
        unit="s",
    )
    fault_step: str = setting(
        "", help="Protocol step at which the process kills itself; for tests only."
    )
    peer_keys: list[PeerKey] = setting(
        list, help="Keys with which peers authenticate; this agent uses the first."
    )
    peer_tls: TlsFiles | None = setting(
        None, help="Certificate, key and authority for entry-agent connections."
    )
    operations_port: int = setting(
        0, help="Port for /healthz, /readyz and /metrics; 0 for none.", minimum=0
    )
    log_lines_per_second: float = setting(
        200.0, help="Average number of lines logged at most.", minimum=1.0
    )
    log_level: str = setting("INFO", help="Lowest level that is logged.")

    def check(self):
        """Return the findings of checks that concern several fields or formats."""
        return [
            *rules.check_address("$.host", self.host),
            *rules.check_url("$.endpoint_url", self.endpoint_url),
            *rules.check_url("$.platform_url", self.platform_url),
            *rules.check_ports(self, "operations_port"),
            *rules.check_limits(self),
            *rules.check_peer_keys(self.peer_keys),
            *rules.check_peer_tls(self.peer_tls),
            *rules.check_log_level("$.log_level", self.log_level),
        ]
