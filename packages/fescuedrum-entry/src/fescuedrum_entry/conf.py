"""Declare the entry's settings."""

from dataclasses import dataclass

from fescuedrum.conf import rules
from fescuedrum.conf.schema import setting
from fescuedrum.decisions.placing.routing import RoutingPolicy
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
        4 * 1024 * 1024,
        help="Largest body accepted from a caller; a frame must hold it and its head.",
        minimum=1,
        maximum=7 * 1024 * 1024,
        unit="B",
    )
    body_seconds: float = setting(
        30.0, help="Longest time to receive a caller's body.", minimum=0.05, unit="s"
    )
    idle_seconds: float = setting(
        75.0,
        help="Longest time a caller's connection may be idle.",
        minimum=0.1,
        unit="s",
    )
    maximum_header_bytes: int = setting(
        8190, help="Longest header line accepted from a caller.", minimum=256, unit="B"
    )
    maximum_header_count: int = setting(
        100, help="Most headers accepted from a caller.", minimum=8
    )
    default_deadline_seconds: float = setting(
        30.0, help="Deadline of a request without one.", minimum=0.001, unit="s"
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
    fairness_seconds: float = setting(
        10.0,
        help="Time between evaluations of the fairness monitor.",
        minimum=0.1,
        unit="s",
    )
    endpoint_wait_seconds: float = setting(
        5.0,
        help="Longest wait for an endpoint when none is eligible.",
        minimum=0.0,
        unit="s",
    )
    endpoint_wait_limit: int = setting(
        1000, help="Calls that may wait for an endpoint at the same time.", minimum=0
    )
    routing_policy: RoutingPolicy = setting(
        RoutingPolicy.ADAPTIVE, help="adaptive; others are baselines for comparisons."
    )
    notice_seconds: float = setting(
        5.0,
        help="Time at a stop for the balancer to see /readyz; callers are served then.",
        minimum=0.0,
        unit="s",
    )
    drain_seconds: float = setting(
        60.0,
        help="Time after the notice by which the process ends; requests with a later "
        "deadline are refused then.",
        minimum=0.0,
        unit="s",
    )
    peer_port: int = setting(
        0, help="Port for other entries; 0 for none.", minimum=0, maximum=65535
    )
    seeds: list[Seed] = setting(
        list, help="Entries of the zone to start from when the platform is down."
    )
    console_secret: str = setting(
        "", help="Secret that signs the console's cookies; without it, no console."
    )
    operators: list[Account] = setting(list, help="Operators who may sign in here.")
    claim_group_seconds: float = setting(
        0.005, help="Minimum time between writes of claims.", minimum=0.0, unit="s"
    )
    claim_bucket_seconds: float = setting(
        600.0,
        help="Length of the buckets that count claims' ages.",
        minimum=0.1,
        unit="s",
    )
    claim_buckets_kept: int = setting(
        144, help="Whole buckets for which keys are kept at minimum.", minimum=7
    )
    fence_patience_seconds: float = setting(
        0.25,
        help="Wait at an agent for a claimed request before it is fenced.",
        minimum=0.0,
        unit="s",
    )
    fault_step: str = setting(
        "", help="Protocol step at which the process kills itself; for tests only."
    )
    trace_count: int = setting(
        2000, help="Requests of each kind kept for operators to look up.", minimum=1
    )
    trace_slow_seconds: float = setting(
        5.0, help="Time from which a request is kept as slow.", minimum=0.0, unit="s"
    )
    callers_tls: TlsFiles | None = setting(
        None, help="Certificate and key shown to callers; without it, plain HTTP."
    )
    peer_keys: list[PeerKey] = setting(
        list,
        help="Keys shared by entries and agents; the first is used to prove identity.",
    )
    peer_tls: TlsFiles | None = setting(
        None, help="Certificate, key and authority for entry-agent connections."
    )
    log_lines_per_second: float = setting(
        200.0, help="Most lines logged, on average.", minimum=1.0
    )
    log_level: str = setting("INFO", help="Lowest level that is logged.")

    def check(self):
        """Return the findings that concern several fields or a field's format."""
        return [
            *rules.check_address("$.host", self.host),
            *rules.check_url("$.platform_url", self.platform_url),
            *rules.check_ports(self, "peer_port"),
            *rules.check_silence(self),
            *rules.check_peer_keys(self.peer_keys),
            *rules.check_peer_tls(self.peer_tls),
            *rules.check_files("$.callers_tls", self.callers_tls),
            *rules.check_log_level("$.log_level", self.log_level),
        ]
