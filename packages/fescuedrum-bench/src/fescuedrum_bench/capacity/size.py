"""State the size to design for."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Size:
    """Hold the fleet's size and its load at the peak."""

    nodes: int = 390
    engines: int = 1_100
    accelerators: int = 8_400
    requests_per_second: float = 10_000
    tokens_per_second: float = 2_100_000
    ranks_per_group: int = 256
    experts_per_layer: int = 64
    organisations: int = 290
    models: int = 10
    regions: int = 6
    zones: int = 19
    changes_per_day: int = 3_200
    # Longest that a request is under way; decides how many run at once.
    request_seconds: float = 20.0

    @property
    def requests_per_node(self):
        return self.requests_per_second / self.nodes

    @property
    def tokens_per_node(self):
        return self.tokens_per_second / self.nodes

    @property
    def requests_per_engine(self):
        return self.requests_per_second / self.engines

    @property
    def tokens_per_engine(self):
        return self.tokens_per_second / self.engines

    @property
    def nodes_per_zone(self):
        return self.nodes / self.zones

    @property
    def engines_per_zone(self):
        return self.engines / self.zones


@dataclass(slots=True, frozen=True)
class Budget:
    """Hold what control may cost a node."""

    core_share: float = 0.029
    memory_bytes: float = 256e6
    bytes_per_second: float = 17e3
