"""Decisions, wire format, settings and platform client shared by all processes."""

__version__ = "0.4.0"
