"""Decide where a request goes: which endpoints may get it, and which does."""
