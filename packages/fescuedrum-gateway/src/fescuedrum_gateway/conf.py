"""Declare the gateway's settings."""

from dataclasses import dataclass

from fescuedrum.conf import rules
from fescuedrum.conf.schema import setting

SHARE_PLACES = ("auto", "off")


@dataclass(slots=True)
class GatewaySettings:
    """Hold the settings of one gateway process."""

    name: str = setting(help="Name of this instance, unique in the fleet.")
    zone: str = setting(help="Availability zone of this instance.")
    host: str = setting(help="IP address of this instance.")
    callers_address: str = setting(help="HOST:PORT for callers.")
    ready_address: str = setting(help="HOST:PORT where the balancer asks /readyz.")
    peer_port: int = setting(
        help="Port for other gateways, TCP and UDP; the same at all of them.",
        minimum=1,
        maximum=65535,
    )
    platform_url: str = setting(help="Base URL of the platform's store.")
    seeds: list[str] = setting(
        list, help="HOST:PORT of gateways to contact even while the store is down."
    )
    stop_seconds: float = setting(
        8.0,
        help="Time from SIGTERM to the end of the process. If it is below 5.1 s, "
        "requests with long deadlines are refused from the signal on.",
        minimum=0.5,
        unit="s",
    )
    retry_share: float = setting(
        0.2, help="Retries allowed per service, as a share of its requests.", minimum=0
    )
    retry_slack: float = setting(
        10.0, help="Retries allowed per service beyond that share.", minimum=0.0
    )
    retry_window_seconds: float = setting(
        10.0, help="Window in which retries are counted.", minimum=0.1, unit="s"
    )
    cold_factor: float = setting(
        1.0, help="Factor on the request rate allowed to a cold endpoint.", minimum=0.1
    )
    cold_slack: float = setting(
        0.0,
        help="Requests a second allowed to a cold endpoint beyond that.",
        minimum=0.0,
    )
    share_places: str = setting(
        "auto",
        help="Whether places of a service whose routes differ in priority are given "
        "out by urgency: `auto` or `off`.",
    )
    link_megabits: float = setting(
        1000.0, help="Bandwidth of this machine's link.", minimum=0.1, unit="Mbit/s"
    )
    memory_megabytes: float = setting(
        1024.0,
        help="Memory of this machine; two fifths of it may hold bodies and answers. "
        "0 sets no bound.",
        minimum=0.0,
        unit="MB",
    )
    idle_seconds: float = setting(
        75.0, help="Longest idle time of a caller's connection.", minimum=0.1, unit="s"
    )
    maximum_header_bytes: int = setting(
        16384, help="Longest line in the head of a request.", minimum=256, unit="B"
    )
    maximum_header_count: int = setting(
        100, help="Most headers accepted in a request.", minimum=8
    )
    log_lines_per_second: float = setting(
        200.0, help="Most log lines a second, on average.", minimum=1.0
    )
    log_level: str = setting("INFO", help="Lowest level that is logged.")

    @property
    def seed_hosts(self):
        """Return the hosts of the seeds, without their ports."""
        return [seed.rpartition(":")[0] for seed in self.seeds]

    def check(self):
        """Return the findings about addresses and the log level."""
        return [
            *rules.check_address("$.host", self.host),
            *rules.check_listener("$.callers_address", self.callers_address),
            *rules.check_listener("$.ready_address", self.ready_address),
            *rules.check_url("$.platform_url", self.platform_url),
            *rules.check_log_level("$.log_level", self.log_level),
            *rules.check_choice("$.share_places", self.share_places, SHARE_PLACES),
        ]
