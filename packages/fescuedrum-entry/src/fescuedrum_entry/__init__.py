"""Serve callers and operators, and route requests to endpoints."""
