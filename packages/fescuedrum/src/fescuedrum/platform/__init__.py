"""Reach the platform: table service, object store and instance list."""
