"""Decide who gets the next place at an endpoint, and who is refused."""
