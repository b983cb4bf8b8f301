"""Decide, without I/O, who may run a keyed request and what may be said of it."""
