"""Stand-ins for external systems, each serving the protocol of the original."""
