"""Define the design size of the fleet and the budget of control."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Size:
    """Hold the size of the fleet and its peak load."""

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
    # Longest duration of a request, which determines how many run concurrently.
    request_seconds: float = 20.0

    @property
    def requests_per_node(self):
        """Return the requests per second of one node."""
        return self.requests_per_second / self.nodes

    @property
    def tokens_per_node(self):
        """Return the tokens per second of one node."""
        return self.tokens_per_second / self.nodes

    @property
    def requests_per_engine(self):
        """Return the requests per second of one engine."""
        return self.requests_per_second / self.engines

    @property
    def tokens_per_engine(self):
        """Return the tokens per second of one engine."""
        return self.tokens_per_second / self.engines

    @property
    def nodes_per_zone(self):
        """Return the mean number of nodes in a zone."""
        return self.nodes / self.zones

    @property
    def engines_per_zone(self):
        """Return the mean number of engines in a zone."""
        return self.engines / self.zones


@dataclass(slots=True, frozen=True)
class Budget:
    """Hold the limits of control's costs for a node."""

    core_share: float = 0.029
    memory_bytes: float = 256e6
    bytes_per_second: float = 17e3
