"""Manage the entry's connections to callers, agents and other entries."""
