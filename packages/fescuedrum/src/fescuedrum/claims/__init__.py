"""Decide, without I/O, which agent may run a keyed request, and its outcome."""
