"""Decide which process does a duty, and what processes tell each other."""
